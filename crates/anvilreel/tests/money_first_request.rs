//! The first request after a router's start.

use std::time::Duration;

use anvil_world::prelude::*;
use anvilreel::money::{GrantPolicy, Purse, Shortage};

fn reserve(purse: &Purse, now: Now) -> Shortage {
    let split = Split::whole("nairobi".into());
    match purse.reserve(now, &split, 100) {
        Err(shortage) => shortage,
        Ok(_) => panic!("an empty purse reserved"),
    }
}

/// A router has no caller in its first minute. The first one that comes is refused at once as
/// `ledger_unreachable`, although the ledger is well: nothing had been heard of it only because
/// nothing had been asked.
#[test]
fn the_first_request_waits_for_its_grant() {
    let policy = GrantPolicy::default();
    let purse = Purse::new("router-0".into(), 1, policy.clone());
    let late = Duration::from_mins(1);
    assert!(matches!(reserve(&purse, late), Shortage::WaitFor { .. }));
    assert!(purse.batch(late).is_some(), "it asks for a grant");
    // A ledger that leaves that batch without an answer is unreachable all the same.
    let later = late + policy.patience + Duration::from_millis(1);
    assert!(matches!(reserve(&purse, later), Shortage::Refused(_)));
}
