//! What a run showed.

use std::collections::BTreeMap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::scenario::Scenario;

/// Times in milliseconds that so many percent stayed under.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Half.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
    /// All.
    pub max: f64,
}

impl Quantiles {
    /// Of a histogram in microseconds.
    #[allow(
        clippy::cast_precision_loss,
        reason = "microseconds of an hour at most"
    )]
    pub fn of(times: &Histogram<u64>) -> Self {
        let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: times.max() as f64 / 1_000.0,
        }
    }
}

/// What a run showed. Times are in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: Arc<str>,
    /// The rule or system under load.
    pub rule: String,
    /// The scenario's seed.
    pub seed: u64,
    /// How long requests arrived, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub offered: u64,
    /// Whole answers.
    pub completed: u64,
    /// Whole answers within their deadline.
    pub in_deadline: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Refusals by type.
    pub refused: BTreeMap<String, u64>,
    /// Refused although budget and capacity were there.
    pub false_refusals: u64,
    /// Told that it may have run.
    pub unknown: u64,
    /// Answers that looked complete and were not the expected ones.
    pub broken: u64,
    /// The same by what was wrong with them.
    pub broken_by: BTreeMap<String, u64>,
    /// Connections that ended before the answer did.
    pub lost: u64,
    /// The same by how it happened.
    pub lost_by: BTreeMap<String, u64>,
    /// Second and later runs of orders at the endpoints, where they were asked. Must be 0.
    pub doubled_runs: Option<u64>,
    /// Tokens billed beyond what the answers can have cost, where the ledger was asked.
    pub doubled_bills: Option<u64>,
    /// Tokens spent beyond what was prepaid, where the ledger was asked. Must be 0.
    pub overspend: Option<u64>,
    /// To the first token.
    pub first_token: Quantiles,
    /// To the first token, of work that a person waits for.
    pub first_token_interactive: Quantiles,
    /// Between tokens.
    pub between: Quantiles,
    /// To the end of whole answers.
    pub took: Quantiles,
    /// To a refusal.
    pub refused_after: Quantiles,
    /// Jain's index over organisations, of the shares served in time.
    pub fairness: f64,
    /// Share of prompt tokens that were cached, where known.
    pub prefix_hits: Option<f64>,
    /// Work of the busiest endpoint by the mean of all, where known.
    pub hot_spot: Option<f64>,
    /// Bytes a second between processes for control, where known.
    pub control_bytes: Option<f64>,
    /// Answers in time, for each second.
    pub goodput: Vec<u64>,
    /// False refusals, for each second.
    pub false_refusals_over_time: Vec<u64>,
    /// Percent of requests, and the time to the first token that they stayed under.
    #[serde(skip)]
    pub first_token_curve: Vec<(f64, f64)>,
}

impl Report {
    /// An empty report.
    pub fn new(scenario: &Scenario, rule: &str) -> Self {
        Self {
            scenario: scenario.name.clone(),
            rule: rule.into(),
            seed: scenario.seed,
            seconds: scenario.run_for.as_secs_f64(),
            ..Self::default()
        }
    }

    /// Answers in time a second.
    #[allow(clippy::cast_precision_loss, reason = "counts of one run")]
    pub fn goodput_a_second(&self) -> f64 {
        self.in_deadline as f64 / self.seconds.max(f64::MIN_POSITIVE)
    }

    /// Refusals in all.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}
