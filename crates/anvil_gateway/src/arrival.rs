//! Waiting for what is about to come: the first routing table, or endpoints in their new lives.
//!
//! *Answers:* all processes and endpoints lose power and are back within a second, with clients that
//! have one return left.
//!
//! *Without it:* for half a second each request is refused, its client comes back, is refused again
//! and gives up, although everything is there a moment later. Sent away with a longer time to come
//! back, it is served, but late.
//!
//! *How:* what comes is known to be near, so a request waits for it, and no longer than that. Where
//! nothing is expected any more, requests are refused at once.

use std::time::Duration;

use anvil_world::prelude::*;
use tokio::time::{Instant, timeout_at};

use crate::gateway::Gateway;
use crate::metrics;

/// Time within which a process that has started has a routing table: processes that start together come
/// up within 0.3 s of each other, elect a leader within 0.3 s, and a lost opening packet takes 0.25 s.
const STARTS_WITHIN: Duration = Duration::from_secs(1);
/// Time within which a list that is doubted is read again, beyond its lag; twice, as the first time may
/// fall before the new lives are on it.
const READ_WITHIN: Duration = Duration::from_millis(700);
/// Part of the time left that a request waits at most, so that a client who is refused after all
/// can still come back and be served.
const PART_OF_PATIENCE: u32 = 4;

/// Longest wait for a routing table, by the age of the process.
pub fn for_start(age: Now, patience: Duration) -> Duration {
    let expected = STARTS_WITHIN.saturating_sub(age);
    expected.min(patience / PART_OF_PATIENCE)
}

/// Longest wait for endpoints, while the list that is held is known to be wrong.
pub fn for_endpoints(lag: Duration, left: Duration) -> Duration {
    let expected = lag + READ_WITHIN;
    expected.min(left / PART_OF_PATIENCE)
}

/// Waits until `f` finds what is wanted, for this time at most.
pub async fn wait<T>(gw: &Gateway, most: Duration, f: impl Fn() -> Option<T>) -> Option<T> {
    if let Some(found) = f() {
        return Some(found);
    }
    let begun = Instant::now();
    let found = wait_for(gw, begun + most, f).await;
    gw.metrics.time(metrics::ARRIVAL_WAIT, begun.elapsed());
    found
}

async fn wait_for<T>(gw: &Gateway, until: Instant, f: impl Fn() -> Option<T>) -> Option<T> {
    loop {
        let news = gw.news.notified();
        tokio::pin!(news);
        // Before the look, so that what comes between the two is not missed.
        news.as_mut().enable();
        if let Some(found) = f() {
            return Some(found);
        }
        if timeout_at(until, news).await.is_err() {
            return f();
        }
    }
}
