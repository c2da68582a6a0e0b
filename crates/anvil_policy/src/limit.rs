//! How many runs an endpoint is given, following measured latency.
//!
//! *Answers:* saturation, and engines whose slots are more than they serve well.
//!
//! *Without it:* an engine that batches continuously takes as many runs as it has slots, and
//! each added run slows every other. The slots are the engine's bound of memory, not of speed,
//! so at saturation all callers get late tokens.
//!
//! *How:* the limit falls to a part of what runs when tokens come late or runs wait inside the
//! engine, then rests until the cut shows, and rises by steps while work presses against it.
//! The limit is on the endpoint's whole pressure, not on one router's part of it: all routers
//! hear the same reports and come to about the same limit without talking to each other.

use std::time::Duration;

use anvil_world::prelude::*;

use crate::endpoint::LoadReport;

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
    /// Longest mean time between tokens. Below the promised 59 ms for 95 in 100, because steps
    /// that also prefill take longer than the mean.
    pub between: Duration,
    /// A cut leaves at least this part of what runs.
    pub keep: f64,
    /// Runs that the limit rises a second, while work presses against it.
    pub rise: f64,
    /// After a cut the limit rests this long: the cut shows only when runs have ended, and in
    /// the report after that. Without the rest one overload is cut again and again.
    pub rest: Duration,
    /// Weight of the newest report. One report covers few steps, and a long prompt that is
    /// prefilled in them makes it late although the batch is small.
    pub newest: f64,
    /// Part of the slots that a new endpoint is given at first.
    pub first: f64,
}

impl Default for LimitRule {
    fn default() -> Self {
        Self {
            between: Duration::from_millis(51),
            keep: 0.8,
            rise: 1.0,
            rest: Duration::from_secs(3),
            newest: 0.12,
            first: 0.5,
        }
    }
}

/// The limit of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    value: f64,
    late: f64,
    rests_until: Now,
    heard_at: Now,
}

impl Limit {
    /// Starts at a part of the endpoint's own word.
    pub fn new(rule: &LimitRule, now: Now, slots: u32) -> Self {
        Self {
            value: (f64::from(slots) * rule.first).max(1.0),
            late: 0.0,
            rests_until: now,
            heard_at: now,
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

    /// Takes in a report. `pressure` is the endpoint's pressure by this router's count.
    pub fn heard(&mut self, rule: &LimitRule, now: Now, load: &LoadReport, pressure: u32) {
        let passed = now.saturating_sub(self.heard_at).as_secs_f64();
        self.heard_at = now;
        self.late += rule.newest * (lateness(rule, load) - self.late);
        if now >= self.rests_until {
            if self.late > 1.0 {
                let running = f64::from(load.running).min(self.value);
                self.value = running * (1.0 / self.late).max(rule.keep);
                self.rests_until = now + rule.rest;
            } else if pressure.saturating_add(2) >= self.value() {
                // An increase that nothing presses for would only let the next burst in whole.
                self.value += rule.rise * passed.min(1.0);
            }
        }
        self.value = self.value.clamp(1.0, f64::from(load.slots.max(1)));
    }
}

/// How many times too late the tokens come; over 1 also when runs wait inside the engine.
fn lateness(rule: &LimitRule, load: &LoadReport) -> f64 {
    if load.queued > 0 {
        // It is full by its own word, whatever its slots say.
        return f64::from(load.running + load.queued) / f64::from(load.running.max(1));
    }
    if load.tokens_per_second == 0 {
        return 0.0;
    }
    let between = f64::from(load.running) / f64::from(load.tokens_per_second);
    between / rule.between.as_secs_f64()
}
