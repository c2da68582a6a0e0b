//! Pauses that an endpoint asks for when it turns a request away.
//!
//! *Load pattern:* an endpoint that is overloaded, or is about to be, turns requests away at once and
//! asks each router that sent one to send nothing for some seconds.
//!
//! *Without it:* an endpoint that turns everything away looks free, as it runs little and answers at
//! once. So all routers prefer it; its refusals use up the attempts of requests and the retry budget,
//! and it can't recover. If a pause is only a preference, an endpoint gets work in it as soon as all
//! others are busy or have failed.
//!
//! *Mechanism:* a [`Pause`] bars the endpoint at one router until its end; of several, the latest end
//! counts. After that the router starts slowly: one request first, and two more for each one that the
//! endpoint takes on, until it has taken on [`TAKEN_ON_TO_END`]. An endpoint that doesn't answer gets
//! one request in each [`UNANSWERED_INTERVAL`]. While one endpoint of a service pauses, the others get no
//! more than they bear ([`bears_another`]): the load that it no longer takes would have them ask for
//! pauses as well, one after the other.
//!
//! *Thresholds:* the router's own end is later by a random part of the pause, so that the routers that
//! were turned away together don't return together.

use std::time::Duration;

use anvil_world::prelude::*;

/// Part of a pause by which its end is delayed at most.
const MAX_DELAY_FRACTION: f64 = 0.1;
/// Maximum delay of the end.
const MAX_DELAY: Duration = Duration::from_millis(300);
/// Requests that an endpoint takes on after a pause until it counts as recovered.
const TAKEN_ON_TO_END: u32 = 8;
/// After this time without an answer another request may be sent.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(250);

/// Requests at an endpoint, as a multiple of its slots, from which on it gets no more while another one
/// pauses: a few wait for the next slot, so that none stays empty.
const MAX_LOAD: f64 = 1.25;

/// Whether an endpoint bears another request while other endpoints of its service pause.
pub fn bears_another(requests: u32, slots: u32) -> bool {
    f64::from(requests) < MAX_LOAD * f64::from(slots.max(1))
}

/// The pause that one endpoint has asked one router for.
#[derive(Debug, Clone, Default)]
pub struct Pause {
    until: Option<Now>,
    /// Requests sent since the end.
    sent: u32,
    /// Of these, those that the endpoint took on.
    taken_on: u32,
    last_sent: Option<Now>,
}

impl Pause {
    /// Applies an answer that asks for a pause of this length. `jitter`, from 0 to 1, is the part of the
    /// greatest delay by which its end is delayed. Returns whether a pause begins with it.
    pub fn request(&mut self, now: Now, length: Duration, jitter: f64) -> bool {
        if length.is_zero() {
            return false;
        }
        let delay = length.mul_f64(MAX_DELAY_FRACTION).min(MAX_DELAY);
        let end = now
            .saturating_add(length)
            .saturating_add(delay.mul_f64(jitter));
        let begins = !self.is_paused(now);
        *self = Self {
            until: self.until.max(Some(end)),
            ..Self::default()
        };
        begins
    }

    /// Whether the endpoint gets no requests now.
    pub fn is_paused(&self, now: Now) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether the pause is over and no request was sent since.
    pub fn is_first_after_end(&self, now: Now) -> bool {
        self.is_recovering(now) && self.sent == 0
    }

    /// Whether the pause is over and the endpoint has not taken on enough requests since.
    pub fn is_recovering(&self, now: Now) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// Time until a request may be sent; zero if it may be sent now.
    pub fn time_until_send(&self, now: Now) -> Duration {
        let Some(until) = self.until else {
            return Duration::ZERO;
        };
        if now < until {
            return until.saturating_sub(now);
        }
        if self.sent <= 2 * self.taken_on {
            return Duration::ZERO;
        }
        let next_at = self.last_sent.map_or(now, |at| at + UNANSWERED_INTERVAL);
        next_at.saturating_sub(now)
    }

    /// Counts a request as sent, if it may be sent now; returns whether it may.
    pub fn try_send(&mut self, now: Now) -> bool {
        if !self.time_until_send(now).is_zero() {
            return false;
        }
        self.sent = self.sent.saturating_add(1);
        self.last_sent = Some(now);
        true
    }

    /// Records that the endpoint has taken on a request.
    pub fn record_taken_on(&mut self, now: Now) {
        if !self.is_recovering(now) {
            return;
        }
        self.taken_on += 1;
        if self.taken_on >= TAKEN_ON_TO_END {
            *self = Self::default();
        }
    }
}
