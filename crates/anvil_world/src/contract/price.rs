//! Measured usage and its price in budget tokens.

use serde::{Deserialize, Serialize};

use crate::ids::Tokens;

/// The usage of a run, as measured by its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Output tokens.
    pub output: Tokens,
    /// Calls of a plain service.
    pub calls: u64,
}

/// Budget tokens charged per unit of usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Price {
    /// Per prompt token.
    pub prompt: Tokens,
    /// Per output token.
    pub output: Tokens,
    /// Per call of a plain service.
    pub call: Tokens,
}

impl Default for Price {
    fn default() -> Self {
        Self {
            prompt: 1,
            output: 1,
            call: 1,
        }
    }
}

impl Price {
    /// The cost of a usage in budget tokens. Saturates at the maximum instead of wrapping.
    pub fn cost(&self, usage: Usage) -> Tokens {
        let prompt = self.prompt.saturating_mul(usage.prompt);
        let output = self.output.saturating_mul(usage.output);
        let calls = self.call.saturating_mul(usage.calls);
        prompt.saturating_add(output).saturating_add(calls)
    }
}
