//! Whether a request can still finish before its deadline.
//!
//! *Load pattern:* saturation, when the wait grows beyond the time that callers stay.
//!
//! *Without it:* endpoints work on answers whose callers have timed out, and goodput falls although
//! every slot is busy. A caller who is refused at once can retry later or elsewhere.
//!
//! *Mechanism:* a refusal carries the time after which to retry, and is returned at once: no
//! request is held until near its deadline to make its caller ask less often.

use std::time::Duration;

use anvil_world::prelude::*;

/// Minimum retry time in a refusal. With a shorter one the same request would return before a
/// single run has ended.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a request can expect, if it is admitted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Expected wait until it is dispatched.
    pub wait: Duration,
    /// Expected service time after that.
    pub service: Duration,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// Maximum time that it may wait for dispatch.
    pub max_wait: Duration,
}

impl Forecast {
    /// Longest wait after which it would still finish in time.
    pub fn max_feasible_wait(&self) -> Duration {
        let spare = self.time_left.saturating_sub(self.service);
        spare.min(self.max_wait)
    }

    /// The refusal, if it can't finish in time.
    pub fn refusal(&self) -> Option<Refusal> {
        if self.service > self.time_left {
            // No retry time is given: with the same deadline a retry can't succeed either.
            return Some(Refusal::new(Reason::DeadlineTooClose));
        }
        let excess = self.wait.checked_sub(self.max_feasible_wait())?;
        if excess.is_zero() {
            return None;
        }
        let reason = if self.max_feasible_wait() < self.max_wait {
            Reason::DeadlineTooClose
        } else {
            Reason::Overloaded
        };
        Some(Refusal::new(reason).with_retry_after(retry_delay(excess)))
    }
}

/// Time after which to retry, if the expected wait is too long by `excess`.
pub fn retry_delay(excess: Duration) -> Duration {
    excess.max(MIN_RETRY_AFTER)
}
