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
const STARTUP_TIME: Duration = Duration::from_secs(1);
/// Time, beyond the list's lag, in which a wrong list has been read twice: the first reading may
/// still lack the new incarnations.
const LIST_REREAD_TIME: Duration = Duration::from_millis(700);
/// A request waits for at most this part of its remaining time, as a divisor, so that a client that
/// is refused in the end can still retry.
const MAX_WAIT_DIVISOR: u32 = 4;

/// Longest wait for a routing table, by the age of the process.
pub fn startup_wait(age: Now, request_timeout: Duration) -> Duration {
    let expected = STARTUP_TIME.saturating_sub(age);
    expected.min(request_timeout / MAX_WAIT_DIVISOR)
}

/// Longest wait for endpoints while the list is known to be wrong.
pub fn endpoints_wait(lag: Duration, time_left: Duration) -> Duration {
    let expected = lag + LIST_REREAD_TIME;
    expected.min(time_left / MAX_WAIT_DIVISOR)
}

/// Waits until `f` returns a value, for at most this time.
pub async fn wait_until_available<T>(
    gw: &Gateway,
    max_wait: Duration,
    f: impl Fn() -> Option<T>,
) -> Option<T> {
    if let Some(found) = f() {
        return Some(found);
    }
    let started = Instant::now();
    let found = poll_until(gw, started + max_wait, f).await;
    gw.metrics
        .time(metrics::AVAILABILITY_WAIT, started.elapsed());
    found
}

async fn poll_until<T>(gw: &Gateway, deadline: Instant, f: impl Fn() -> Option<T>) -> Option<T> {
    loop {
        let changed = gw.state_changed.notified();
        tokio::pin!(changed);
        // Registers before the check, so that a change between the two is not missed.
        changed.as_mut().enable();
        if let Some(found) = f() {
            return Some(found);
        }
        if timeout_at(deadline, changed).await.is_err() {
            return f();
        }
    }
}
