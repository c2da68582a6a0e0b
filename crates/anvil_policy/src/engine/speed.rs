//! Learns how fast engines work from the times to their first events.
//!
//! *Load pattern:* engines of one service that differ in speed (0.55 to 1.3 times usual), and
//! services whose engines prefill several times as fast as others.
//!
//! *Without it:* prompts queue at slow engines until their reports show it, while faster ones are
//! idle. Where all engines prefill faster than assumed, the cost of a full batch is overestimated
//! in comparison, and prompts leave the homes of their prefixes, which are prefilled again
//! elsewhere.
//!
//! *Mechanism:* each time to a first event is compared with the expected one. The difference moves
//! the parts of the service's estimate (prefill, batch, first event) in proportion to their shares
//! of the expected time; the difference from what is expected of this engine moves its speed
//! relative to its service. The more of its time is attributed to other routers' prompts, of which
//! only the number is known, the less weight a sample has. Differences are clipped, so that single
//! late responses move an estimate little. The pace that an endpoint states is divided out of the
//! sample.
//!
//! *Thresholds:* an engine's speed follows the last ten samples or so, since requests to one engine
//! are few at one router; the service's estimate follows the last hundred.

use std::time::Duration;

use anvil_world::prelude::*;

use super::EngineRule;
use crate::token_counts::tokens_to_f64;

/// Clip of the logarithm of a sample's ratio to the expected time: beyond a factor of two, a sample
/// says more about a lost or late packet than about speed.
const MAX_ERROR: f64 = std::f64::consts::LN_2;
/// Prompts with fewer tokens take about one step of an engine, whatever its speed.
const MIN_SAMPLE_TOKENS: Tokens = 256;
/// Weight of a sample of an engine whose load reports are too old: what was queued there is
/// unknown.
const UNREPORTED_WEIGHT: f64 = 0.25;
/// Weight of a sample whose prompt the engine may have cached through other routers, or evicted.
const UNKNOWN_CACHE_WEIGHT: f64 = 0.1;
/// Weight of a sample that is slower than expected, relative to a faster one: other routers'
/// prompts that no report shows only ever make a sample slower.
const SLOWER_WEIGHT: f64 = 1.0 / 3.0;
/// Weight of the prior of an engine's speed, in samples.
const ENGINE_PRIOR_WEIGHT: f64 = 2.0;
/// Minimum weight of the newest sample in an engine's speed.
const ENGINE_MIN_GAIN: f64 = 0.2;
/// Part of an engine's difference from its service that is dropped with each sample, so that a
/// difference that all engines share is left to the service.
const ENGINE_SHRINKAGE: f64 = 0.1;
/// Weight of the prior of a service's estimate, in samples. The same number of samples halves the
/// weight of the next one.
const SERVICE_PRIOR_WEIGHT: f64 = 2.0;
/// Weight of a sample in the prior of a service's estimate: a factor of five is learned with ten
/// samples.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.5;
/// Minimum weight of the newest sample in a service's estimate.
const SERVICE_MIN_GAIN: f64 = 0.02;
/// Bounds of an engine's speed relative to its service.
const RELATIVE_BOUNDS: (f64, f64) = (0.125, 8.0);
/// Bounds of the parts of a service's estimate relative to the rule: engines of 2 to 500 tokens a
/// millisecond, and batches of a thirtieth to eight times the usual cost.
const PREFILL_BOUNDS: (f64, f64) = (1.0 / 16.0, 16.0);
const BATCH_BOUNDS: (f64, f64) = (1.0 / 32.0, 8.0);
const FIRST_EVENT_BOUNDS: (f64, f64) = (0.25, 16.0);

/// Weight of the prior of the long-term speed, in samples. That speed decides about homes: a moved
/// home costs the prefill of its prefix, so it follows only lasting differences.
const LONG_TERM_PRIOR_WEIGHT: f64 = 8.0;
/// Minimum weight of the newest sample in the long-term speed.
const LONG_TERM_MIN_GAIN: f64 = 0.02;
/// A step of the coarse speed changes only if the speed is farther than this from it, in steps:
/// between two steps, it remains as it was.
const STEP_HYSTERESIS: f64 = 0.6;
/// Steps of the coarse speed that double it.
pub(super) const STEPS_PER_DOUBLING: f64 = 2.0;
/// The largest step: four times the speed of the service, or a quarter.
const MAX_STEP: f64 = 4.0;

/// What is learned of the engines of one service, relative to an [`EngineRule`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceSpeed {
    prefill_time: f64,
    batch_cost: f64,
    first_event_time: f64,
    weight: f64,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self {
            prefill_time: 1.0,
            batch_cost: 1.0,
            first_event_time: 1.0,
            weight: 0.0,
        }
    }
}

impl ServiceSpeed {
    /// The rule with the learned values.
    pub fn apply_to(&self, rule: &EngineRule) -> EngineRule {
        EngineRule {
            prefill_tokens_per_ms: rule.prefill_tokens_per_ms / self.prefill_time,
            full_penalty: rule.full_penalty.mul_f64(self.batch_cost),
            first_event_time: rule.first_event_time.mul_f64(self.first_event_time),
            ..rule.clone()
        }
    }

    fn learn(&mut self, error: f64, weight: f64, shares: &TimeParts) {
        let prior = SERVICE_PRIOR_WEIGHT + SERVICE_SAMPLE_WEIGHT * self.weight;
        let change = error * weight * prior.recip().max(SERVICE_MIN_GAIN);
        self.weight += weight;
        let moved = |value: f64, share: f64, bounds: (f64, f64)| {
            (value * (change * share).exp()).clamp(bounds.0, bounds.1)
        };
        self.prefill_time = moved(self.prefill_time, shares.prefill, PREFILL_BOUNDS);
        self.batch_cost = moved(self.batch_cost, shares.batch, BATCH_BOUNDS);
        self.first_event_time = moved(
            self.first_event_time,
            shares.first_event,
            FIRST_EVENT_BOUNDS,
        );
    }
}

