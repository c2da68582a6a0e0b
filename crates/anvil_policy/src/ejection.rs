//! Gives less work to endpoints that are slow or failing (outlier ejection).
//!
//! *Load pattern:* one endpoint that is ten times slower than the others, or one that returns
//! errors quickly.
//!
//! *Without it:* the slow endpoint holds its share of the callers for ten times as long. The
//! failing one is worse: its runs end at once, so it always looks empty, and choosing by load sends
//! it all the work.
//!
//! *Mechanism:* the share of a slow endpoint is halved at each tick, so that one bad second costs
//! little. Errors reduce it to the minimum share at once, because each further attempt is a failed
//! request. The minimum is above zero, as otherwise nobody would notice that the endpoint has
//! recovered. A recovered endpoint gets its full share at the next tick; a slower increase was
//! measured and removed (`docs/design/04-decisions.md`, "Taken out").
//!
//! *Thresholds:* an endpoint counts as failing after three errors in a row and as slow after four
//! slow answers in a row. At most half of the pool is ejected, because when more looks bad, the
//! cause is more likely this router or the requests.

use std::time::Duration;

use anvil_world::prelude::*;

use crate::endpoint::FULL_SHARE;

/// Thresholds of ejection.
#[derive(Debug, Clone, PartialEq)]
pub struct EjectionRule {
    /// An answer is slow if it took this many times the pool's median.
    pub slow_factor: f64,
    /// An endpoint is slow if more than this part of its recent answers were slow. Comparing mean
    /// times would only work for similar answers: one long prompt among short questions raises a
    /// mean to ten times the median.
    pub slow_ratio: f64,
    /// An endpoint is failing if more than this part of its recent answers are errors.
    pub error_ratio: f64,
    /// Minimum share, in thousandths.
    pub min_share: u32,
    /// Maximum part of the pool's total share that is taken away. When more than half looks bad,
    /// the cause is more likely this router or the requests.
    pub max_ejected: f64,
    /// An endpoint without answers for this long is no longer considered slow or failing.
    pub forget_after: Duration,
}

impl Default for EjectionRule {
    fn default() -> Self {
        Self {
            slow_factor: 3.0,
            slow_ratio: 0.6,
            error_ratio: 0.3,
            min_share: 20,
            max_ejected: 0.5,
            forget_after: Duration::from_secs(10),
        }
    }
}

/// Result of an attempt at an endpoint; only failures of the endpoint itself count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It answered; the time for one unit of work (to the first token, or for a whole call).
    Answered(Duration),
    /// It failed, or could not be reached.
    Failed,
}

/// Weight of the newest answer in the error rate: three errors in a row count as failing.
const ERROR_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest answer in the rate of slow answers: four in a row count as slow.
const SLOW_WEIGHT: f64 = 1.0 / 4.0;
/// Weight of the newest answer in the mean time.
const TIME_WEIGHT: f64 = 1.0 / 16.0;
/// The mean time is used from this number of answers on.
const MIN_SAMPLES: u32 = 4;

/// Statistics on the answers of one endpoint.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerStats {
    error_rate: f64,
    slow_rate: f64,
    slow_threshold: Option<f64>,
    mean_time: f64,
    samples: u32,
    last_observed: Now,
    target_share: Option<u32>,
}

impl AnswerStats {
    /// Updates the statistics with the result of an attempt.
    pub fn observe(&mut self, now: Now, ended: Observation) {
        self.last_observed = now;
        let failed = match ended {
            Observation::Failed => 1.0,
            Observation::Answered(time) => {
                self.learn(time);
                0.0
            }
        };
        self.error_rate += ERROR_WEIGHT * (failed - self.error_rate);
    }

    fn learn(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let weight = if self.samples == 0 { 1.0 } else { TIME_WEIGHT };
        self.mean_time += weight * (time - self.mean_time);
        self.samples = self.samples.saturating_add(1);
        let slow = self
            .slow_threshold
            .is_some_and(|threshold| time > threshold);
        self.slow_rate += SLOW_WEIGHT * (f64::from(u8::from(slow)) - self.slow_rate);
    }

    /// Whether its error rate is above the threshold.
    pub fn is_failing(&self, rule: &EjectionRule) -> bool {
        self.error_rate > rule.error_ratio
    }

    /// Its mean time in seconds, once there are enough answers.
    pub fn mean_time(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_time)
    }

    /// The share that it should get, in thousandths.
    pub fn target_share(&self) -> u32 {
        self.target_share.unwrap_or(FULL_SHARE)
    }

    fn evaluate(&mut self, rule: &EjectionRule, now: Now, median: Option<f64>) {
        if now.saturating_sub(self.last_observed) > rule.forget_after {
            *self = Self {
                last_observed: self.last_observed,
                ..Self::default()
            };
        }
        self.slow_threshold = median.map(|median| median * rule.slow_factor);
        let slow = self.slow_rate > rule.slow_ratio;
        self.target_share = if self.is_failing(rule) {
            Some(rule.min_share)
        } else if slow {
            Some((self.target_share() / 2).max(rule.min_share))
        } else {
            None
        };
    }
}

/// Evaluates all endpoints of a pool; to be called once a second.
pub fn evaluate(rule: &EjectionRule, now: Now, all_stats: &mut [&mut AnswerStats]) {
    let median = median(all_stats);
    for stats in all_stats.iter_mut() {
        stats.evaluate(rule, now, median);
    }
    cap_ejection(rule, all_stats);
}

fn median(all_stats: &[&mut AnswerStats]) -> Option<f64> {
    let mut times: Vec<f64> = all_stats
        .iter()
        .filter_map(|stats| stats.mean_time())
        .collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len().saturating_sub(1) / 2).copied()
}

/// Restores full shares, starting with the endpoints in the best state, until no more than the
/// bound is taken away.
fn cap_ejection(rule: &EjectionRule, all_stats: &mut [&mut AnswerStats]) {
    let whole = f64::from(FULL_SHARE);
    #[expect(clippy::cast_precision_loss, reason = "pools are small numbers")]
    let mut remaining = all_stats.len() as f64 * whole * rule.max_ejected;
    let mut worst_first: Vec<usize> = (0..all_stats.len()).collect();
    worst_first.sort_by(|a, b| severity(all_stats[*b]).total_cmp(&severity(all_stats[*a])));
    for at in worst_first {
        let taken = whole - f64::from(all_stats[at].target_share());
        if taken > remaining {
            all_stats[at].target_share = None;
        } else {
            remaining -= taken;
        }
    }
}

fn severity(stats: &AnswerStats) -> f64 {
    // Errors count more than any slowness: a slow answer is still an answer.
    stats.error_rate * 1_000.0 + stats.slow_rate
}
