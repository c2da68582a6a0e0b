//! The first request after a router's start.

use std::time::Duration;

use anvil_world::prelude::*;
use anvilreel::money::{GrantAccount, GrantPolicy, Shortage};

fn reserve(account: &GrantAccount, now: Now) -> Shortage {
    let split = Split::single_payer("nairobi".into());
    match account.reserve(now, &split, 100) {
        Err(shortage) => shortage,
        Ok(_) => panic!("reserved from an account without grants"),
    }
}

/// The first request a minute after the router's start was refused at once with
/// `ledger_unreachable`, although the ledger was available: it had not answered only because
/// nothing had been asked.
#[test]
fn first_request_waits_for_its_grant() {
    let policy = GrantPolicy::default();
    let account = GrantAccount::new("router-0".into(), 1, policy.clone());
    let late = Duration::from_mins(1);
    assert!(matches!(reserve(&account, late), Shortage::WaitFor { .. }));
    assert!(
        account.next_batch(late).is_some(),
        "the account asks for a grant"
    );
    // If the ledger leaves that batch unanswered, it does count as unreachable.
    let later = late + policy.max_ledger_wait + Duration::from_millis(1);
    assert!(matches!(reserve(&account, later), Shortage::Refused(_)));
}
