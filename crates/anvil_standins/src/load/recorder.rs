//! Records the result of each request and makes a report of all.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::document::WorkClass;
use hdrhistogram::Histogram;

use super::report::{Quantiles, Report};
use super::scenario::Scenario;

/// Greatest value of a histogram, in microseconds: an hour.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Significant digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of a request from its caller's point of view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The complete expected response arrived.
    Completed,
    /// The router reported that the request did not run.
    Refused {
        /// The refusal's type, such as `budget_exhausted`.
        kind: String,
        /// Whether budget and capacity were available, by the load tool's global view.
        is_false: bool,
    },
    /// The router reported that the request may have run.
    Unknown,
    /// A response that looked complete was not the expected one.
    Broken {
        /// The defect, such as `other text`.
        defect: String,
    },
    /// The connection ended before the response did, or the deadline passed.
    Lost {
        /// The cause, such as `late` or `connection`.
        cause: String,
    },
}

/// A request and its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// Time since the start at which it was due to be sent.
    pub at: Duration,
    /// Index of the sending organisation.
    pub organisation: u32,
    /// Priority class.
    pub class: WorkClass,
    /// Time from the due time to the first token, if any.
    pub first_token: Option<Duration>,
    /// Time from the due time to the end of the request.
    pub took: Duration,
    /// Maximum useful value of `took`.
    pub deadline: Duration,
    /// Output tokens.
    pub tokens: u64,
    /// The result.
    pub ending: Ending,
}

/// Collects samples and makes a report of them.
#[derive(Debug, Clone)]
pub struct Recorder {
    first: Histogram<u64>,
    first_interactive: Histogram<u64>,
    between: Histogram<u64>,
    took: Histogram<u64>,
    refused_after: Histogram<u64>,
    served: BTreeMap<u32, (u64, u64)>,
    report: Report,
}

impl Recorder {
    /// An empty recorder for a scenario and the rule or system under load.
    pub fn new(scenario: &Scenario, rule: &str) -> Self {
        Self {
            first: histogram(),
            first_interactive: histogram(),
            between: histogram(),
            took: histogram(),
            refused_after: histogram(),
            served: BTreeMap::new(),
            report: Report::new(scenario, rule),
        }
    }

    /// Records the time between two tokens.
    pub fn record_token_gap(&mut self, gap: Duration) {
        self.between.saturating_record(micros(gap));
    }

    /// Records the same time between tokens `count` times.
    pub fn record_token_gaps(&mut self, gap: Duration, count: u64) {
        self.between.saturating_record_n(micros(gap), count);
    }

    /// Records a request.
    pub fn record(&mut self, sample: &Sample) {
        let report = &mut self.report;
        report.offered += 1;
        let counts = self.served.entry(sample.organisation).or_default();
        counts.0 += 1;
        if let Some(first) = sample.first_token {
            self.first.saturating_record(micros(first));
            if sample.class == WorkClass::Interactive {
                self.first_interactive.saturating_record(micros(first));
            }
        }
        match &sample.ending {
            Ending::Completed => {
                report.completed += 1;
                report.tokens += sample.tokens;
                self.took.saturating_record(micros(sample.took));
                if sample.took <= sample.deadline {
                    report.in_deadline += 1;
                    counts.1 += 1;
                    *count_at_second(&mut report.goodput, sample.at + sample.took) += 1;
                }
            }
            Ending::Refused { kind, is_false } => {
                *report.refused.entry(kind.clone()).or_default() += 1;
                self.refused_after.saturating_record(micros(sample.took));
                if *is_false {
                    report.false_refusals += 1;
                    *count_at_second(&mut report.false_refusals_over_time, sample.at) += 1;
                }
            }
            Ending::Unknown => report.unknown += 1,
            Ending::Broken { defect } => {
                report.broken += 1;
                *report.broken_by.entry(defect.clone()).or_default() += 1;
            }
            Ending::Lost { cause } => {
                report.lost += 1;
                *report.lost_by.entry(cause.clone()).or_default() += 1;
            }
        }
    }

    /// The report so far, without the values that only the ledger and the endpoints know.
    pub fn report(&self) -> Report {
        let mut report = self.report.clone();
        report.first_token = Quantiles::from_histogram(&self.first);
        report.first_token_interactive = Quantiles::from_histogram(&self.first_interactive);
        report.between = Quantiles::from_histogram(&self.between);
        report.took = Quantiles::from_histogram(&self.took);
        report.refused_after = Quantiles::from_histogram(&self.refused_after);
        report.fairness = jain(self.served.values());
        report.first_token_curve = curve(&self.first);
        report
    }
}

fn count_at_second(series: &mut Vec<u64>, at: Duration) -> &mut u64 {
    let second = usize::try_from(at.as_secs())
        .unwrap_or(usize::MAX)
        .min(7_200);
    if series.len() <= second {
        series.resize(second + 1, 0);
    }
    &mut series[second]
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid constants"))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1)
}

/// Jain's index over the share of each organisation's requests that were served in time: 1 when
/// all shares are equal, 1/n when only one of n organisations is served.
#[allow(clippy::cast_precision_loss, reason = "counts of one run")]
fn jain<'a>(served: impl Iterator<Item = &'a (u64, u64)>) -> f64 {
    let shares: Vec<f64> = served
        .map(|(requested, served)| *served as f64 / (*requested).max(1) as f64)
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

/// Points of a percentile curve: percent of requests, and their maximum time in milliseconds.
#[allow(
    clippy::cast_precision_loss,
    reason = "microseconds of an hour at most"
)]
fn curve(times: &Histogram<u64>) -> Vec<(f64, f64)> {
    if times.is_empty() {
        return Vec::new();
    }
    let percents = (0..1_000).map(|tenth| f64::from(tenth) / 10.0);
    percents
        .map(|percent| {
            let time = times.value_at_quantile(percent / 100.0);
            (percent, time as f64 / 1_000.0)
        })
        .collect()
}
