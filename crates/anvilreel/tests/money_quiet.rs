//! Shortages at a router that had nothing to say to the ledger for a while.

use std::time::Duration;

use anvil_world::prelude::*;
use anvilreel::money::{GrantPolicy, Purse, Shortage};

fn purse() -> Purse {
    Purse::new("r1".into(), 1, GrantPolicy::default())
}

/// A shop opens after a quiet night and its first customer asks.
/// The router had no grants, so it had sent and heard nothing for hours; taking that for a
/// partition refused the request with `ledger_unreachable` although the ledger was well.
#[test]
fn the_first_request_after_a_quiet_time_waits_for_money() {
    let purse = purse();
    let morning = Duration::from_hours(9);
    let split = Split::whole("nairobi".into());
    let shortage = purse.reserve(morning, &split, 10);
    assert!(
        matches!(shortage, Err(Shortage::WaitFor { .. })),
        "{shortage:?}"
    );
}

/// The ledger is cut off: the batch that asks for money stays without an answer.
/// Once that lasts longer than the patience, callers are told at once instead of waiting.
#[test]
fn an_ask_without_an_answer_means_cut_off() {
    let purse = purse();
    let split = Split::whole("nairobi".into());
    let start = Duration::from_hours(9);
    let first = purse.reserve(start, &split, 10);
    assert!(matches!(first, Err(Shortage::WaitFor { .. })), "{first:?}");
    assert!(purse.batch(start).is_some());
    let later = start + GrantPolicy::default().patience * 2;
    let shortage = purse.reserve(later, &split, 10);
    let Err(Shortage::Refused(refusal)) = shortage else {
        panic!("{shortage:?}");
    };
    assert_eq!(refusal.reason, Reason::LedgerUnreachable);
}
