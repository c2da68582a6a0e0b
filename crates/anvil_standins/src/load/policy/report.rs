//! What an experiment measured, and how it is counted.

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

/// Longest time that histograms tell apart, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// Time before the rates are counted; a sixth of a shorter run.
const WARM_UP: Duration = Duration::from_secs(20);

fn warm_up(length: Duration) -> Duration {
    WARM_UP.min(length / 6)
}

/// Promised time between tokens.
const PROMISED_GAP: Duration = Duration::from_millis(59);

/// How a request ended.
#[derive(Debug, Clone)]
pub enum End {
    /// Its caller has the whole answer.
    Completed,
    /// Turned away at once; whether capacity was there.
    Refused(Refusal, bool),
    /// Let in and then given up on.
    GivenUp,
    /// Every try failed.
    Failed,
}

/// What one experiment measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// The rule.
    pub rule: String,
    /// The seed.
    pub seed: u64,
    /// Requests that arrived.
    pub offered: u64,
    /// Answers that were whole.
    pub completed: u64,
    /// Answers within the deadline, whenever they ended.
    pub in_deadline: u64,
    /// Answers within the deadline, a second, from the end of the warm-up to the last arrival.
    /// What ends later is not counted, or a long queue would look like a high rate.
    pub goodput: f64,
    /// Of these, the answers whose tokens came no more than 59 ms apart in the mean.
    pub kept: f64,
    /// Output tokens of answers within the deadline, a second.
    pub good_tokens: f64,
    /// Turned away.
    pub refused: u64,
    /// Turned away although capacity was there.
    pub false_refused: u64,
    /// Turned away without a time to come back.
    pub refused_without_time: u64,
    /// Let in and given up on.
    pub given_up: u64,
    /// Failed after all tries.
    pub failed: u64,
    /// Batch work that did not complete.
    pub batch_lost: u64,
    /// First token of interactive work, 50th in 100, in milliseconds.
    pub first_p50: f64,
    /// First token of interactive work, 95th in 100, in milliseconds.
    pub first_p95: f64,
    /// The same in the worst five seconds of arrivals.
    pub worst_first_p95: f64,
    /// First token of batch work, 95th in 100, in milliseconds.
    pub batch_first_p95: f64,
    /// Between tokens, 95th in 100, in milliseconds.
    pub between_p95: f64,
    /// Jain's index of what organisations got against a max-min fair division.
    pub jain: f64,
    /// Prefix tokens that were held where they were needed.
    pub prefix_hits: f64,
    /// Work of the busiest endpoint against the mean.
    pub hot_spot: f64,
    /// Longest time that a refused caller waited to be told, in milliseconds.
    pub refusal_p100: f64,
    /// Longest time to come back that was named, in milliseconds.
    pub longest_retry_after: f64,
    /// Goodput in each ten seconds, by when answers ended.
    pub over_time: Vec<f64>,
    /// The middle of the next: what most organisations see, however few send most of the load.
    pub median_organisation_p95: f64,
    /// Time of the first token of each organisation's interactive work, 95th in 100.
    pub organisations_p95: BTreeMap<String, f64>,
}

/// Counts while the experiment goes.
#[derive(Debug)]
pub struct Tally {
    report: Report,
    length: Duration,
    first: Histogram<u64>,
    first_over_time: BTreeMap<u64, Histogram<u64>>,
    batch_first: Histogram<u64>,
    between: Histogram<u64>,
    good: u64,
    kept: u64,
    good_tokens: u64,
    windows: BTreeMap<u64, u64>,
    served: BTreeMap<OrganisationId, f64>,
    wanted: BTreeMap<OrganisationId, f64>,
    by_organisation: BTreeMap<OrganisationId, Histogram<u64>>,
    seconds: Vec<(usize, usize)>,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, LONGEST, 3).expect("constant bounds")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros())
        .unwrap_or(LONGEST)
        .min(LONGEST)
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    real(histogram.value_at_quantile(quantile)) / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn real(count: u64) -> f64 {
    count as f64
}

