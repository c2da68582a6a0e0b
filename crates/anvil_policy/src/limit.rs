//! Adaptive limit on the runs of an endpoint, following measured latency.
//!
//! *Load pattern:* saturation, and engines with more slots than they can serve in time.
//!
//! *Without it:* an engine with continuous batching accepts as many runs as it has slots, and each
//! added run slows down all others. The slots are bounded by the engine's memory, not by its speed,
//! so at saturation all callers get late tokens.
//!
//! *Mechanism:* the limit is cut to a part of the running runs when tokens come late or runs queue
//! inside the engine. It then stays unchanged until the effect of the cut shows, and increases in
//! steps while the load is close to it. The limit applies to the endpoint's total load, not to one
//! router's part: all routers receive the same reports and arrive at about the same limit without
//! coordination.
//!
//! *Thresholds:* the target for the time between tokens is below the promised value, because a mean
//! hides the slower steps that also prefill; the reason for each value is in [`LimitRule`].

use std::time::Duration;

use anvil_world::prelude::*;

use crate::endpoint::LoadReport;

/// Latency of one run at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Latency {
    /// Time to the first token, less the expected prefill time of the prompt. For a plain call: the
    /// whole time.
    pub first_token: Duration,
    /// Mean time between tokens; zero if there was at most one.
    pub token_gap: Duration,
}

/// Target latency and how the limit is adjusted.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitRule {
    /// Maximum mean time between tokens. Below the promised 59 ms for 95 in 100, because steps that
    /// also prefill take longer than the mean.
    pub max_token_gap: Duration,
    /// A cut keeps at least this part of the running runs.
    pub min_kept: f64,
    /// Increase of the limit in runs a second, while the load is close to it.
    pub rise_per_s: f64,
    /// Time after a cut in which the limit is not changed: the effect shows only when runs have
    /// ended, and in the report after that. Without it a single overload is cut repeatedly.
    pub cut_cooldown: Duration,
    /// Weight of the newest report. A report covers few steps, and prefilling a long prompt in them
    /// makes tokens late although the batch is small.
    pub report_weight: f64,
    /// Part of the slots that a new endpoint is given at first.
    pub initial_part: f64,
}

impl Default for LimitRule {
    fn default() -> Self {
        Self {
            max_token_gap: Duration::from_millis(51),
            min_kept: 0.8,
            rise_per_s: 1.0,
            cut_cooldown: Duration::from_secs(3),
            report_weight: 0.12,
            initial_part: 0.5,
        }
    }
}

/// The limit of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    value: f64,
    mean_lateness: f64,
    cooldown_until: Now,
    reported_at: Now,
}

impl Limit {
    /// Starts at a part of the reported slots.
    pub fn new(rule: &LimitRule, now: Now, slots: u32) -> Self {
        Self {
            value: (f64::from(slots) * rule.initial_part).max(1.0),
            mean_lateness: 0.0,
            cooldown_until: now,
            reported_at: now,
        }
    }

    /// Maximum number of runs.
    pub fn value(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "kept between 1 and the slots"
        )]
        let whole = self.value as u32;
        whole.max(1)
    }

    /// Applies a load report. `estimated_load` is the endpoint's load as estimated by this router
    /// ([`EndpointState::estimated_load`](crate::endpoint::EndpointState::estimated_load)).
    pub fn apply_report(
        &mut self,
        rule: &LimitRule,
        now: Now,
        load: &LoadReport,
        estimated_load: u32,
    ) {
        let elapsed_s = now.saturating_sub(self.reported_at).as_secs_f64();
        self.reported_at = now;
        self.mean_lateness += rule.report_weight * (lateness(rule, load) - self.mean_lateness);
        if now >= self.cooldown_until {
            if self.mean_lateness > 1.0 {
                let running = f64::from(load.running).min(self.value);
                self.value = running * (1.0 / self.mean_lateness).max(rule.min_kept);
                self.cooldown_until = now + rule.cut_cooldown;
            } else if estimated_load.saturating_add(2) >= self.value() {
                // Without load close to the limit, an increase would only admit the next burst as a
                // whole.
                self.value += rule.rise_per_s * elapsed_s.min(1.0);
            }
        }
        self.value = self.value.clamp(1.0, f64::from(load.slots.max(1)));
    }
}

/// How late tokens come, relative to the target (1 is on time); also above 1 if runs queue inside
/// the engine.
fn lateness(rule: &LimitRule, load: &LoadReport) -> f64 {
    if load.queued > 0 {
        // The engine queues runs, so it is full whatever its number of slots.
        return f64::from(load.running + load.queued) / f64::from(load.running.max(1));
    }
    if load.tokens_per_second == 0 {
        return 0.0;
    }
    let between = f64::from(load.running) / f64::from(load.tokens_per_second);
    between / rule.max_token_gap.as_secs_f64()
}
