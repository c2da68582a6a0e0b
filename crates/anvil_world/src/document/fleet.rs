//! The document at `fleet`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::settings::{Problem, Validate};

/// Settings of the whole fleet. Every field has a default, so an empty document is valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetDocument {
    /// How long a router keeps serving with its last known settings while it can't reach the ledger.
    #[serde(with = "humantime_serde")]
    pub serve_out_of_touch: Duration,
    /// Maximum time from the arrival of a request to the end of its answer.
    #[serde(with = "humantime_serde")]
    pub request_timeout: Duration,
    /// Maximum time a request waits in a queue.
    #[serde(with = "humantime_serde")]
    pub queue_timeout: Duration,
    /// How long a finished answer is kept for a caller that retries.
    #[serde(with = "humantime_serde")]
    pub keep_answers: Duration,
    /// How long the ledger keeps the claim that binds a non-idempotent request to a sidecar. A retry
    /// that arrives later may run a second time.
    #[serde(with = "humantime_serde")]
    pub keep_claims: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body: u64,
    /// Maximum time that a grant is sized to last at the measured demand.
    #[serde(with = "humantime_serde")]
    pub grant_horizon: Duration,
}

impl Default for FleetDocument {
    fn default() -> Self {
        Self {
            serve_out_of_touch: Duration::from_mins(10),
            request_timeout: Duration::from_mins(10),
            queue_timeout: Duration::from_secs(30),
            keep_answers: Duration::from_mins(5),
            keep_claims: Duration::from_hours(24),
            max_body: 4 << 20,
            grant_horizon: Duration::from_mins(1),
        }
    }
}

impl Validate for FleetDocument {
    fn problems(&self) -> Vec<Problem> {
        let day = 86_400;
        let mut found = Vec::new();
        for (key, value) in [
            ("serve_out_of_touch", self.serve_out_of_touch),
            ("request_timeout", self.request_timeout),
            ("queue_timeout", self.queue_timeout),
            ("keep_answers", self.keep_answers),
            ("keep_claims", self.keep_claims),
            ("grant_horizon", self.grant_horizon),
        ] {
            found.extend(Problem::check_range(key, value.as_secs(), 1..=day));
        }
        found.extend(Problem::check_range(
            "max_body",
            self.max_body,
            1_024..=(1 << 30),
        ));
        found
    }
}
