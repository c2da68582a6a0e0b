//! Simulates one load under three schemes of sharing budgets between routers.
//!
//! The simulation runs in virtual time; one seed gives the same requests for every scheme. It
//! knows the true state of each budget: a refusal is false if the budget could still cover the
//! request's maximum cost, besides everything spent and everything reserved by requests that run
//! at any router.

#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_ledger::state::State;
use anvil_wire::encode;
use anvil_wire::msg::{LedgerReply, LedgerRequest};
use anvil_world::command::{Change, Edit, TopUp, change_id};
use anvil_world::prelude::*;
use anvilreel::money::{GrantAccount, GrantPolicy, Reservation, Shortage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How budgets are shared between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharingScheme {
    /// Routers hold grants from the ledger.
    Grants,
    /// Each router gets an equal part of every budget at the start.
    EvenSplit,
    /// Routers ask the ledger for every request.
    LedgerPerRequest,
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Simulation {
    pub scheme: SharingScheme,
    pub seed: u64,
    pub routers: usize,
    pub budgets: usize,
    /// Whether four of five requests go to one router.
    pub skewed: bool,
    /// Total cost of all requests, in percent of the credited tokens.
    pub used: u64,
    /// Whether half of the routers are cut off from the ledger for 60 s.
    pub partition: bool,
    pub policy: GrantPolicy,
}

/// Simulated time.
pub const SIMULATED_TIME: Duration = Duration::from_mins(4);
const PARTITION_TIME: std::ops::Range<Duration> = Duration::from_secs(90)..Duration::from_secs(150);
const REQUESTS: usize = 24_000;
const STEP: Duration = Duration::from_millis(50);
const ROUND_TRIP: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Request {
    at: Now,
    router: usize,
    budget: usize,
    cost: Tokens,
    max_cost: Tokens,
    run_time: Duration,
}

/// Results of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub requests: u64,
    pub refused: u64,
    pub falsely_refused: u64,
    pub overspend: Tokens,
    /// Maximum bytes of grant traffic of one router in one second, both directions.
    pub peak_bytes: usize,
    /// Mean bytes per second and router.
    pub mean_bytes: usize,
}

impl Outcome {
    /// Share of requests that were falsely refused, in thousandths of a percent.
    pub fn false_milli_percent(&self) -> u64 {
        self.falsely_refused * 100_000 / self.requests.max(1)
    }
}

/// True state of one budget.
#[derive(Debug, Clone, Copy, Default)]
struct BudgetTruth {
    credited: Tokens,
    spent: Tokens,
    running: Tokens,
}

/// A running request.
struct Running {
    ends: Now,
    request: usize,
    reservation: Option<Reservation>,
}

struct Simulator {
    simulation: Simulation,
    requests: Vec<Request>,
    budget_truths: Vec<BudgetTruth>,
    /// Tokens left by router and budget, for [`SharingScheme::EvenSplit`].
    shares: Vec<Vec<Tokens>>,
    accounts: Vec<GrantAccount>,
    state: State,
    index: LogIndex,
    /// Requests that wait for a grant, and until when.
    waiting: Vec<(usize, Option<Now>)>,
    running: Vec<Running>,
    /// Answers to grant batches, by time of arrival and router.
    in_flight: BTreeMap<(Now, usize), anvil_world::command::GrantBatchAnswer>,
    /// Bytes of grant traffic by router and second.
    bytes: BTreeMap<(usize, u64), usize>,
    outcome: Outcome,
}

pub fn simulate(simulation: Simulation) -> Outcome {
    Simulator::new(simulation).run()
}

fn budget(i: usize) -> BudgetId {
    format!("b{i:05}").into()
}

fn generate_requests(simulation: &Simulation) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(simulation.seed);
    let mut requests: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let cost = rng.random_range(50..450);
            let to_hot_router = simulation.skewed && rng.random_range(0..5) != 0;
            Request {
                at: SIMULATED_TIME.mul_f64(rng.random_range(0.01..0.97)),
                router: if to_hot_router {
                    0
                } else {
                    rng.random_range(0..simulation.routers)
                },
                budget: rng.random_range(0..simulation.budgets),
                cost,
                max_cost: cost * rng.random_range(12..40) / 10,
                run_time: Duration::from_millis(rng.random_range(200..4_000)),
            }
        })
        .collect();
    requests.sort_by_key(|request| request.at);
    requests
}

