//! Reservations, settlements, recalls and closing of grants.

use std::time::Duration;

use anvil_wire::msg::{ChargeEvidence, KeyCharge};
use anvil_world::command::{TopUp, change_id};
use anvil_world::prelude::*;
use anvilreel::money::{GrantAccount, GrantClosing, GrantPolicy, Shortage};

use crate::ledger::{Ledger, at, split};

fn new_account() -> GrantAccount {
    GrantAccount::new("r1".into(), 1, GrantPolicy::default())
}

/// An account that could not reserve 100 tokens, asked the ledger and received a grant.
fn funded(ledger: &mut Ledger) -> GrantAccount {
    let account = new_account();
    assert!(account.reserve(at(0), &split(), 100).is_err());
    let batch = account
        .next_batch(at(1))
        .expect("a batch with a grant request");
    let answer = ledger.answer(batch);
    account
        .apply_answer(at(2), &answer)
        .expect("the answer to this batch");
    account
}

/// The answer to a batch is lost and the batch is sent again. Without its number, the ledger would
/// open a second grant of which no router knows and which is never closed.
#[test]
fn a_resent_batch_opens_no_second_grant() {
    let mut ledger = Ledger::with(10_000);
    let account = new_account();
    assert!(account.reserve(at(0), &split(), 100).is_err());
    let first = account
        .next_batch(at(1))
        .expect("a batch with a grant request");
    let lost = ledger.answer(first.clone());
    let again = account
        .next_batch(at(1_100))
        .expect("the same batch is due again");
    assert_eq!(again, first);
    assert_eq!(ledger.answer(again), lost);
    account
        .apply_answer(at(1_200), &lost)
        .expect("the answer to this batch");
    account
        .apply_answer(at(1_300), &lost)
        .expect("a duplicate answer is accepted");
    let budget = ledger.state.budget("nairobi").expect("the budget exists");
    assert_eq!(budget.open.len(), 1);
    assert_eq!(account.budget_status("nairobi").free, budget.outstanding());
}

