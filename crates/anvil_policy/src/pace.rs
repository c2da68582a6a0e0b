//! How long work takes at an endpoint that shares its machine, compared to usual.
//!
//! *Load pattern:* endpoints whose machines are slowed by other work, for moments, each at another
//! time.
//!
//! *Without it:* an endpoint that needs three times as long receives as much work as the others, as
//! its numbers of requests show the slow-down only when they have queued.
//!
//! *Mechanism:* endpoints state the factor in their answers. The newest one counts, and its
//! difference from usual halves with its age: it changes many times a second, so an old one says
//! little.
//!
//! *Thresholds:* the half-life is a few of these changes.

use std::time::Duration;

use anvil_world::prelude::*;

/// Age at which half of a reported difference still counts.
const HALF_LIFE: Duration = Duration::from_millis(250);
/// Bounds of a factor: a report beyond them is taken for the bound, so that one wrong number doesn't
/// exclude an endpoint.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 8.0);

/// The newest reported factor of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkPace {
    newest: Option<(Now, f64)>,
}

impl WorkPace {
    /// Applies a report: the time that work takes, in percent of usual.
    pub fn apply_report(&mut self, now: Now, percent: u32) {
        let factor = f64::from(percent) / 100.0;
        let factor = factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        self.newest = Some((now, factor));
    }

    /// Expected time of work, as a multiple of usual.
    pub fn factor(&self, now: Now) -> f64 {
        let Some((at, factor)) = self.newest else {
            return 1.0;
        };
        let age = now.saturating_sub(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (factor - 1.0) * (-age).exp2()
    }
}
