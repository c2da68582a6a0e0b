//! Pauses of this process, which must not be taken for silence of others.
//!
//! A process that waits for a processor, or whose machine stands still, handles nothing meanwhile: answers
//! of the others may be waiting for it, or may never have been requested.

use std::time::Duration;

/// Time in which the others answer after a pause, in heartbeat intervals.
const ANSWER_HEARTBEATS: u32 = 2;
/// A longer pause, in heartbeat intervals, counts as silence: the others have elected a leader by then.
const MAX_PAUSE_HEARTBEATS: u32 = 6;

/// Pauses between the ticks of this process.
#[derive(Debug, Default)]
pub(super) struct OwnPauses {
    last_tick: Duration,
    /// Time allowed for pauses since the others were last heard.
    allowed: Duration,
}

impl OwnPauses {
    /// No pause before this time.
    pub(super) fn since(now: Duration) -> Self {
        Self {
            last_tick: now,
            allowed: Duration::ZERO,
        }
    }

    /// Records a tick. Returns for how much longer the others are to be waited for because of a pause before
    /// it. The sum is limited until they are heard: a process that pauses again and again still notices that
    /// the others are gone.
    pub(super) fn allowance(&mut self, now: Duration, heartbeat_interval: Duration) -> Duration {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.last_tick, now));
        if elapsed > MAX_PAUSE_HEARTBEATS * heartbeat_interval {
            return Duration::ZERO;
        }
        let pause = elapsed.saturating_sub(heartbeat_interval);
        let limit = ANSWER_HEARTBEATS * heartbeat_interval;
        let allowed = pause.min(limit.saturating_sub(self.allowed));
        self.allowed += allowed;
        allowed
    }

    /// Records that the others have been heard.
    pub(super) fn others_heard(&mut self) {
        self.allowed = Duration::ZERO;
    }
}
