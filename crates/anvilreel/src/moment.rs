//! A moment on both the monotonic clock and the wall clock.

use std::time::{Duration, Instant, SystemTime};

/// A moment on both the monotonic clock and the wall clock.
///
/// Failure: while a machine is suspended, the monotonic clock may stand still. An outdated list
/// then counts as fresh, and siblings send requests to endpoints that have left in the meantime.
/// The wall clock includes the suspension; if it was adjusted, the greater of both ages is the safe
/// one.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// Reading of the monotonic clock.
    pub monotonic: Instant,
    wall: SystemTime,
}

impl Moment {
    /// The current moment.
    pub fn now() -> Self {
        Self {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        }
    }

    /// Maximum time since this moment.
    pub fn age(&self) -> Duration {
        // A wall clock that was set back yields no age.
        let wall = self.wall.elapsed().unwrap_or_default();
        self.monotonic.elapsed().max(wall)
    }

    /// The moment shifted forward by `after` and back by `before`; `None` if a clock can't
    /// represent it.
    pub fn shifted(&self, after: Duration, before: Duration) -> Option<Self> {
        let monotonic = self.monotonic.checked_add(after)?.checked_sub(before)?;
        let wall = self.wall.checked_add(after)?.checked_sub(before)?;
        Some(Self { monotonic, wall })
    }
}
