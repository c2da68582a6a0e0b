//! Shortages at a router that had nothing to say to the ledger for a while.

use std::time::Duration;

use anvil_world::command::{GrantBatchAnswer, GrantRefusal};
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

/// A router has just told the ledger about one budget when a customer of another one asks.
/// Waiting for the next second's batch made the first token of every first request on a budget
/// up to a second late; a first token is wanted within 0.41 s.
#[test]
fn the_first_grant_of_a_budget_is_not_kept_for_the_next_second() {
    let purse = purse();
    let start = Duration::from_hours(9);
    let first = purse.reserve(start, &Split::whole("nairobi".into()), 10);
    assert!(first.is_err());
    let batch = purse.batch(start).expect("asks for nairobi");
    let answer = GrantBatchAnswer {
        seq: batch.seq,
        ..GrantBatchAnswer::default()
    };
    purse.answered(start, &answer).expect("fits");
    let soon = start + Duration::from_millis(100);
    let second = purse.reserve(soon, &Split::whole("mombasa".into()), 10);
    assert!(second.is_err());
    let batch = purse.batch(soon).expect("asks at once");
    assert!(batch.asks.iter().any(|ask| &*ask.budget == "mombasa"));
}

/// Money that other routers hold is waited for; asking for it twenty times a second would bring
/// it no sooner and cost the ledger an entry each time.
#[test]
fn what_the_ledger_has_just_refused_is_asked_for_once_a_second() {
    let purse = purse();
    let start = Duration::from_hours(9);
    let split = Split::whole("nairobi".into());
    assert!(purse.reserve(start, &split, 10).is_err());
    let batch = purse.batch(start).expect("asks");
    let answer = GrantBatchAnswer {
        seq: batch.seq,
        refused: vec![GrantRefusal {
            budget: "nairobi".into(),
            left: 0,
            outstanding: 500,
        }],
        ..GrantBatchAnswer::default()
    };
    purse.answered(start, &answer).expect("fits");
    let soon = start + Duration::from_millis(100);
    assert!(purse.reserve(soon, &split, 10).is_err());
    assert_eq!(purse.batch(soon), None);
    assert!(purse.batch(start + Duration::from_secs(1)).is_some());
}
