//! The report of a simulation and the counters behind it.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::request::Request;
use super::rule::Rule;
use super::scenario::PolicyScenario;
use crate::load::fake::FakeEngine;

/// Greatest value of the histograms, in microseconds.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Time at the start that rates don't include; at most a sixth of the run.
const WARM_UP: Duration = Duration::from_secs(20);

fn warm_up(length: Duration) -> Duration {
    WARM_UP.min(length / 6)
}

/// Target for the time between tokens.
const MAX_TOKEN_GAP: Duration = Duration::from_millis(59);

/// Result of a request.
#[derive(Debug, Clone)]
pub enum RequestEnd {
    /// The caller received the complete response.
    Completed,
    /// Refused, and whether capacity was available.
    Refused(Refusal, bool),
    /// Admitted, and dropped before it started.
    GivenUp,
    /// All attempts failed.
    Failed,
}

/// Results of a simulation.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the rule.
    pub rule: String,
    /// The seed.
    pub seed: u64,
    /// Requests that arrived.
    pub offered: u64,
    /// Complete responses.
    pub completed: u64,
    /// Responses within the deadline, whenever they ended.
    pub in_deadline: u64,
    /// Responses within the deadline, a second, from the end of the warm-up to the last arrival.
    /// Later ones are not counted, because a long queue would look like a high rate.
    pub goodput: f64,
    /// Those of them whose mean time between tokens is at most 59 ms.
    pub kept: f64,
    /// Output tokens of responses within the deadline, a second.
    pub good_tokens: f64,
    /// Refused.
    pub refused: u64,
    /// Refused although capacity was available.
    pub false_refused: u64,
    /// Refused without a time to retry.
    pub refused_without_time: u64,
    /// Admitted, and dropped before they started.
    pub given_up: u64,
    /// Failed after all attempts.
    pub failed: u64,
    /// Batch work that did not complete.
    pub batch_lost: u64,
    /// Time to the first token of interactive work: 50th percentile, in milliseconds.
    pub first_p50: f64,
    /// Time to the first token of interactive work: 95th percentile, in milliseconds.
    pub first_p95: f64,
    /// The same for the arrivals of the worst five seconds.
    pub worst_first_p95: f64,
    /// Time to the first token of batch work: 95th percentile, in milliseconds.
    pub batch_first_p95: f64,
    /// Time between tokens: 95th percentile, in milliseconds.
    pub between_p95: f64,
    /// Jain's index of the organisations' work relative to a max-min fair division.
    pub jain: f64,
    /// Share of prefix tokens that were cached at the chosen endpoint.
    pub prefix_hits: f64,
    /// Work of the busiest endpoint divided by the mean.
    pub hot_spot: f64,
    /// Maximum time from arrival to refusal, in milliseconds.
    pub refusal_p100: f64,
    /// Maximum time to retry in a refusal, in milliseconds.
    pub longest_retry_after: f64,
    /// Goodput in each interval of ten seconds, by the end of the responses.
    pub over_time: Vec<f64>,
    /// Median of `organisations_p95`: what a typical organisation sees, even if a few others send
    /// most of the load.
    pub median_organisation_p95: f64,
    /// Time to the first token of each organisation's interactive work: 95th percentile, in
    /// milliseconds.
    pub organisations_p95: BTreeMap<String, f64>,
}

/// Counters of a running simulation.
#[derive(Debug)]
pub struct Tally {
    report: Report,
    length: Duration,
    first: Histogram<u64>,
    first_over_time: BTreeMap<u64, Histogram<u64>>,
    batch_first: Histogram<u64>,
    between: Histogram<u64>,
    in_time: u64,
    kept: u64,
    good_tokens: u64,
    in_deadline_by_window: BTreeMap<u64, u64>,
    served: BTreeMap<OrganisationId, f64>,
    requested: BTreeMap<OrganisationId, f64>,
    by_organisation: BTreeMap<OrganisationId, Histogram<u64>>,
    load_by_second: Vec<(usize, usize)>,
}

