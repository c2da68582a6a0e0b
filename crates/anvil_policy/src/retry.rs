//! Whether and when a failed attempt is retried.
//!
//! *Load pattern:* endpoints that fail while the load is high.
//!
//! *Without it:* each failure causes two or three attempts when there is the least capacity for
//! them (retry storm), all at the same time. Without any retries, a single restarted endpoint
//! causes errors for callers whose requests would have succeeded elsewhere.
//!
//! *Mechanism:* retries are limited to a tenth of the work, with a small reserve for times of low
//! load. A request that is not idempotent is never retried once it may have run, whatever the
//! budget.
//!
//! *Thresholds:* the reserve covers the runs that a router loses with an availability zone, as all
//! of them have to be retried; [`RetryRule`] has the reason for each value.

use std::time::Duration;

use anvil_world::prelude::*;
use rand::{Rng, RngExt};

/// Bounds on retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryRule {
    /// Number of retries allowed for each first attempt.
    pub retry_ratio: f64,
    /// Maximum number of retries that are saved up: the runs that one router loses with an
    /// availability zone. These must be retried, and they are bounded by what was running.
    pub max_saved: f64,
    /// Retries added to the budget each second, whatever the load.
    pub refill_per_s: f64,
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Upper bound of the first backoff; doubles with each attempt.
    pub first_backoff: Duration,
    /// Maximum of that bound.
    pub max_backoff: Duration,
}

impl Default for RetryRule {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            max_saved: 100.0,
            refill_per_s: 1.0,
            max_attempts: 3,
            first_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// Whether a failed attempt may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// It certainly did not run, or it is idempotent.
    Safe,
    /// It may have run, and must not run twice.
    Unsafe,
}

/// The retry budget of one pool in one router.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    rule: RetryRule,
    available: f64,
    refilled_at: Now,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryRule::default())
    }
}

impl RetryBudget {
    /// Creates a budget with a full reserve.
    pub fn new(rule: RetryRule) -> Self {
        Self {
            available: rule.max_saved,
            rule,
            refilled_at: Duration::ZERO,
        }
    }

    /// Replaces the rule. The remaining retries are kept, reduced to the new reserve if necessary.
    /// They don't grow with a larger reserve, because other routers may have used that part in the
    /// same window.
    pub fn set_rule(&mut self, now: Now, rule: RetryRule) {
        self.refill(now);
        self.available = self.available.min(rule.max_saved);
        self.rule = rule;
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Now) {
        self.refill(now);
        self.available = (self.available + self.rule.retry_ratio).min(self.rule.max_saved);
    }

    /// Whether a retry is left. Doesn't count one.
    pub fn has_retry(&mut self, now: Now) -> bool {
        self.refill(now);
        self.available >= 1.0
    }

    /// Returns the backoff before the next attempt after `attempts` attempts, or `None` if there
    /// must be none. The backoff is drawn uniformly between zero and its bound, so that requests
    /// that failed together are spread out.
    pub fn next_backoff(
        &mut self,
        now: Now,
        attempts: u32,
        safety: RetrySafety,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        self.refill(now);
        if safety == RetrySafety::Unsafe
            || attempts >= self.rule.max_attempts
            || self.available < 1.0
        {
            return None;
        }
        self.available -= 1.0;
        let factor = 2_u32.saturating_pow(attempts.saturating_sub(1));
        let bound = self.rule.first_backoff.saturating_mul(factor);
        let bound = bound.min(self.rule.max_backoff);
        Some(bound.mul_f64(rng.random_range(0.0..=1.0)))
    }

    fn refill(&mut self, now: Now) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.available =
            (self.available + elapsed_s * self.rule.refill_per_s).min(self.rule.max_saved);
    }
}
