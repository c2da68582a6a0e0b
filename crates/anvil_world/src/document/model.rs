//! The document at `models/NAME`.

use serde::{Deserialize, Serialize};

use crate::contract::Price;
use crate::ids::{ServiceId, Tokens};
use crate::settings::{Problem, Validate};

/// A model that callers may request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelDocument {
    /// The service whose endpoints run it.
    pub service: ServiceId,
    /// Price of its tokens.
    #[serde(default)]
    pub price: Price,
    /// Maximum tokens of one answer; also the limit of a request that sets none itself.
    #[serde(default = "default_output")]
    pub max_output: Tokens,
    /// Maximum tokens of a prompt.
    #[serde(default = "default_prompt")]
    pub max_prompt: Tokens,
    /// How many endpoints should have it loaded.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
}

fn default_output() -> Tokens {
    1_024
}

fn default_prompt() -> Tokens {
    32_768
}

fn default_replicas() -> u32 {
    1
}

impl Validate for ModelDocument {
    fn problems(&self) -> Vec<Problem> {
        let mut found = Problem::check_name("service", &self.service);
        found.extend(Problem::check_range(
            "max_output",
            self.max_output,
            1..=1_000_000,
        ));
        found.extend(Problem::check_range(
            "max_prompt",
            self.max_prompt,
            1..=10_000_000,
        ));
        found.extend(Problem::check_range(
            "replicas",
            u64::from(self.replicas),
            1..=10_000,
        ));
        found
    }
}
