//! How long a request will take, learned from those before it.
//!
//! *Answers:* admission by deadline needs a service time before anything has run.
//!
//! *Without it:* the output limit of a request is taken for its length. Callers who name none
//! get the model's largest, so that everything looks ten times too long and is refused.

use std::time::Duration;

use anvil_world::prelude::*;

/// Weight of the newest of measurements: about the last 32 count.
const NEWEST: f64 = 1.0 / 32.0;

/// What a finished request measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Finished {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Most output tokens that it might have made.
    pub output_bound: Tokens,
    /// Output tokens that it made.
    pub output: Tokens,
    /// From dispatch to the first token.
    pub first_token: Duration,
    /// From dispatch to the end.
    pub total: Duration,
}

/// Learned times of one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Seconds to the first token for each prompt token.
    pub per_prompt_token: f64,
    /// Seconds to the first token beside the prompt.
    pub base: f64,
    /// Seconds for each output token.
    pub per_output_token: f64,
    /// Output tokens made, as a part of the bound.
    pub output_part: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            per_prompt_token: 0.000_1,
            base: 0.05,
            per_output_token: 0.03,
            output_part: 0.5,
        }
    }
}

impl Estimate {
    /// Expected time in a slot.
    pub fn service(&self, prompt: Tokens, output_bound: Tokens) -> Duration {
        let output = real(output_bound) * self.output_part;
        let secs =
            self.base + real(prompt) * self.per_prompt_token + output * self.per_output_token;
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    /// Expected time that a prompt's prefill takes by itself.
    pub fn prefill(&self, prompt: Tokens) -> Duration {
        let secs = real(prompt) * self.per_prompt_token;
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    /// Learns from a finished request.
    pub fn learn(&mut self, finished: &Finished) {
        let first = finished.first_token.as_secs_f64();
        let rest = finished.total.as_secs_f64() - first;
        // A long prompt's first token is mostly prefill, a short one's mostly all the rest.
        let expected_prefill = real(finished.prompt) * self.per_prompt_token;
        if expected_prefill > self.base {
            let per_token = (first - self.base).max(0.0) / real(finished.prompt.max(1));
            blend(&mut self.per_prompt_token, per_token);
        } else {
            blend(&mut self.base, (first - expected_prefill).max(0.0));
        }
        if finished.output > 1 {
            blend(&mut self.per_output_token, rest / real(finished.output - 1));
        }
        if finished.output_bound > 0 {
            let part = real(finished.output) / real(finished.output_bound);
            blend(&mut self.output_part, part.min(1.0));
        }
    }
}

fn blend(old: &mut f64, new: f64) {
    *old += NEWEST * (new - *old);
}

#[expect(
    clippy::cast_precision_loss,
    reason = "lengths are far below 2^52 tokens"
)]
fn real(tokens: Tokens) -> f64 {
    tokens as f64
}