/// Four threads reserve from one grant at once. Two that see the same free tokens must not
/// overspend it.
#[test]
fn threads_never_reserve_more_than_the_grant() {
    let mut ledger = Ledger::with(10_000);
    let account = funded(&mut ledger);
    let free = account.budget_status("nairobi").free;
    let taken: u64 = std::thread::scope(|scope| {
        let take = || {
            let mut taken = 0;
            while let Ok(reservation) = account.reserve(at(10), &split(), 7) {
                taken += 7;
                // Half of the requests cost less than reserved; what they free is reserved again.
                if taken % 2 == 0 {
                    account
                        .settle(reservation, 3)
                        .expect("the cost is within the reservation");
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
            .map(|t| t.join().expect("the thread did not panic"))
            .sum()
    });
    assert!(taken <= free, "{taken} of {free}");
    assert_eq!(account.invariant_violation(), None);
}

/// A sidecar reports a cost above the reservation, and charging it would overspend the grant. The
/// account charges the reservation, returns an error and makes no further reservations.
#[test]
fn cost_above_the_reservation_stops_further_reservations() {
    let mut ledger = Ledger::with(10_000);
    let account = funded(&mut ledger);
    let reservation = account
        .reserve(at(10), &split(), 50)
        .expect("enough free tokens");
    assert!(account.settle(reservation, 51).is_err());
    assert!(account.invariant_violation().is_some());
    assert!(account.reserve(at(11), &split(), 1).is_err());
}

/// The ledger can't be reached. With `budget_exhausted` the caller would top up a budget that is
/// not exhausted.
#[test]
fn unreachable_ledger_is_not_reported_as_an_exhausted_budget() {
    let account = new_account();
    assert!(account.reserve(at(0), &split(), 100).is_err());
    assert!(account.next_batch(at(1)).is_some());
    let late = account.reserve(at(5_000), &split(), 100);
    let Err(Shortage::Refused(refusal)) = late else {
        panic!("{late:?}");
    };
    assert_eq!(refusal.reason, Reason::LedgerUnreachable);
}

/// All tokens of a budget are unspent in another router's grant. The first refused request recalls
/// them, and the next one gets them; without the recall, a caller is refused although tokens are
/// available.
#[test]
fn unspent_grant_of_another_router_is_recalled() {
    let mut ledger = Ledger::with(100);
    let idle = funded(&mut ledger);
    let other = GrantAccount::new("r2".into(), 1, GrantPolicy::default());
    let mut reserved = false;
    for second in 1..6 {
        let now = at(second * 1_000);
        reserved |= other.reserve(now, &split(), 100).is_ok();
        for account in [&other, &idle] {
            if let Some(batch) = account.next_batch(now + at(10)) {
                let answer = ledger.answer(batch);
                account
                    .apply_answer(now + at(20), &answer)
                    .expect("the answer to this batch");
            }
        }
    }
    assert!(reserved);
}

/// A run is continued elsewhere while its first sidecar was only cut off, and both charge the key.
/// The sum would charge one request twice.
#[test]
fn evidence_counts_a_key_once_by_its_highest_attempt() {
    let sidecars = [("s1".into(), 1), ("s2".into(), 1)];
    let mut closing = GrantClosing::new(sidecars.clone());
    let evidence = |attempt, charged| ChargeEvidence {
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
    closing.record_evidence(&sidecars[0], &evidence(0, 90));
    assert_eq!(closing.charged(7), None, "one sidecar has not answered");
    closing.record_evidence(&sidecars[1], &evidence(1, 80));
    closing.record_evidence(&sidecars[1], &evidence(1, 80));
    assert_eq!(closing.charged(7), Some(80));
}

/// The policy for a ledger that answers within milliseconds.
fn fast_ledger_policy() -> GrantPolicy {
    GrantPolicy {
        recall_timeout: Duration::from_millis(800),
        max_refusal_gap: Duration::from_secs(10),
        refusal_lifetime: Duration::from_millis(300),
        batch_interval: Duration::from_millis(200),
        urgent_batch_interval: Duration::from_millis(10),
        spare_requests: 0,
        ..GrantPolicy::default()
    }
}

/// A budget of 1,000 tokens, 900 of which are in the grant of a router that died.
fn ledger_with_dead_router() -> Ledger {
    let mut ledger = Ledger::with(1_000);
    let dead = GrantAccount::new("dead".into(), 1, fast_ledger_policy());
    assert!(dead.reserve(at(1), &split(), 900).is_err());
    let batch = dead
        .next_batch(at(1))
        .expect("a batch with a grant request");
    dead.apply_answer(at(2), &ledger.answer(batch))
        .expect("the answer to this batch");
    assert!(dead.reserve(at(3), &split(), 900).is_ok());
    ledger
}

/// Each of a hundred routers sees a request of an organisation only every few seconds. Unless these
/// refusals count as a series, each request waits again for tokens that were recalled long ago.
#[test]
fn infrequent_requests_do_not_wait_again_for_tokens_of_a_dead_router() {
    let mut ledger = ledger_with_dead_router();
    let alive = GrantAccount::new("alive".into(), 1, fast_ledger_policy());
    let mut ask = |now: u64| {
        let mut reserve_result = alive.reserve(at(now), &split(), 500);
        if let Some(batch) = alive.next_batch(at(now)) {
            let answer = ledger.answer(batch);
            alive
                .apply_answer(at(now + 5), &answer)
                .expect("the answer to this batch");
            reserve_result = alive.reserve(at(now + 5), &split(), 500);
        }
        reserve_result
    };
    assert!(matches!(ask(1_000), Err(Shortage::WaitFor { .. })));
    for now in [5_000, 9_000, 13_000] {
        let reserve_result = ask(now);
        assert!(
            matches!(&reserve_result, Err(Shortage::Refused(r)) if matches!(r.reason, Reason::BudgetExhausted(_)))
        );
    }
}

/// A router died with a tenth of a budget in its grant. Requests that can't be reserved must not
/// wait for ever for these tokens to be recalled: once the recall is old and refusals have followed
/// each other without a break, the budget counts as exhausted.
#[test]
fn tokens_of_dead_routers_are_not_awaited_for_ever() {
    let mut ledger = ledger_with_dead_router();
    let alive = GrantAccount::new("alive".into(), 1, fast_ledger_policy());
    let mut waited = 0;
    let mut refused_from = None;
    for now in (1_000..4_000).step_by(50) {
        match alive.reserve(at(now), &split(), 500) {
            Ok(_) => panic!("reserved 500 tokens although 900 of 1,000 are lost"),
            Err(Shortage::WaitFor { .. }) => waited += 1,
            Err(Shortage::Refused(refusal)) => {
                assert!(matches!(refusal.reason, Reason::BudgetExhausted(_)));
                refused_from.get_or_insert(now);
            }
        }
        if let Some(batch) = alive.next_batch(at(now)) {
            let answer = ledger.answer(batch);
            alive
                .apply_answer(at(now), &answer)
                .expect("the answer to this batch");
        }
    }
    assert!(waited > 5, "a request waits while the recall is recent");
    let refused_from = refused_from.expect("refused in the end");
    assert!(refused_from < 2_200, "{refused_from}");

    // A later top-up still takes effect.
    ledger.apply(&Command::TopUp(TopUp {
        id: change_id(std::time::UNIX_EPOCH, "more"),
        operator: "wanjiru".into(),
        budget: "nairobi".into(),
        amount: 5_000,
        at: std::time::UNIX_EPOCH,
    }));
    let served = (4_000..5_000).step_by(50).any(|now| {
        if let Some(batch) = alive.next_batch(at(now)) {
            let answer = ledger.answer(batch);
            alive
                .apply_answer(at(now), &answer)
                .expect("the answer to this batch");
        }
        alive.reserve(at(now), &split(), 500).is_ok()
    });
    assert!(served);
}