impl Tally {
    /// Nothing counted yet.
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
            good: 0,
            kept: 0,
            good_tokens: 0,
            windows: BTreeMap::new(),
            served: BTreeMap::new(),
            wanted: BTreeMap::new(),
            by_organisation: BTreeMap::new(),
            seconds: Vec::new(),
        }
    }

    /// A request arrived.
    pub fn arrived(&mut self, req: &Request) {
        self.report.offered += 1;
        *self.wanted.entry(req.organisation.clone()).or_default() += work(req);
    }

    /// Two tokens came this far apart.
    pub fn gap(&mut self, gap: Duration) {
        self.between.saturating_record(micros(gap).max(1));
    }

    /// A second has passed, with so many running and waiting.
    pub fn second(&mut self, now: Now, running: usize, waiting: usize) {
        if now <= self.length {
            self.seconds.push((running, waiting));
        }
    }

    /// A request ended.
    pub fn ended(&mut self, now: Now, req: &Request, end: &End) {
        if req.class == WorkClass::Batch && !matches!(end, End::Completed) {
            self.report.batch_lost += 1;
        }
        match end {
            End::Completed => self.completed(now, req),
            End::Refused(refusal, capacity_there) => {
                self.report.refused += 1;
                self.report.false_refused += u64::from(*capacity_there);
                self.report.refused_without_time += u64::from(refusal.retry_after.is_none());
                let after = refusal.retry_after.unwrap_or_default();
                let after = real(micros(after)) / 1_000.0;
                self.report.longest_retry_after = self.report.longest_retry_after.max(after);
                let told = real(micros(now.saturating_sub(req.arrived))) / 1_000.0;
                self.report.refusal_p100 = self.report.refusal_p100.max(told);
            }
            End::GivenUp => self.report.given_up += 1,
            End::Failed => self.report.failed += 1,
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
            self.good(now, req);
            *self.served.entry(req.organisation.clone()).or_default() += work(req);
        }
    }

    fn good(&mut self, now: Now, req: &Request) {
        self.report.in_deadline += 1;
        *self.windows.entry(now.as_secs() / 10).or_default() += 1;
        if now > warm_up(self.length) && now <= self.length {
            self.good += 1;
            self.kept += u64::from(mean_gap(req) <= PROMISED_GAP);
            self.good_tokens += req.output;
        }
    }

    /// Adds everything up.
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
            goodput: real(self.good) / secs,
            kept: real(self.kept) / secs,
            good_tokens: real(self.good_tokens) / secs,
            first_p50: millis(&self.first, 0.5),
            first_p95: millis(&self.first, 0.95),
            worst_first_p95: self
                .first_over_time
                .values()
                .map(|first| millis(first, 0.95))
                .fold(0.0, f64::max),
            batch_first_p95: millis(&self.batch_first, 0.95),
            between_p95: millis(&self.between, 0.95),
            jain: jain(&self.served, &self.wanted),
            prefix_hits: prefix_hits(engines),
            hot_spot: hot_spot(engines),
            over_time: self
                .windows
                .values()
                .map(|good| real(*good) / 10.0)
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
    let first = req.first_token.unwrap_or(req.newest_token);
    let gaps = u32::try_from(req.output.saturating_sub(1)).unwrap_or(u32::MAX);
    let whole = req.newest_token.saturating_sub(first);
    whole.checked_div(gaps).unwrap_or_default()
}

/// Work of a request in tokens, a prompt token as a tenth: about what it costs the fake.
fn work(req: &Request) -> f64 {
    real(req.prompt) / 10.0 + real(req.output)
}

fn prefix_hits(engines: &[FakeEngine]) -> f64 {
    let asked: Tokens = engines.iter().map(|engine| engine.prefix_tokens.0).sum();
    let held: Tokens = engines.iter().map(|engine| engine.prefix_tokens.1).sum();
    real(held) / real(asked.max(1))
}

fn hot_spot(engines: &[FakeEngine]) -> f64 {
    let busy = engines.iter().map(|engine| engine.busy.as_secs_f64());
    let most = busy.clone().fold(0.0, f64::max);
    let mean = busy.sum::<f64>() / real(engines.len() as u64);
    most / mean.max(f64::MIN_POSITIVE)
}

/// Jain's index over what each organisation got as a part of its max-min fair share.
fn jain(served: &BTreeMap<OrganisationId, f64>, wanted: &BTreeMap<OrganisationId, f64>) -> f64 {
    let fair = max_min(served.values().sum(), wanted);
    let parts = fair.iter().map(|(name, fair)| {
        let got = served.get(name).copied().unwrap_or_default();
        (got / fair.max(f64::MIN_POSITIVE)).min(1.0)
    });
    let (sum, squares) = parts.fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    sum * sum / (real(fair.len() as u64) * squares).max(f64::MIN_POSITIVE)
}

/// Divides what there is: nobody gets more than wanted, and nobody could get more without
/// another who has less getting even less.
fn max_min(mut left: f64, wanted: &BTreeMap<OrganisationId, f64>) -> BTreeMap<OrganisationId, f64> {
    let mut by_want: Vec<_> = wanted.iter().collect();
    by_want.sort_by(|a, b| a.1.total_cmp(b.1));
    let mut fair = BTreeMap::new();
    let count = by_want.len();
    for (nth, (name, want)) in by_want.into_iter().enumerate() {
        let share = left / real((count - nth) as u64);
        let got = share.min(*want);
        left -= got;
        fair.insert(name.clone(), got);
    }
    fair
}
