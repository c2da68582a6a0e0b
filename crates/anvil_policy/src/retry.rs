//! Whether a failed try is made again, and when.
//!
//! *Answers:* endpoints failing while the load is high.
//!
//! *Without it:* each failure becomes two or three tries just when there is least room for them
//! (retry storm), all at the same moment. With no retries at all, one restarted endpoint turns
//! into errors for callers whose ticket lookup would have succeeded elsewhere.
//!
//! *How:* retries are at most a tenth of the work, with a small reserve for quiet times. What may
//! not be repeated is never retried after it may have run, whatever the budget says.

use std::time::Duration;

use anvil_world::prelude::*;
use rand::{Rng, RngExt};

/// Bounds of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryRule {
    /// Retries, as a part of the first tries.
    pub part: f64,
    /// Retries that are saved up at most: the runs that one router loses with an availability
    /// zone. Those must be made again, and they are bounded by what ran.
    pub reserve: f64,
    /// Reserve that comes back each second whatever the load.
    pub each_second: f64,
    /// Most tries of one request, the first one counted.
    pub most_tries: u32,
    /// Bound of the first pause; it doubles with each try.
    pub first_pause: Duration,
    /// Longest bound of a pause.
    pub longest_pause: Duration,
}

impl Default for RetryRule {
    fn default() -> Self {
        Self {
            part: 0.1,
            reserve: 100.0,
            each_second: 1.0,
            most_tries: 3,
            first_pause: Duration::from_millis(50),
            longest_pause: Duration::from_secs(2),
        }
    }
}

/// What a failed try may have done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It surely did not run, or it may run any number of times.
    Safe,
    /// It may have run, and may not run twice.
    Never,
}

/// The retry budget of one pool in one router.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    rule: RetryRule,
    left: f64,
    at: Now,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryRule::default())
    }
}

impl RetryBudget {
    /// A budget with a full reserve.
    pub fn new(rule: RetryRule) -> Self {
        Self {
            left: rule.reserve,
            rule,
            at: Duration::ZERO,
        }
    }

    /// Takes another rule over. What is left stays as it is, but for what the new reserve does not
    /// allow: others may have used up in the same window what a larger reserve would give back.
    pub fn set_rule(&mut self, now: Now, rule: RetryRule) {
        self.refill(now);
        self.left = self.left.min(rule.reserve);
        self.rule = rule;
    }

    /// Counts a first try.
    pub fn first_try(&mut self, now: Now) {
        self.refill(now);
        self.left = (self.left + self.rule.part).min(self.rule.reserve);
    }

    /// Whether to try again after `tries` tries, and after which pause. The pause is drawn
    /// evenly between nothing and its bound, so that those who failed together come apart.
    pub fn again(
        &mut self,
        now: Now,
        tries: u32,
        repeat: Repeat,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        self.refill(now);
        if repeat == Repeat::Never || tries >= self.rule.most_tries || self.left < 1.0 {
            return None;
        }
        self.left -= 1.0;
        let doubled = 2_u32.saturating_pow(tries.saturating_sub(1));
        let bound = self.rule.first_pause.saturating_mul(doubled);
        let bound = bound.min(self.rule.longest_pause);
        Some(bound.mul_f64(rng.random_range(0.0..=1.0)))
    }

    fn refill(&mut self, now: Now) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.left = (self.left + passed * self.rule.each_second).min(self.rule.reserve);
    }
}
