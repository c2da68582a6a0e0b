//! How long this replica's syncs take, for its election timeout.

use std::time::Duration;

/// Each sync changes the expected time by this fraction of the difference.
const SMOOTHING_DIVISOR: u32 = 8;
/// Time after which the last sync says nothing about the next one.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Smoothed time of a sync: a single slow one among many hardly changes it.
#[derive(Debug, Default)]
pub(super) struct SyncTimes {
    /// The smoothed time, and when the last sync was recorded.
    smoothed: Option<(Duration, Duration)>,
}

impl SyncTimes {
    /// Records a sync.
    pub fn record(&mut self, now: Duration, took: Duration) {
        let smoothed = self.recent(now).map_or(took, |before| {
            before.saturating_sub(before / SMOOTHING_DIVISOR) + took / SMOOTHING_DIVISOR
        });
        self.smoothed = Some((smoothed, now));
    }

    /// How long a sync is expected to take; zero if no recent one is known.
    pub fn expected(&self, now: Duration) -> Duration {
        self.recent(now).unwrap_or_default()
    }

    fn recent(&self, now: Duration) -> Option<Duration> {
        let (smoothed, at) = self.smoothed?;
        (now.saturating_sub(at) <= MAX_AGE).then_some(smoothed)
    }
}
