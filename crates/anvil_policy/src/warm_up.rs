//! Which endpoints may be warming up: for some seconds after a start an endpoint is slow, and it
//! crashes if it receives many requests.
//!
//! *Load pattern:* endpoints that return, one after the other or a whole availability zone at once,
//! before hundreds of routers that all look for the least loaded endpoint.
//!
//! *Without it:* an endpoint that has just started runs nothing, so every router prefers it; all of
//! them together crash it again, and it returns as empty as before.
//!
//! *Mechanism:* the platform's list states which endpoints are warming up. As the list lags, an
//! endpoint also counts as warming up from the moment at which it could not be reached, it closed
//! its idle connections before their time, or its zone was taken back, until a list that was read
//! late enough states otherwise. Routers divide the rate that such an endpoint tolerates with
//! [`crate::rate_share`]. A router takes part only while the others count it: [`may_take_part`].
//!
//! *Thresholds:* a list counts once its lag has passed since the event; without any list the warm-up
//! ends after its whole duration.

use std::time::Duration;

use anvil_world::prelude::*;

/// How endpoints of a service warm up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpRule {
    /// Time from an endpoint's start until it is warm.
    pub duration: Duration,
    /// Maximum lag of the platform's list.
    pub list_lag: Duration,
}

/// What a router knows about the warm-up of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct WarmUpView {
    /// When the list was read that last stated that it is warming up.
    listed_at: Option<Now>,
    /// An event after which it may be warming up, unless a later list states otherwise.
    suspicion: Option<Suspicion>,
}

#[derive(Debug, Clone, Copy)]
enum Suspicion {
    /// It could not be reached, and has not answered since.
    Unreachable,
    /// It has been back since then.
    Returned(Now),
}

impl WarmUpView {
    /// Records what a list states that was read at `read_at` and may lag by `list_lag`.
    pub fn record_listed(&mut self, read_at: Now, list_lag: Duration, warming_up: bool) {
        if warming_up {
            self.listed_at = Some(read_at);
            return;
        }
        self.listed_at = None;
        if let Some(Suspicion::Returned(since)) = self.suspicion
            && read_at >= since + list_lag
        {
            self.suspicion = None;
        }
    }

    /// Records that no connection to it could be made: if it has crashed, it returns cold, and the
    /// list may still state what it was before.
    pub fn record_unreachable(&mut self) {
        self.suspicion = Some(Suspicion::Unreachable);
    }

    /// Records that it closed all idle connections before their time: it may have crashed and
    /// restarted although no connection to it was refused.
    pub fn record_early_close(&mut self, now: Now) {
        if !matches!(self.suspicion, Some(Suspicion::Unreachable)) {
            self.suspicion = Some(Suspicion::Returned(now));
        }
    }

    /// Records that it answered a request.
    pub fn record_answer(&mut self, now: Now) {
        if let Some(Suspicion::Unreachable) = self.suspicion {
            self.suspicion = Some(Suspicion::Returned(now));
        }
    }

    /// Records that its zone was taken back after an evacuation, in which it may have been
    /// restarted.
    pub fn record_zone_returned(&mut self, now: Now) {
        self.suspicion = Some(Suspicion::Returned(now));
    }

    /// Whether it may be warming up.
    pub fn is_warming_up(&self, rule: &WarmUpRule, now: Now) -> bool {
        let is_listed = self.listed_at.is_some_and(|at| now < at + rule.duration);
        let is_suspect = match self.suspicion {
            None => false,
            Some(Suspicion::Unreachable) => true,
            Some(Suspicion::Returned(since)) => now < since + rule.list_lag + rule.duration,
        };
        is_listed || is_suspect
    }
}

/// Longest time since the ledger confirmed a router's view in which the router uses its part of the
/// rate.
///
/// The others divide the whole rate among themselves once the ledger has missed a router's
/// heartbeats for five seconds. Heartbeats are sent every second, so a router that is cut off stops
/// a second before that.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(3);

/// Whether a router may use its part of the rate that endpoints tolerate during their warm-up.
///
/// Failure: a router that is cut off from the ledger, or has just started, does not know how many
/// others there are. If it used a part, all parts together would exceed the rate.
pub fn may_take_part(is_counted: bool, confirmation_age: Duration) -> bool {
    is_counted && confirmation_age <= MAX_CONFIRMATION_AGE
}
