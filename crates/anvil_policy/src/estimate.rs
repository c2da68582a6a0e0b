//! Estimates how long a request takes, learned from finished requests.
//!
//! *Load pattern:* any load under admission by deadline, which needs a service time before a
//! request has run.
//!
//! *Without it:* the output limit of a request is taken for its output length. Callers who set no
//! limit get the model's largest one, so that every request looks ten times too long and is
//! refused.
//!
//! *Mechanism:* exponentially weighted means of the time for each prompt token, of the fixed time
//! to the first token, of the time for each output token, and of the output length relative to its
//! bound.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_world::prelude::*;

use crate::token_counts::tokens_to_f64;

/// Weight of the newest measurement in the means: about the last 32 count.
const SAMPLE_WEIGHT: f64 = 1.0 / 32.0;

/// Measurements of a finished request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedRequest {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Maximum number of output tokens that the request allowed.
    pub output_bound: Tokens,
    /// Output tokens generated.
    pub output: Tokens,
    /// Time from dispatch to the first token.
    pub first_token: Duration,
    /// Time from dispatch to the end.
    pub total: Duration,
}

/// Learned times of one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Seconds to the first token for each prompt token.
    pub per_prompt_token: f64,
    /// Seconds to the first token that don't depend on the prompt.
    pub base: f64,
    /// Seconds for each output token.
    pub per_output_token: f64,
    /// Output tokens generated, as a fraction of the bound.
    pub output_ratio: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            per_prompt_token: 0.000_1,
            base: 0.05,
            per_output_token: 0.03,
            output_ratio: 0.5,
        }
    }
}

impl Estimate {
    /// Expected time that a request occupies a slot.
    pub fn service_time(&self, prompt: Tokens, output_bound: Tokens) -> Duration {
        let output = tokens_to_f64(output_bound) * self.output_ratio;
        let secs = self.base
            + tokens_to_f64(prompt) * self.per_prompt_token
            + output * self.per_output_token;
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    /// Expected time that the prefill of a prompt takes by itself.
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let secs = tokens_to_f64(prompt) * self.per_prompt_token;
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    /// Updates the means from a finished request.
    pub fn learn(&mut self, finished: &FinishedRequest) {
        let first = finished.first_token.as_secs_f64();
        let rest = finished.total.as_secs_f64() - first;
        // The time to the first token of a long prompt is mostly prefill, that of a short one
        // mostly the fixed part; only the larger part is updated.
        let expected_prefill = tokens_to_f64(finished.prompt) * self.per_prompt_token;
        if expected_prefill > self.base {
            let per_token = (first - self.base).max(0.0) / tokens_to_f64(finished.prompt.max(1));
            update_mean(&mut self.per_prompt_token, per_token);
        } else {
            update_mean(&mut self.base, (first - expected_prefill).max(0.0));
        }
        if finished.output > 1 {
            update_mean(
                &mut self.per_output_token,
                rest / tokens_to_f64(finished.output - 1),
            );
        }
        if finished.output_bound > 0 {
            let part = tokens_to_f64(finished.output) / tokens_to_f64(finished.output_bound);
            update_mean(&mut self.output_ratio, part.min(1.0));
        }
    }
}

/// Mean of a time that concurrent tasks measure, without a lock.
#[derive(Debug, Default)]
pub struct MeanDuration(AtomicU64);

impl MeanDuration {
    /// The mean; `None` before the first measurement.
    pub fn get(&self) -> Option<Duration> {
        let micros = self.0.load(Ordering::Relaxed);
        (micros > 0).then(|| Duration::from_micros(micros))
    }

    /// Updates the mean. A concurrent update may be lost, which the next ones make up for.
    pub fn learn(&self, measured: Duration) {
        let mean = self.get().map_or(measured, |old| {
            let mut mean = old.as_secs_f64();
            update_mean(&mut mean, measured.as_secs_f64());
            Duration::from_secs_f64(mean)
        });
        let micros = u64::try_from(mean.as_micros()).unwrap_or(u64::MAX);
        self.0.store(micros.max(1), Ordering::Relaxed);
    }
}

fn update_mean(old: &mut f64, new: f64) {
    *old += SAMPLE_WEIGHT * (new - *old);
}
