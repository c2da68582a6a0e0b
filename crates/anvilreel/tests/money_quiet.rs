//! Shortages at a router that has exchanged no batches with the ledger for a while.

use std::time::Duration;

use anvil_world::command::{GrantBatchAnswer, GrantRefusal};
use anvil_world::prelude::*;
use anvilreel::money::{GrantAccount, GrantPolicy, Shortage};

fn new_account() -> GrantAccount {
    GrantAccount::new("r1".into(), 1, GrantPolicy::default())
}

/// The first request after an idle night was refused with `ledger_unreachable` although the ledger
/// was available: without grants the router had exchanged no batches for hours, which was taken for
/// a partition.
#[test]
fn first_request_after_an_idle_period_waits_for_a_grant() {
    let account = new_account();
    let morning = Duration::from_hours(9);
    let split = Split::single_payer("nairobi".into());
    let shortage = account.reserve(morning, &split, 10);
    assert!(
        matches!(shortage, Err(Shortage::WaitFor { .. })),
        "{shortage:?}"
    );
}

/// The ledger can't be reached and the batch that asks for tokens stays unanswered. After the
/// maximum wait, callers are refused at once instead of waiting.
#[test]
fn unanswered_ask_means_that_the_ledger_is_unreachable() {
    let account = new_account();
    let split = Split::single_payer("nairobi".into());
    let start = Duration::from_hours(9);
    let first = account.reserve(start, &split, 10);
    assert!(matches!(first, Err(Shortage::WaitFor { .. })), "{first:?}");
    assert!(account.next_batch(start).is_some());
    let later = start + GrantPolicy::default().max_ledger_wait * 2;
    let shortage = account.reserve(later, &split, 10);
    let Err(Shortage::Refused(refusal)) = shortage else {
        panic!("{shortage:?}");
    };
    assert_eq!(refusal.reason, Reason::LedgerUnreachable);
}

/// A router has just sent a batch for one budget when a request on another budget arrives. Waiting
/// for the next regular batch delayed the first token of the first request on every budget by up to
/// a second; 0.41 s are allowed.
#[test]
fn first_grant_of_a_budget_is_asked_for_at_once() {
    let account = new_account();
    let start = Duration::from_hours(9);
    let first = account.reserve(start, &Split::single_payer("nairobi".into()), 10);
    assert!(first.is_err());
    let batch = account
        .next_batch(start)
        .expect("a batch with a grant request for nairobi");
    let answer = GrantBatchAnswer {
        seq: batch.seq,
        ..GrantBatchAnswer::default()
    };
    account
        .apply_answer(start, &answer)
        .expect("the answer to this batch");
    let soon = start + Duration::from_millis(100);
    let second = account.reserve(soon, &Split::single_payer("mombasa".into()), 10);
    assert!(second.is_err());
    let batch = account.next_batch(soon).expect("an urgent batch");
    assert!(
        batch
            .asks
            .iter()
            .any(|grant_request| &*grant_request.budget == "mombasa")
    );
}

/// A request waits for tokens held by other routers. Asking for them twenty times a second returns
/// them no sooner and costs the ledger a log entry each time.
#[test]
fn refused_budget_is_asked_for_once_a_second() {
    let account = new_account();
    let start = Duration::from_hours(9);
    let split = Split::single_payer("nairobi".into());
    assert!(account.reserve(start, &split, 10).is_err());
    let batch = account
        .next_batch(start)
        .expect("a batch with a grant request");
    let answer = GrantBatchAnswer {
        seq: batch.seq,
        refused: vec![GrantRefusal {
            budget: "nairobi".into(),
            left: 0,
            outstanding: 500,
        }],
        ..GrantBatchAnswer::default()
    };
    account
        .apply_answer(start, &answer)
        .expect("the answer to this batch");
    let soon = start + Duration::from_millis(100);
    assert!(account.reserve(soon, &split, 10).is_err());
    assert_eq!(account.next_batch(soon), None);
    assert!(account.next_batch(start + Duration::from_secs(1)).is_some());
}
