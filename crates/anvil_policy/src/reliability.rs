//! How often an endpoint loses what it was given, as one router sees it.
//!
//! *Answers:* endpoints that take requests and lose part of the answers, while their health check is good and
//! the rest of their answers are quick: connections reset in the middle, streams that break off, silence.
//!
//! *Without it:* each loss shuts the endpoint for a quarter of a second and its next good answer
//! clears its name, so it gets its full share all the while. What may not run twice is lost each time.
//!
//! *How:* a loss weighs much, since a sound endpoint loses nearly nothing, and a router sees only about one
//! request a second of each; good answers and time take it back. The part that is lost is a price in time
//! ([`Reliability::set_back`]): an endpoint that loses a part of its answers is used when the others are
//! busier by what that loss is worth.

use std::time::Duration;

use anvil_world::prelude::*;

/// Weight of one loss. Two in a row make an endpoint one that loses 44 in 100.
const LOSS: f64 = 0.25;
/// Weight of one good answer: eight of them in a row take two thirds of a loss back.
const GOOD: f64 = 0.125;
/// Half of what is held against an endpoint is forgotten after this time. One that is passed over gives no
/// good answers, and its trouble lasts some seconds.
const HALVED_AFTER: Duration = Duration::from_secs(4);

/// The part of its newest answers that one endpoint has lost.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reliability {
    part: f64,
    at: Now,
}

impl Reliability {
    /// An answer has begun well.
    pub fn answered(&mut self, now: Now) {
        self.part = self.lost(now) * (1.0 - GOOD);
        self.at = now;
    }

    /// An answer was lost: before it began, in the middle, or by silence.
    pub fn note_loss(&mut self, now: Now) {
        let part = self.lost(now);
        self.part = part + LOSS * (1.0 - part);
        self.at = now;
    }

    /// Part of its answers that it is expected to lose.
    pub fn lost(&self, now: Now) -> f64 {
        let passed = now.saturating_sub(self.at);
        let halvings = passed.as_secs_f64() / HALVED_AFTER.as_secs_f64();
        self.part * (-halvings).exp2()
    }

    /// Time by which it is set back, where losing a request costs so much.
    pub fn set_back(&self, now: Now, loss_costs: Duration) -> Duration {
        loss_costs.mul_f64(self.lost(now))
    }
}
