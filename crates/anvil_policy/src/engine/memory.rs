//! Tokens that an engine's memory holds.
//!
//! *Load pattern:* long prompts with long responses on engines whose memory is full before their
//! slots are.
//!
//! *Without it:* an engine with free slots receives one request too many, crashes, and loses all
//! that it runs.
//!
//! *Mechanism:* the tokens of this router's requests are counted: the prompt, and the output that
//! is expected, or what has come if that is more. For other routers' requests the reported number
//! is multiplied by the mean size. An engine that one more request would overfill is passed over.
//!
//! *Thresholds:* a tenth of the memory is left free, for other routers' requests that are larger
//! than the mean, and for those sent since the last report.

use anvil_world::prelude::*;

use crate::token_counts::{to_tokens, tokens_to_f64};

/// Part of the memory that requests may fill by estimate.
const USABLE_PART: f64 = 0.9;
/// Minimum weight of the newest request in the means.
const MIN_GAIN: f64 = 1.0 / 64.0;
/// Part of the maximum output that a request is expected to use before any has ended.
const FIRST_OUTPUT_PART: f64 = 0.5;

/// Mean sizes of one service's requests, as seen by one router.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestSizes {
    count: u32,
    output: f64,
    whole: f64,
}

impl RequestSizes {
    /// Records a completed request.
    pub fn record(&mut self, prompt: Tokens, output: Tokens) {
        self.count = self.count.saturating_add(1);
        let gain = f64::from(self.count).recip().max(MIN_GAIN);
        self.output += gain * (tokens_to_f64(output) - self.output);
        self.whole += gain * (tokens_to_f64(prompt + output) - self.whole);
    }

    /// Expected output of a request that may have this much.
    pub fn expected_output(&self, max_output: Tokens) -> Tokens {
        if self.count == 0 {
            return to_tokens((FIRST_OUTPUT_PART * tokens_to_f64(max_output)).round());
        }
        to_tokens(self.output.round()).min(max_output)
    }

    /// Mean size of a request, prompt and output; `None` before any has ended.
    pub fn mean(&self) -> Option<Tokens> {
        (self.count > 0).then(|| to_tokens(self.whole.round()))
    }
}

/// What a request would add to an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryDemand {
    /// Tokens that fit into the engine's memory.
    pub capacity: Tokens,
    /// Tokens of the request: its prompt and expected output.
    pub request: Tokens,
    /// Mean tokens of other routers' requests.
    pub mean_request: Tokens,
}

impl MemoryDemand {
    /// Whether the request fits beside `own` tokens of this router and `others` requests of other
    /// routers. An engine that holds nothing takes any request.
    pub fn fits(&self, own: Tokens, others: f64) -> bool {
        let held = tokens_to_f64(own) + others * tokens_to_f64(self.mean_request);
        held < 1.0
            || held + tokens_to_f64(self.request) <= USABLE_PART * tokens_to_f64(self.capacity)
    }
}