/// Speed of one engine relative to its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeSpeed {
    speed: f64,
    weight: f64,
    /// Logarithm to base 2 of the speed, averaged over more samples than the speed itself.
    long_term: f64,
    step: i8,
}

impl Default for RelativeSpeed {
    fn default() -> Self {
        Self {
            speed: 1.0,
            weight: 0.0,
            long_term: 0.0,
            step: 0,
        }
    }
}

impl RelativeSpeed {
    /// The speed; 1 is that of the service.
    pub fn factor(&self) -> f64 {
        self.speed
    }

    /// The speed in coarse steps, of which two double it; 0 while little is known.
    pub fn step(&self) -> i8 {
        self.step
    }

    fn learn(&mut self, error: f64, weight: f64) {
        let gain = (ENGINE_PRIOR_WEIGHT + self.weight).recip();
        let gain = weight * gain.max(ENGINE_MIN_GAIN);
        let long_term_gain = (LONG_TERM_PRIOR_WEIGHT + self.weight).recip();
        let long_term_gain = weight * long_term_gain.max(LONG_TERM_MIN_GAIN);
        self.weight += weight;
        let logarithm = self.speed.ln();
        let shrinkage = -ENGINE_SHRINKAGE * weigh_slower(-logarithm);
        let logarithm = logarithm - gain * (error + shrinkage);
        self.speed = logarithm.exp().clamp(RELATIVE_BOUNDS.0, RELATIVE_BOUNDS.1);
        self.long_term += long_term_gain * (self.speed.log2() - self.long_term);
        self.update_step();
    }

    fn update_step(&mut self) {
        let exact = STEPS_PER_DOUBLING * self.long_term;
        if (exact - f64::from(self.step)).abs() > STEP_HYSTERESIS {
            let step = exact.clamp(-MAX_STEP, MAX_STEP).round();
            #[expect(clippy::cast_possible_truncation, reason = "at most MAX_STEP")]
            let step = step as i8;
            self.step = step;
        }
    }
}

/// Work of an engine ahead of the first event of a request that is sent to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkAhead {
    /// Tokens to prefill of the new request.
    pub new_tokens: Tokens,
    /// Whether what the engine has cached of the prompt is known, since this router sent it there
    /// itself.
    pub is_cache_known: bool,
    /// Tokens left to prefill of this router's earlier requests.
    pub pending_tokens: Tokens,
    /// Load from other requests, if the endpoint has reported it lately.
    pub reported: Option<ReportedWork>,
}

/// Work of an engine according to its load report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedWork {
    /// Estimated tokens left to prefill of other routers' prompts.
    pub others_tokens: Tokens,
    /// Requests there as a fraction of its slots.
    pub fullness: f64,
}

/// Parts of the expected time to a first event.
struct TimeParts {
    prefill: f64,
    others: f64,
    batch: f64,
    first_event: f64,
}

impl TimeParts {
    fn expected(rule: &EngineRule, own_tokens: Tokens, reported: ReportedWork) -> Self {
        let per_token = 1.0 / rule.prefill_tokens_per_ms / 1e3;
        Self {
            prefill: tokens_to_f64(own_tokens) * per_token,
            others: tokens_to_f64(reported.others_tokens) * per_token,
            batch: rule.full_penalty.as_secs_f64() * reported.fullness.powi(2),
            first_event: rule.first_event_time.as_secs_f64(),
        }
    }

    fn total(&self) -> f64 {
        self.prefill + self.others + self.batch + self.first_event
    }

    fn shares(&self) -> Self {
        let total = self.total();
        Self {
            prefill: self.prefill / total,
            others: self.others / total,
            batch: self.batch / total,
            first_event: self.first_event / total,
        }
    }
}

/// Applies [`SLOWER_WEIGHT`] to the logarithm of a time relative to another one.
fn weigh_slower(logarithm: f64) -> f64 {
    if logarithm > 0.0 {
        logarithm * SLOWER_WEIGHT
    } else {
        logarithm
    }
}

/// Learns from a first event that came `took` after the request was sent, without the network round
/// trip, at the usual pace of the endpoint.
pub(super) fn learn(
    engine: &mut RelativeSpeed,
    service: &mut ServiceSpeed,
    rule: &EngineRule,
    ahead: &WorkAhead,
    took: Duration,
) {
    if ahead.new_tokens < MIN_SAMPLE_TOKENS || took.is_zero() {
        return;
    }
    let own_tokens = ahead.new_tokens + ahead.pending_tokens;
    let mut weight = tokens_to_f64(ahead.new_tokens) / tokens_to_f64(own_tokens);
    if ahead.reported.is_none() {
        weight *= UNREPORTED_WEIGHT;
    }
    if !ahead.is_cache_known {
        weight *= UNKNOWN_CACHE_WEIGHT;
    }
    let reported = ahead.reported.unwrap_or(ReportedWork {
        others_tokens: 0,
        fullness: 0.0,
    });
    let parts = TimeParts::expected(&service.apply_to(rule), own_tokens, reported);
    let error_at = |speed: f64| {
        let error = (took.as_secs_f64() * speed / parts.total()).ln();
        weigh_slower(error.clamp(-MAX_ERROR, MAX_ERROR))
    };
    let (engine_error, service_error) = (error_at(engine.speed), error_at(1.0));
    let shares = parts.shares();
    engine.learn(engine_error, weight * (shares.prefill + shares.batch));
    service.learn(service_error, weight * (1.0 - shares.others), &shares);
}
