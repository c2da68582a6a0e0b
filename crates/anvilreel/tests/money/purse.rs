//! A router's purse against the ledger's real state.

use std::time::Duration;

use anvil_wire::msg::{Evidence, KeyCharge};
use anvil_world::command::{TopUp, change_id};
use anvil_world::prelude::*;
use anvilreel::money::{Closing, GrantPolicy, Purse, Shortage};

use crate::ledger::{Ledger, at, split};

fn purse() -> Purse {
    Purse::new("r1".into(), 1, GrantPolicy::default())
}

/// A purse that lacks 100 tokens, asks and is given some.
fn funded(ledger: &mut Ledger) -> Purse {
    let purse = purse();
    assert!(purse.reserve(at(0), &split(), 100).is_err());
    let batch = purse.batch(at(1)).expect("asks");
    let answer = ledger.answer(batch);
    purse.answered(at(2), &answer).expect("ours");
    purse
}

/// The answer to a batch is lost, and the batch is sent again. Without its number a second grant
/// would be opened, which nobody knows of and nobody closes.
#[test]
fn a_resent_batch_opens_no_second_grant() {
    let mut ledger = Ledger::with(10_000);
    let purse = purse();
    assert!(purse.reserve(at(0), &split(), 100).is_err());
    let first = purse.batch(at(1)).expect("asks");
    let lost = ledger.answer(first.clone());
    let again = purse.batch(at(1_100)).expect("sent again");
    assert_eq!(again, first);
    assert_eq!(ledger.answer(again), lost);
    purse.answered(at(1_200), &lost).expect("ours");
    purse.answered(at(1_300), &lost).expect("a doubled answer");
    let budget = ledger.state.budget("nairobi").expect("there");
    assert_eq!(budget.open.len(), 1);
    assert_eq!(purse.view("nairobi").free, budget.outstanding());
}

/// Four threads reserve out of one grant at once. Two that saw the same free tokens would
/// overspend it.
#[test]
fn threads_never_reserve_more_than_the_grant() {
    let mut ledger = Ledger::with(10_000);
    let purse = funded(&mut ledger);
    let free = purse.view("nairobi").free;
    let taken: u64 = std::thread::scope(|scope| {
        let take = || {
            let mut taken = 0;
            while let Ok(reservation) = purse.reserve(at(10), &split(), 7) {
                taken += 7;
                // Half of them cost less; what they free is taken again.
                if taken % 2 == 0 {
                    purse.settle(reservation, 3).expect("within the bound");
                    taken -= 4;
                } else {
                    std::mem::forget(reservation);
                }
            }
            taken
        };
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(take)).collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("no panic"))
            .sum()
    });
    assert!(taken <= free, "{taken} of {free}");
    assert_eq!(purse.broken(), None);
}

/// A sidecar reports a cost above what was reserved. Billing it would overspend the grant; the
/// purse bills the reservation, says so, and reserves nothing more.
#[test]
fn a_cost_above_the_reservation_stops_the_purse() {
    let mut ledger = Ledger::with(10_000);
    let purse = funded(&mut ledger);
    let reservation = purse.reserve(at(10), &split(), 50).expect("money");
    assert!(purse.settle(reservation, 51).is_err());
    assert!(purse.broken().is_some());
    assert!(purse.reserve(at(11), &split(), 1).is_err());
}

/// The ledger is cut off. "Budget exhausted" would be a lie that sends a member to pay.
#[test]
fn an_unreachable_ledger_is_not_called_an_exhausted_budget() {
    let purse = purse();
    assert!(purse.reserve(at(0), &split(), 100).is_err());
    assert!(purse.batch(at(1)).is_some());
    let late = purse.reserve(at(5_000), &split(), 100);
    let Err(Shortage::Refused(refusal)) = late else {
        panic!("{late:?}");
    };
    assert_eq!(refusal.reason, Reason::LedgerUnreachable);
}

/// All money lies free in another router's grant. The first "no" calls it back, and the second
/// ask gets it; without the recall a caller is refused although the money is there.
#[test]
fn idle_money_is_called_back() {
    let mut ledger = Ledger::with(100);
    let idle = funded(&mut ledger);
    let other = Purse::new("r2".into(), 1, GrantPolicy::default());
    let mut got = false;
    for second in 1..6 {
        let now = at(second * 1_000);
        got |= other.reserve(now, &split(), 100).is_ok();
        for purse in [&other, &idle] {
            if let Some(batch) = purse.batch(now + at(10)) {
                let answer = ledger.answer(batch);
                purse.answered(now + at(20), &answer).expect("ours");
            }
        }
    }
    assert!(got);
}

