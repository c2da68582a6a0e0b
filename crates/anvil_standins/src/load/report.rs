//! The report of a run.

use std::collections::BTreeMap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::scenario::Scenario;

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// The 50th percentile.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

impl Quantiles {
    /// Percentiles of a histogram in microseconds.
    #[allow(
        clippy::cast_precision_loss,
        reason = "microseconds of an hour at most"
    )]
    pub fn from_histogram(times: &Histogram<u64>) -> Self {
        let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: times.max() as f64 / 1_000.0,
        }
    }
}

/// Results of a run. Times are in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: Arc<str>,
    /// The rule or system under load.
    pub rule: String,
    /// The scenario's seed.
    pub seed: u64,
    /// Time during which requests arrived, in seconds.
    pub seconds: f64,
    /// Number of requests.
    pub offered: u64,
    /// Complete responses.
    pub completed: u64,
    /// Complete responses within their deadline.
    pub in_deadline: u64,
    /// Output tokens of complete responses.
    pub tokens: u64,
    /// Refusals by type.
    pub refused: BTreeMap<String, u64>,
    /// Requests refused although budget and capacity were available.
    pub false_refusals: u64,
    /// Requests that may have run, as reported by the router.
    pub unknown: u64,
    /// Responses that looked complete and were not the expected ones.
    pub broken: u64,
    /// The same by defect.
    pub broken_by: BTreeMap<String, u64>,
    /// Requests whose connection ended before the response did, or that exceeded their deadline.
    pub lost: u64,
    /// The same by cause.
    pub lost_by: BTreeMap<String, u64>,
    /// Second and later runs of orders at the endpoints, when the tool runs them. Must be 0.
    pub doubled_runs: Option<u64>,
    /// Tokens charged beyond the maximum cost of the responses, when the ledger was queried.
    pub doubled_bills: Option<u64>,
    /// Tokens charged beyond the prepaid credit, when the ledger was queried. Must be 0.
    pub overspend: Option<u64>,
    /// Time to the first token.
    pub first_token: Quantiles,
    /// Time to the first token of interactive work.
    pub first_token_interactive: Quantiles,
    /// Time between tokens.
    pub between: Quantiles,
    /// Time to the end of complete responses.
    pub took: Quantiles,
    /// Time to a refusal.
    pub refused_after: Quantiles,
    /// Jain's index over the organisations' shares of requests served in time.
    pub fairness: f64,
    /// Share of prompt tokens that were cached, if known.
    pub prefix_hits: Option<f64>,
    /// Work of the busiest endpoint divided by the mean of all, if known.
    pub hot_spot: Option<f64>,
    /// Control traffic between processes, in bytes a second, if known.
    pub control_bytes: Option<f64>,
    /// Responses within their deadline in each second.
    pub goodput: Vec<u64>,
    /// False refusals in each second.
    pub false_refusals_over_time: Vec<u64>,
    /// Percentile curve of the time to the first token: percent of requests, and their maximum.
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

    /// Responses within their deadline, a second.
    #[allow(clippy::cast_precision_loss, reason = "counts of one run")]
    pub fn goodput_per_second(&self) -> f64 {
        self.in_deadline as f64 / self.seconds.max(f64::MIN_POSITIVE)
    }

    /// Total number of refusals.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}
