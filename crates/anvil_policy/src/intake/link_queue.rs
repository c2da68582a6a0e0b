//! The queue upstream of a router's link, as probes show it.
//!
//! A probe is allowed a delay. Once it has waited for longer while the link was full, the router
//! closes until a probe that was sent after the closing has returned: then the queue has passed.
//! The allowed delay falls if that took long, since a larger overload makes the queue grow faster
//! than probes return.

use std::time::Duration;

use anvil_world::prelude::*;

use crate::link_pacer::{BytesPerSecond, used_share};

/// Bounds of the allowed delay: several of the largest prompts at once are no overload, and the
/// ledger's messages are to arrive within the larger one.
const ALLOWED_DELAY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(100));
/// The allowed delay as a part of the shortest target latency: the rest is left for money, the
/// endpoint and the way back.
const ALLOWED_DELAY_DIVISOR: u32 = 5;
/// The allowed delay doesn't fall below this, about what a probe takes between routers.
const MIN_ALLOWED_DELAY: Duration = Duration::from_millis(10);
/// Time in which a queue is to pass, as a multiple of the allowed delay without overload.
const DRAIN_FACTOR: f64 = 1.6;
/// Part of its speed that the link carries at least while a probe waits in its queue. Below that,
/// the probe waits elsewhere.
const FULL_LINK: f64 = 0.7;
/// For how long the allowed delay stays low after a closing.
const OVERLOAD_TIME: Duration = Duration::from_secs(1);
/// Longest closing because of a queue. A probe that has not returned by then was lost or is delayed
/// elsewhere.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest time between two observations while the link is probed, so that the listener closes
/// while the queue is short.
const MIN_OBSERVE_INTERVAL: Duration = Duration::from_millis(5);

/// What the last probe of the link shows: a short message to another router, whose reply waits
/// behind the data on the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkDelay {
    /// Time since the probe was sent.
    pub age: Duration,
    /// Time to its reply; `None` if that is outstanding.
    pub round_trip: Option<Duration>,
    /// Bytes that the link carried meanwhile, of the busier direction.
    pub carried: u64,
}

impl LinkDelay {
    /// The delay so far.
    pub fn so_far(self) -> Duration {
        self.round_trip.unwrap_or(self.age)
    }

    /// A probe that has been outstanding for long was lost or is delayed elsewhere, and shows
    /// nothing.
    pub(super) fn is_known(&self) -> bool {
        self.round_trip.is_some() || self.age < DRAIN_TIMEOUT
    }
}

/// The queue, and whether the router is closed because of it.
#[derive(Debug, Clone)]
pub(super) struct LinkQueue {
    /// Delay of a probe that is allowed without overload, and now.
    usual_allowed: Duration,
    allowed: Duration,
    /// Start of the current closing.
    draining_since: Option<Now>,
    /// End of the last one.
    drained_at: Now,
}

impl LinkQueue {
    pub(super) fn new(now: Now) -> Self {
        Self {
            usual_allowed: ALLOWED_DELAY.0,
            allowed: ALLOWED_DELAY.0,
            draining_since: None,
            drained_at: now,
        }
    }

    /// Adapts the allowed delay to the shortest target latency, and ends its reduction some time
    /// after a closing.
    pub(super) fn set_target(&mut self, now: Now, shortest_target: Duration) {
        let (floor, ceiling) = ALLOWED_DELAY;
        self.usual_allowed = (shortest_target / ALLOWED_DELAY_DIVISOR).clamp(floor, ceiling);
        if self.draining_since.is_none() && now > self.drained_at + OVERLOAD_TIME {
            self.allowed = self.usual_allowed;
        }
    }

    /// Whether a probe has waited for longer than allowed in the queue of this link.
    pub(super) fn is_long(&self, link: BytesPerSecond, delay: LinkDelay) -> bool {
        let waited = delay.so_far();
        waited >= self.allowed && used_share(link, delay.carried, waited) >= FULL_LINK
    }

    /// Closes until the queue has passed.
    pub(super) fn close(&mut self, now: Now) {
        self.draining_since = Some(now);
    }

    /// Whether it is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Ends a closing without regard to the queue.
    pub(super) fn abandon(&mut self) {
        self.draining_since = None;
    }

    /// Opens if it is closed and the queue has passed. Returns whether it did.
    pub(super) fn try_open(&mut self, now: Now, delay: Option<LinkDelay>) -> bool {
        let Some(since) = self.draining_since else {
            return false;
        };
        let is_behind = |delay: LinkDelay| delay.round_trip.is_some() && since + delay.age <= now;
        let has_passed = delay.is_none_or(is_behind) || now >= since + DRAIN_TIMEOUT;
        if has_passed {
            self.draining_since = None;
            self.drained_at = now;
            self.adapt(now.saturating_sub(since));
        }
        has_passed
    }

    /// Adapts the allowed delay after a closing of this length: half after a long one, a quarter
    /// more after a short one.
    fn adapt(&mut self, closed: Duration) {
        let allowed = if closed > self.usual_allowed.mul_f64(DRAIN_FACTOR) {
            self.allowed / 2
        } else {
            self.allowed.mul_f64(1.25)
        };
        self.allowed = allowed.clamp(MIN_ALLOWED_DELAY, self.usual_allowed);
    }

    /// Time until an observation may find a longer delay than allowed.
    pub(super) fn observe_within(&self, delay: LinkDelay) -> Duration {
        let left = match delay.round_trip {
            Some(_) => Duration::ZERO,
            None => self.allowed.saturating_sub(delay.age),
        };
        left.max(MIN_OBSERVE_INTERVAL)
    }
}