/// A run is continued elsewhere while its first sidecar was only cut off; both charged the key.
/// The sum of both would bill one request twice.
#[test]
fn evidence_counts_a_key_once_by_its_highest_attempt() {
    let lives = [("s1".into(), 1), ("s2".into(), 1)];
    let mut closing = Closing::new(lives.clone());
    let evidence = |attempt, charged| Evidence {
        router: "r1".into(),
        incarnation: 1,
        charges: vec![KeyCharge {
            grant: 7,
            key: RequestKey {
                team: "counter".into(),
                id: "q1".into(),
            },
            attempt,
            charged,
        }],
    };
    closing.take(&lives[0], &evidence(0, 90));
    assert_eq!(closing.charged(7), None, "one has not answered");
    closing.take(&lives[1], &evidence(1, 80));
    closing.take(&lives[1], &evidence(1, 80));
    assert_eq!(closing.charged(7), Some(80));
}

/// A ledger that answers within milliseconds.
fn quick() -> GrantPolicy {
    GrantPolicy {
        recalled_within: Duration::from_millis(800),
        row_within: Duration::from_secs(10),
        verdict_holds: Duration::from_millis(300),
        batch_every: Duration::from_millis(200),
        urgent_every: Duration::from_millis(10),
        spare_requests: 0,
        ..GrantPolicy::default()
    }
}

/// A budget of 1,000 tokens, 900 of which lie with a router that died.
fn with_a_dead_router() -> Ledger {
    let mut ledger = Ledger::with(1_000);
    let dead = Purse::new("dead".into(), 1, quick());
    assert!(dead.reserve(at(1), &split(), 900).is_err());
    let batch = dead.batch(at(1)).expect("an ask");
    dead.answered(at(2), &ledger.answer(batch)).expect("ours");
    assert!(dead.reserve(at(3), &split(), 900).is_ok());
    ledger
}

/// Guards against a wait for money that was called back long ago at each of a hundred routers that see a
/// request of an organisation every few seconds: none of them sees refusals in a row.
#[test]
fn a_router_with_few_requests_does_not_wait_again_for_money_that_never_came() {
    let mut ledger = with_a_dead_router();
    let alive = Purse::new("alive".into(), 1, quick());
    let mut ask = |now: u64| {
        let mut said = alive.reserve(at(now), &split(), 500);
        if let Some(batch) = alive.batch(at(now)) {
            let answer = ledger.answer(batch);
            alive.answered(at(now + 5), &answer).expect("ours");
            said = alive.reserve(at(now + 5), &split(), 500);
        }
        said
    };
    assert!(matches!(ask(1_000), Err(Shortage::WaitFor { .. })));
    for now in [5_000, 9_000, 13_000] {
        let said = ask(now);
        assert!(
            matches!(&said, Err(Shortage::Refused(r)) if matches!(r.reason, Reason::BudgetExhausted(_)))
        );
    }
}

/// A router died with a tenth of a budget in its grant. A clerk's request finds too little, waits for the tenth to be
/// called back, is told to come again at once, and waits again, for the rest of the day. Once the recall is
/// old and refusals have followed each other, the budget is said to be used up.
#[test]
fn money_of_dead_routers_is_not_waited_for_for_ever() {
    let mut ledger = with_a_dead_router();
    let alive = Purse::new("alive".into(), 1, quick());
    let mut waited = 0;
    let mut refused_from = None;
    for now in (1_000..4_000).step_by(50) {
        match alive.reserve(at(now), &split(), 500) {
            Ok(_) => panic!("900 of 1,000 are gone"),
            Err(Shortage::WaitFor { .. }) => waited += 1,
            Err(Shortage::Refused(refusal)) => {
                assert!(matches!(refusal.reason, Reason::BudgetExhausted(_)));
                refused_from.get_or_insert(now);
            }
        }
        if let Some(batch) = alive.batch(at(now)) {
            let answer = ledger.answer(batch);
            alive.answered(at(now), &answer).expect("ours");
        }
    }
    assert!(waited > 5, "a recall takes some batches");
    let refused_from = refused_from.expect("a plain word in the end");
    assert!(refused_from < 2_200, "{refused_from}");

    // A top-up is noticed all the same.
    ledger.apply(&Command::TopUp(TopUp {
        id: change_id(std::time::UNIX_EPOCH, "more"),
        operator: "wanjiru".into(),
        budget: "nairobi".into(),
        amount: 5_000,
        at: std::time::UNIX_EPOCH,
    }));
    let served = (4_000..5_000).step_by(50).any(|now| {
        if let Some(batch) = alive.batch(at(now)) {
            let answer = ledger.answer(batch);
            alive.answered(at(now), &answer).expect("ours");
        }
        alive.reserve(at(now), &split(), 500).is_ok()
    });
    assert!(served);
}
