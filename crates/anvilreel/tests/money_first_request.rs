//! The first request after a router's start.

use std::time::Duration;

use anvil_world::prelude::*;
use anvilreel::money::{GrantPolicy, Purse, Shortage};

fn reserve(account: &Purse, now: Now) -> Shortage {
    let split = Split::whole("nairobi".into());
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
    let account = Purse::new("router-0".into(), 1, policy.clone());
    let late = Duration::from_mins(1);
    assert!(matches!(reserve(&account, late), Shortage::WaitFor { .. }));
    assert!(
        account.batch(late).is_some(),
        "the account asks for a grant"
    );
    // If the ledger leaves that batch unanswered, it does count as unreachable.
    let later = late + policy.patience + Duration::from_millis(1);
    assert!(matches!(reserve(&account, later), Shortage::Refused(_)));
}