impl Simulator {
    fn new(simulation: Simulation) -> Self {
        let requests = generate_requests(&simulation);
        let mut budget_truths = vec![BudgetTruth::default(); simulation.budgets];
        for request in &requests {
            budget_truths[request.budget].credited += request.cost * 100 / simulation.used;
        }
        let shares = budget_truths
            .iter()
            .map(|b| b.credited / simulation.routers as u64);
        let shares: Vec<_> = shares.collect();
        let account =
            |i: usize| GrantAccount::new(format!("r{i}").into(), 1, simulation.policy.clone());
        let mut simulator = Self {
            shares: vec![shares; simulation.routers],
            accounts: (0..simulation.routers).map(account).collect(),
            state: State::default(),
            index: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            in_flight: BTreeMap::new(),
            bytes: BTreeMap::new(),
            outcome: Outcome::default(),
            requests,
            budget_truths,
            simulation,
        };
        simulator.credit_budgets();
        simulator
    }

    fn credit_budgets(&mut self) {
        self.put_document("organisations/paper", "");
        for i in 0..self.simulation.budgets {
            let id = budget(i);
            self.put_document(&format!("budgets/{id}"), "organisation = \"paper\"");
            let top_up = TopUp {
                id: change_id(std::time::UNIX_EPOCH, &format!("top-{i}")),
                operator: "wanjiru".into(),
                budget: id,
                amount: self.budget_truths[i].credited,
                at: std::time::UNIX_EPOCH,
            };
            self.apply(&Command::TopUp(top_up));
        }
    }

    fn put_document(&mut self, path: &str, text: &str) {
        let change = Change {
            id: change_id(std::time::UNIX_EPOCH, path),
            operator: "wanjiru".into(),
            path: TreePath::try_from(path).expect("a path"),
            expected: 0,
            edit: Edit::Put(text.into()),
            at: std::time::UNIX_EPOCH,
        };
        self.apply(&Command::Change(change));
    }

    fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        let answer = self.state.apply(self.index, 1, command);
        assert!(self.state.invariants_held().is_ok());
        answer
    }

    fn run(mut self) -> Outcome {
        let mut next = 0;
        let mut now = Duration::ZERO;
        while now < SIMULATED_TIME + Duration::from_secs(10) {
            self.end_runs(now);
            self.deliver_answers(now);
            self.send_batches(now);
            self.retry_waiting(now);
            while next < self.requests.len() && self.requests[next].at <= now {
                self.arrive(now, next, None);
                next += 1;
            }
            now += STEP;
        }
        self.finish_outcome();
        self.outcome
    }

    fn finish_outcome(&mut self) {
        self.outcome.requests = self.requests.len() as u64;
        let overspends = self.budget_truths.iter();
        let overspends = overspends.map(|b| b.spent.saturating_sub(b.credited));
        self.outcome.overspend = overspends.sum();
        self.outcome.peak_bytes = self.bytes.values().copied().max().unwrap_or_default();
        let total_bytes: usize = self.bytes.values().sum();
        let seconds = usize::try_from(SIMULATED_TIME.as_secs()).unwrap_or(1);
        self.outcome.mean_bytes = total_bytes / seconds / self.simulation.routers;
    }

    fn is_partitioned(&self, now: Now, router: usize) -> bool {
        // Every second router, including the one that gets most requests when skewed.
        self.simulation.partition && PARTITION_TIME.contains(&now) && router.is_multiple_of(2)
    }

    fn arrive(&mut self, now: Now, request: usize, until: Option<Now>) {
        let arriving = self.requests[request].clone();
        match self.simulation.scheme {
            SharingScheme::Grants => self.arrive_by_grants(now, request, until),
            SharingScheme::EvenSplit => {
                let share = &mut self.shares[arriving.router][arriving.budget];
                let fits = *share >= arriving.max_cost;
                *share -= if fits { arriving.max_cost } else { 0 };
                self.start_or_refuse(now, request, fits);
            }
            SharingScheme::LedgerPerRequest => {
                let fits = self.has_room(&arriving) && !self.is_partitioned(now, arriving.router);
                self.start_or_refuse(now, request, fits);
                let second = (arriving.router, now.as_secs());
                // A reservation and a settlement, each a round trip of two messages to the ledger.
                *self.bytes.entry(second).or_default() += 4 * 60;
            }
        }
    }

    fn arrive_by_grants(&mut self, now: Now, request: usize, until: Option<Now>) {
        let arriving = &self.requests[request];
        let split = Split::single_payer(budget(arriving.budget));
        match self.accounts[arriving.router].reserve(now, &split, arriving.max_cost) {
            Ok(reservation) => self.start_run(now, request, Some(reservation)),
            Err(Shortage::Refused(_)) => self.refuse(request),
            Err(Shortage::WaitFor { until: first, .. }) => {
                let until = until.unwrap_or(first);
                if now >= until {
                    self.refuse(request);
                } else {
                    self.waiting.push((request, Some(until)));
                }
            }
        }
    }

    fn start_or_refuse(&mut self, now: Now, request: usize, fits: bool) {
        if fits {
            self.start_run(now, request, None);
        } else {
            self.refuse(request);
        }
    }

    fn start_run(&mut self, now: Now, request: usize, reservation: Option<Reservation>) {
        let arriving = &self.requests[request];
        self.budget_truths[arriving.budget].running += arriving.max_cost;
        self.running.push(Running {
            ends: now + arriving.run_time,
            request,
            reservation,
        });
    }

    fn has_room(&self, arriving: &Request) -> bool {
        let b = self.budget_truths[arriving.budget];
        b.spent + b.running + arriving.max_cost <= b.credited
    }

    fn refuse(&mut self, request: usize) {
        self.outcome.refused += 1;
        if self.has_room(&self.requests[request]) {
            self.outcome.falsely_refused += 1;
        }
    }

    fn end_runs(&mut self, now: Now) {
        let (ended, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.ends <= now);
        self.running = remaining;
        for run in ended {
            let finished = &self.requests[run.request];
            let b = &mut self.budget_truths[finished.budget];
            b.running -= finished.max_cost;
            b.spent += finished.cost;
            if self.simulation.scheme == SharingScheme::EvenSplit {
                self.shares[finished.router][finished.budget] += finished.max_cost - finished.cost;
            }
            if let Some(reservation) = run.reservation {
                let settled = self.accounts[finished.router].settle(reservation, finished.cost);
                settled.expect("no invariant is broken");
            }
        }
    }

    fn retry_waiting(&mut self, now: Now) {
        for (request, until) in std::mem::take(&mut self.waiting) {
            self.arrive(now, request, until);
        }
    }

    fn send_batches(&mut self, now: Now) {
        if self.simulation.scheme != SharingScheme::Grants {
            return;
        }
        for router in 0..self.accounts.len() {
            let Some(batch) = self.accounts[router].next_batch(now) else {
                continue;
            };
            if self.is_partitioned(now, router) {
                continue;
            }
            let command = Command::GrantBatch(batch);
            let message = LedgerRequest::Propose(command.clone());
            let mut bytes = encode(&message).expect("a message").len();
            let answer = self.apply(&command);
            let reply = LedgerReply::Applied {
                index: self.index,
                answer: answer.clone(),
            };
            bytes += encode(&reply).expect("a message").len();
            *self.bytes.entry((router, now.as_secs())).or_default() += bytes;
            if let Answer::Grants(answer) = answer {
                self.in_flight.insert((now + ROUND_TRIP, router), answer);
            }
        }
    }

    fn deliver_answers(&mut self, now: Now) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let ((_, router), answer) = entry.remove_entry();
            let applied = self.accounts[router].apply_answer(now, &answer);
            applied.expect("no invariant is broken");
        }
    }
}