fn histogram() -> Histogram<u64> {
    // Can't fail: the bounds are valid constants.
    Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("constant bounds")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros())
        .unwrap_or(MAX_TIME_US)
        .min(MAX_TIME_US)
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    as_f64(histogram.value_at_quantile(quantile)) / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn as_f64(count: u64) -> f64 {
    count as f64
}

impl Tally {
    /// Counters at zero.
    pub fn new(scenario: &PolicyScenario, rule: &Rule) -> Self {
        Self {
            report: Report {
                scenario: scenario.name.into(),
                rule: rule.name.into(),
                seed: scenario.seed,
                ..Report::default()
            },
            length: scenario.length,
            first: histogram(),
            first_over_time: BTreeMap::new(),
            batch_first: histogram(),
            between: histogram(),
            in_time: 0,
            kept: 0,
            good_tokens: 0,
            in_deadline_by_window: BTreeMap::new(),
            served: BTreeMap::new(),
            requested: BTreeMap::new(),
            by_organisation: BTreeMap::new(),
            load_by_second: Vec::new(),
        }
    }

    /// Counts an arrival.
    pub fn arrived(&mut self, req: &Request) {
        self.report.offered += 1;
        *self.requested.entry(req.organisation.clone()).or_default() += work_of(req);
    }

    /// Records the time between two tokens.
    pub fn record_token_gap(&mut self, gap: Duration) {
        self.between.saturating_record(micros(gap).max(1));
    }

    /// Records the running and waiting requests, once a second.
    pub fn record_second(&mut self, now: Now, running: usize, waiting: usize) {
        if now <= self.length {
            self.load_by_second.push((running, waiting));
        }
    }

    /// Counts the end of a request.
    pub fn ended(&mut self, now: Now, req: &Request, end: &RequestEnd) {
        if req.class == WorkClass::Batch && !matches!(end, RequestEnd::Completed) {
            self.report.batch_lost += 1;
        }
        match end {
            RequestEnd::Completed => self.completed(now, req),
            RequestEnd::Refused(refusal, had_capacity) => {
                self.report.refused += 1;
                self.report.false_refused += u64::from(*had_capacity);
                self.report.refused_without_time += u64::from(refusal.retry_after.is_none());
                let after = refusal.retry_after.unwrap_or_default();
                let after = as_f64(micros(after)) / 1_000.0;
                self.report.longest_retry_after = self.report.longest_retry_after.max(after);
                let refused_after = as_f64(micros(now.saturating_sub(req.arrived))) / 1_000.0;
                self.report.refusal_p100 = self.report.refusal_p100.max(refused_after);
            }
            RequestEnd::GivenUp => self.report.given_up += 1,
            RequestEnd::Failed => self.report.failed += 1,
        }
    }

    fn completed(&mut self, now: Now, req: &Request) {
        self.report.completed += 1;
        let first = req.first_token.unwrap_or(now).saturating_sub(req.arrived);
        let first = micros(first).max(1);
        if req.class == WorkClass::Batch {
            self.batch_first.saturating_record(first);
        } else {
            self.first.saturating_record(first);
            let window = req.arrived.as_secs() / 5;
            let over_time = self.first_over_time.entry(window);
            over_time.or_insert_with(histogram).saturating_record(first);
            let own = self.by_organisation.entry(req.organisation.clone());
            own.or_insert_with(histogram).saturating_record(first);
        }
        if now <= req.deadline {
            self.in_time(now, req);
            *self.served.entry(req.organisation.clone()).or_default() += work_of(req);
        }
    }

    fn in_time(&mut self, now: Now, req: &Request) {
        self.report.in_deadline += 1;
        *self
            .in_deadline_by_window
            .entry(now.as_secs() / 10)
            .or_default() += 1;
        if now > warm_up(self.length) && now <= self.length {
            self.in_time += 1;
            self.kept += u64::from(mean_gap(req) <= MAX_TOKEN_GAP);
            self.good_tokens += req.output;
        }
    }

