//! Takes down what came of each request.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::document::WorkClass;
use hdrhistogram::Histogram;

use super::report::{Quantiles, Report};
use super::scenario::Scenario;

/// Longest time a histogram tells apart, in microseconds: an hour.
const LONGEST_US: u64 = 3_600_000_000;
/// Digits that a histogram keeps.
const DIGITS: u8 = 3;

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The whole expected answer came.
    Completed,
    /// It was told that it did not run.
    Refused {
        /// The refusal's type, such as `budget_exhausted`.
        kind: String,
        /// Whether budget and capacity were there, by the tool's own view of the whole.
        wrongly: bool,
    },
    /// It was told that it may have run.
    Unknown,
    /// An answer that looked complete was not the expected one.
    Broken {
        /// What was wrong with it.
        what: String,
    },
    /// The connection ended before an answer did, or nothing came in time.
    Lost {
        /// How, such as `late` or `connection`.
        how: String,
    },
}

/// One request and what came of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// When it was due to be sent, since the start.
    pub at: Duration,
    /// Who asked.
    pub organisation: u32,
    /// How it waits.
    pub class: WorkClass,
    /// From the due time to the first token, where one came.
    pub first_token: Option<Duration>,
    /// From the due time to the end.
    pub took: Duration,
    /// Longest time that is of use.
    pub deadline: Duration,
    /// Tokens of the answer.
    pub tokens: u64,
    /// How it ended.
    pub ending: Ending,
}

/// Takes samples in and makes a report of them.
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
    /// For a scenario and the rule or system that is under load.
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

    /// A time between two tokens.
    pub fn gap(&mut self, gap: Duration) {
        self.between.saturating_record(micros(gap));
    }

    /// Times between tokens, as many as the run made in this time.
    pub fn gaps(&mut self, each: Duration, count: u64) {
        self.between.saturating_record_n(micros(each), count);
    }

    /// One request.
    pub fn sample(&mut self, sample: &Sample) {
        let report = &mut self.report;
        report.offered += 1;
        let asked = self.served.entry(sample.organisation).or_default();
        asked.0 += 1;
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
                    asked.1 += 1;
                    *second(&mut report.goodput, sample.at + sample.took) += 1;
                }
            }
            Ending::Refused { kind, wrongly } => {
                *report.refused.entry(kind.clone()).or_default() += 1;
                self.refused_after.saturating_record(micros(sample.took));
                if *wrongly {
                    report.false_refusals += 1;
                    *second(&mut report.false_refusals_over_time, sample.at) += 1;
                }
            }
            Ending::Unknown => report.unknown += 1,
            Ending::Broken { what } => {
                report.broken += 1;
                *report.broken_by.entry(what.clone()).or_default() += 1;
            }
            Ending::Lost { how } => {
                report.lost += 1;
                *report.lost_by.entry(how.clone()).or_default() += 1;
            }
        }
    }

    /// The report so far; what only the caller knows is set on it afterwards.
    pub fn report(&self) -> Report {
        let mut report = self.report.clone();
        report.first_token = Quantiles::of(&self.first);
        report.first_token_interactive = Quantiles::of(&self.first_interactive);
        report.between = Quantiles::of(&self.between);
        report.took = Quantiles::of(&self.took);
        report.refused_after = Quantiles::of(&self.refused_after);
        report.fairness = jain(self.served.values());
        report.first_token_curve = curve(&self.first);
        report
    }
}

fn second(series: &mut Vec<u64>, at: Duration) -> &mut u64 {
    let at = usize::try_from(at.as_secs())
        .unwrap_or(usize::MAX)
        .min(7_200);
    if series.len() <= at {
        series.resize(at + 1, 0);
    }
    &mut series[at]
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constants that the library takes"))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1)
}

/// Jain's index over the share of each organisation's requests that were served in time: 1 when
/// all get the same share, 1/n when one gets everything.
#[allow(clippy::cast_precision_loss, reason = "counts of one run")]
fn jain<'a>(served: impl Iterator<Item = &'a (u64, u64)>) -> f64 {
    let shares: Vec<f64> = served
        .map(|(asked, served)| *served as f64 / (*asked).max(1) as f64)
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

/// Percent of requests and the time that they stayed under, in milliseconds.
#[allow(
    clippy::cast_precision_loss,
    reason = "microseconds of an hour at most"
)]
fn curve(times: &Histogram<u64>) -> Vec<(f64, f64)> {
    if times.is_empty() {
        return Vec::new();
    }
    let percents = (0..1_000).map(|at| f64::from(at) / 10.0);
    percents
        .map(|percent| {
            let time = times.value_at_quantile(percent / 100.0);
            (percent, time as f64 / 1_000.0)
        })
        .collect()
}
