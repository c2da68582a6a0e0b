//! A few large requests a second at each of many routers.

use std::time::Duration;

use anvilreel::money::{GrantPolicy, Purse};

use crate::ledger::{Ledger, at, split};

/// Time between two requests, in milliseconds: three a second, each of 9,000 tokens.
const EVERY: u64 = 330;
const REQUEST: u64 = 9_000;

/// Most tokens that lie free in the grants of a purse under this demand, over five seconds.
fn most_free(smooth_over: Option<Duration>) -> u64 {
    let mut ledger = Ledger::with(100_000_000);
    let purse = Purse::new(
        "r1".into(),
        1,
        GrantPolicy {
            horizon: Duration::from_millis(700),
            batch_every: Duration::from_millis(200),
            urgent_every: Duration::from_millis(10),
            spare_requests: 0,
            smooth_over,
            ..GrantPolicy::default()
        },
    );
    let mut most = 0;
    let mut open = Vec::new();
    for now in 1..5_000 {
        let asks = now % EVERY == 0 || purse.is_urgent();
        if asks && let Ok(reservation) = purse.reserve(at(now), &split(), REQUEST) {
            open.push((now + 600, reservation));
        }
        while open.first().is_some_and(|(ends, _)| *ends <= now) {
            let (_, reservation) = open.remove(0);
            purse.settle(reservation, REQUEST).expect("within");
        }
        if let Some(batch) = purse.batch(at(now)) {
            let answer = ledger.answer(batch);
            purse.answered(at(now), &answer).expect("ours");
        }
        if now > 2_000 {
            most = most.max(purse.view("nairobi").free);
        }
    }
    most
}

/// Near the end of a budget callers are refused although a tenth of it is unspent, and after a
/// power loss that tenth is gone. Each of 25 routers had seen one large request end within one
/// batch, took that for its demand, and asked for five times what it would use.
#[test]
fn sparse_demand_is_not_taken_for_a_flood() {
    let horizon = REQUEST * 1_000 / EVERY * 700 / 1_000;
    let at_once = most_free(None);
    let averaged = most_free(Some(Duration::from_secs(1)));
    assert!(averaged <= horizon + REQUEST, "{averaged}");
    assert!(at_once > averaged * 3 / 2, "{at_once} and {averaged}");
}