    /// Makes the report.
    pub fn report(self, engines: &[FakeEngine], requests: &[Request]) -> Report {
        let secs = self
            .length
            .saturating_sub(warm_up(self.length))
            .as_secs_f64();
        debug_assert_eq!(self.report.offered, requests.len() as u64);
        let by_organisation = self.by_organisation.iter();
        let organisations_p95: BTreeMap<String, f64> = by_organisation
            .map(|(name, first)| (name.to_string(), millis(first, 0.95)))
            .collect();
        Report {
            goodput: as_f64(self.in_time) / secs,
            kept: as_f64(self.kept) / secs,
            good_tokens: as_f64(self.good_tokens) / secs,
            first_p50: millis(&self.first, 0.5),
            first_p95: millis(&self.first, 0.95),
            worst_first_p95: self
                .first_over_time
                .values()
                .map(|first| millis(first, 0.95))
                .fold(0.0, f64::max),
            batch_first_p95: millis(&self.batch_first, 0.95),
            between_p95: millis(&self.between, 0.95),
            jain: jain(&self.served, &self.requested),
            prefix_hits: prefix_hits(engines),
            hot_spot: hot_spot(engines),
            over_time: self
                .in_deadline_by_window
                .values()
                .map(|in_time| as_f64(*in_time) / 10.0)
                .collect(),
            median_organisation_p95: median(organisations_p95.values().copied().collect()),
            organisations_p95,
            ..self.report
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn mean_gap(req: &Request) -> Duration {
    let first = req.first_token.unwrap_or(req.last_token);
    let gaps = u32::try_from(req.output.saturating_sub(1)).unwrap_or(u32::MAX);
    let total = req.last_token.saturating_sub(first);
    total.checked_div(gaps).unwrap_or_default()
}

/// Work of a request in output tokens. A prompt token counts as a tenth, which is about its cost
/// in the fake engine.
fn work_of(req: &Request) -> f64 {
    as_f64(req.prompt) / 10.0 + as_f64(req.output)
}

fn prefix_hits(engines: &[FakeEngine]) -> f64 {
    let requested: Tokens = engines.iter().map(|engine| engine.prefix_tokens.0).sum();
    let cached: Tokens = engines.iter().map(|engine| engine.prefix_tokens.1).sum();
    as_f64(cached) / as_f64(requested.max(1))
}

fn hot_spot(engines: &[FakeEngine]) -> f64 {
    let busy = engines.iter().map(|engine| engine.busy.as_secs_f64());
    let max = busy.clone().fold(0.0, f64::max);
    let mean = busy.sum::<f64>() / as_f64(engines.len() as u64);
    max / mean.max(f64::MIN_POSITIVE)
}

/// Jain's index over each organisation's served work, relative to its max-min fair share.
fn jain(served: &BTreeMap<OrganisationId, f64>, requested: &BTreeMap<OrganisationId, f64>) -> f64 {
    let fair = max_min(served.values().sum(), requested);
    let ratios = fair.iter().map(|(name, fair)| {
        let served_work = served.get(name).copied().unwrap_or_default();
        (served_work / fair.max(f64::MIN_POSITIVE)).min(1.0)
    });
    let (sum, squares) = ratios.fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    sum * sum / (as_f64(fair.len() as u64) * squares).max(f64::MIN_POSITIVE)
}

/// Max-min fair division of `left`: no organisation gets more than it requested, and none could
/// get more without reducing the share of one that has less.
fn max_min(
    mut left: f64,
    requested: &BTreeMap<OrganisationId, f64>,
) -> BTreeMap<OrganisationId, f64> {
    let mut by_request: Vec<_> = requested.iter().collect();
    by_request.sort_by(|a, b| a.1.total_cmp(b.1));
    let mut fair = BTreeMap::new();
    let count = by_request.len();
    for (nth, (name, request)) in by_request.into_iter().enumerate() {
        let share = left / as_f64((count - nth) as u64);
        let allotted = share.min(*request);
        left -= allotted;
        fair.insert(name.clone(), allotted);
    }
    fair
}
