//! Whether work can still finish in time.
//!
//! *Answers:* saturation, when the wait grows beyond what callers stay for.
//!
//! *Without it:* endpoints work on answers whose callers have left, and goodput falls although
//! every slot is busy. A caller who is told at once can come back, or ask somewhere else.
//!
//! A refusal names the time to come back, and it is said at once: nothing is held until near its
//! deadline so that the caller asks less often.

use std::time::Duration;

use anvil_world::prelude::*;

/// Shortest time to come back that is ever named. A shorter one would only bring the same
/// request again before one run has ended.
pub const SHORTEST_RETRY: Duration = Duration::from_millis(250);

/// What is expected of a request, if it is let in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outlook {
    /// Time until its turn.
    pub wait: Duration,
    /// Time that it then takes.
    pub service: Duration,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// Longest time that it may wait for its turn.
    pub longest_wait: Duration,
}

impl Outlook {
    /// Longest wait after which it would still finish in time.
    pub fn spare(&self) -> Duration {
        let spare = self.time_left.saturating_sub(self.service);
        spare.min(self.longest_wait)
    }

    /// The refusal, when it can't finish in time.
    pub fn refusal(&self) -> Option<Refusal> {
        if self.service > self.time_left {
            // No time to come back is named: with the same deadline a retry can't help.
            return Some(Refusal::new(Reason::DeadlineTooClose));
        }
        let excess = self.wait.checked_sub(self.spare())?;
        if excess.is_zero() {
            return None;
        }
        let reason = if self.spare() < self.longest_wait {
            Reason::DeadlineTooClose
        } else {
            Reason::Overloaded
        };
        Some(Refusal::new(reason).with_retry_after(come_back_after(excess)))
    }
}

/// When to come back, if the wait is this much too long now.
pub fn come_back_after(excess: Duration) -> Duration {
    excess.max(SHORTEST_RETRY)
}
