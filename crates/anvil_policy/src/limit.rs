//! How many runs an endpoint is given, following measured latency.
//!
//! *Answers:* saturation, and engines whose slots are more than they serve well.
//!
//! *Without it:* an engine that batches continuously takes as many runs as it has slots, and
//! each added run slows every other. The slots are the engine's bound of memory, not of speed,
//! so at saturation all callers get late tokens and goodput falls.
//!
//! *How:* additive increase, multiplicative decrease on a window of measurements. The limit is
//! on the endpoint's whole pressure, not on one router's part of it: all routers see the same
//! slow tokens and come to about the same limit without talking to each other.

use std::time::Duration;

use anvil_world::prelude::*;

/// What one run measured at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Latency {
    /// Time to the first token, less what the prompt's own prefill is expected to take. For a
    /// plain call: the whole time.
    pub first: Duration,
    /// Mean time between tokens; zero when there was at most one.
    pub between: Duration,
}

/// What callers are promised, and how the limit moves.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitRule {
    /// Longest time to the first token, for 95 in 100.
    pub first: Duration,
    /// Longest mean time between tokens, for 95 in 100.
    pub between: Duration,
    /// Measurements before the limit moves.
    pub window: u32,
    /// Of a window, how many may be late.
    pub late: u32,
    /// The limit keeps this part of itself when too many are late.
    pub keep: f64,
}

impl Default for LimitRule {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(410),
            between: Duration::from_millis(59),
            window: 20,
            late: 1,
            keep: 0.9,
        }
    }
}

/// The limit of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    value: f64,
    seen: u32,
    late: u32,
    pressed: bool,
    counts_from: Now,
}

impl Limit {
    /// Starts at the endpoint's own word.
    pub fn new(slots: u32) -> Self {
        Self {
            value: f64::from(slots.max(1)),
            seen: 0,
            late: 0,
            pressed: false,
            counts_from: Duration::ZERO,
        }
    }

    /// Most runs.
    pub fn value(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "kept between 1 and the slots"
        )]
        let whole = self.value as u32;
        whole.max(1)
    }

    /// Takes in a measurement of a run that started at `started`. `pressure` is the endpoint's
    /// pressure now, `slots` its word for the most.
    pub fn observe(
        &mut self,
        rule: &LimitRule,
        now: Now,
        started: Now,
        latency: &Latency,
        pressure: u32,
        slots: u32,
    ) {
        // Runs that began before the last cut say nothing of the limit after it. Counting them
        // would cut again and again for one overload, down to a single run.
        if started < self.counts_from {
            return;
        }
        self.seen += 1;
        if latency.first > rule.first || latency.between > rule.between {
            self.late += 1;
        }
        // Within two runs of the limit; an increase that nothing presses for would only let the
        // next burst in whole.
        self.pressed |= pressure.saturating_add(2) >= self.value();
        if self.late > rule.late {
            self.value = (self.value * rule.keep).max(1.0);
            self.restart(now);
        } else if self.seen >= rule.window {
            if self.pressed {
                self.value += 1.0;
            }
            self.restart(self.counts_from);
        }
        self.value = self.value.min(f64::from(slots.max(1)));
    }

    fn restart(&mut self, counts_from: Now) {
        self.seen = 0;
        self.late = 0;
        self.pressed = false;
        self.counts_from = counts_from;
    }
}
