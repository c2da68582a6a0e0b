//! What work costs.

use serde::{Deserialize, Serialize};

use crate::ids::Tokens;

/// What a run used, as its endpoint measured it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
    /// Calls of a plain service.
    pub calls: u64,
}

/// Budget tokens for each unit of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Price {
    /// For one prompt token.
    pub prompt: Tokens,
    /// For one token of the answer.
    pub output: Tokens,
    /// For one call of a plain service.
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
    /// Budget tokens for a use, capped at the largest number instead of wrapping round.
    pub fn of(&self, usage: Usage) -> Tokens {
        let prompt = self.prompt.saturating_mul(usage.prompt);
        let output = self.output.saturating_mul(usage.output);
        let calls = self.call.saturating_mul(usage.calls);
        prompt.saturating_add(output).saturating_add(calls)
    }
}
