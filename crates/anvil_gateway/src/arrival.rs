//! Waits for state that is expected shortly: the first routing table, or new incarnations of
//! endpoints.
//!
//! Failure: all processes and endpoints lose power and return within a second. Each request in that
//! time would be refused, and a client with one retry left would give up although the state arrives
//! a moment later; a longer retry-after time would delay it. So a request waits, but no longer than
//! the state is expected to take. If nothing is expected, it is refused at once.

use std::time::Duration;

use anvil_world::prelude::*;
use tokio::time::{Instant, timeout_at};

use crate::gateway::Gateway;
use crate::metrics;

/// Time in which a started process receives a routing table. Processes that start together come up
/// within 0.3 s of each other and elect a leader within 0.3 s; a lost SYN takes 0.25 s.
const STARTS_WITHIN: Duration = Duration::from_secs(1);
/// Time, beyond the list's lag, in which a wrong list has been read twice: the first reading may
/// still lack the new incarnations.
const READ_WITHIN: Duration = Duration::from_millis(700);
/// A request waits for at most this part of its remaining time, as a divisor, so that a client that
/// is refused in the end can still retry.
const PART_OF_PATIENCE: u32 = 4;

/// Longest wait for a routing table, by the age of the process.
pub fn for_start(age: Now, patience: Duration) -> Duration {
    let expected = STARTS_WITHIN.saturating_sub(age);
    expected.min(patience / PART_OF_PATIENCE)
}

/// Longest wait for endpoints while the list is known to be wrong.
pub fn for_endpoints(lag: Duration, left: Duration) -> Duration {
    let expected = lag + READ_WITHIN;
    expected.min(left / PART_OF_PATIENCE)
}

/// Waits until `f` returns a value, for at most this time.
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
        // Registers before the check, so that a change between the two is not missed.
        news.as_mut().enable();
        if let Some(found) = f() {
            return Some(found);
        }
        if timeout_at(until, news).await.is_err() {
            return f();
        }
    }
}
