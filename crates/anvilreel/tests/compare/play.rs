//! One played load of money under three ways of sharing a budget between routers.
//!
//! Virtual time, one seed, the same requests for every way. The judge sees everything: a refusal
//! is false when the budget still had room for the request's bound beyond all that was settled
//! and all that runs anywhere.

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
pub enum Way {
    Grants,
    EvenSplit,
    AskLedger,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Play {
    pub way: Way,
    pub seed: u64,
    pub routers: usize,
    pub budgets: usize,
    /// Whether four of five requests come to one router.
    pub skewed: bool,
    /// What all requests cost together, in percent of what was paid in.
    pub used: u64,
    /// Whether half of the routers are cut off from the ledger for 60 s.
    pub partition: bool,
    pub policy: GrantPolicy,
}

/// Played time.
pub const LONG: Duration = Duration::from_mins(4);
const CUT: std::ops::Range<Duration> = Duration::from_secs(90)..Duration::from_secs(150);
const REQUESTS: usize = 24_000;
const STEP: Duration = Duration::from_millis(50);
const ROUND_TRIP: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Request {
    at: Now,
    router: usize,
    budget: usize,
    cost: Tokens,
    bound: Tokens,
    lasts: Duration,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub requests: u64,
    pub refused: u64,
    pub falsely: u64,
    pub overspend: Tokens,
    /// Most bytes of grant traffic of one router in one second, both directions.
    pub peak_bytes: usize,
    /// Mean bytes a second and router.
    pub mean_bytes: usize,
}

impl Outcome {
    /// False refusals of all requests, in thousandths of a percent.
    pub fn false_milli_percent(&self) -> u64 {
        self.falsely * 100_000 / self.requests.max(1)
    }
}

/// The judge's view of one budget.
#[derive(Debug, Clone, Copy, Default)]
struct Judged {
    credited: Tokens,
    spent: Tokens,
    running: Tokens,
}

/// One request that runs.
struct Running {
    ends: Now,
    request: usize,
    reservation: Option<Reservation>,
}

struct Player {
    play: Play,
    requests: Vec<Request>,
    judged: Vec<Judged>,
    /// By router and budget, for the even split.
    shares: Vec<Vec<Tokens>>,
    accounts: Vec<GrantAccount>,
    state: State,
    index: LogIndex,
    waiting: Vec<(usize, Option<Now>)>,
    running: Vec<Running>,
    in_flight: BTreeMap<(Now, usize), anvil_world::command::GrantBatchAnswer>,
    bytes: BTreeMap<(usize, u64), usize>,
    outcome: Outcome,
}

pub fn play(play: Play) -> Outcome {
    Player::new(play).run()
}

fn budget(i: usize) -> BudgetId {
    format!("b{i:05}").into()
}

fn draw(play: &Play) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(play.seed);
    let mut made: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let cost = rng.random_range(50..450);
            let loud = play.skewed && rng.random_range(0..5) != 0;
            Request {
                at: LONG.mul_f64(rng.random_range(0.01..0.97)),
                router: if loud {
                    0
                } else {
                    rng.random_range(0..play.routers)
                },
                budget: rng.random_range(0..play.budgets),
                cost,
                bound: cost * rng.random_range(12..40) / 10,
                lasts: Duration::from_millis(rng.random_range(200..4_000)),
            }
        })
        .collect();
    made.sort_by_key(|request| request.at);
    made
}

impl Player {
    fn new(play: Play) -> Self {
        let requests = draw(&play);
        let mut judged = vec![Judged::default(); play.budgets];
        for request in &requests {
            judged[request.budget].credited += request.cost * 100 / play.used;
        }
        let shares = judged.iter().map(|b| b.credited / play.routers as u64);
        let shares: Vec<_> = shares.collect();
        let account = |i: usize| GrantAccount::new(format!("r{i}").into(), 1, play.policy.clone());
        let mut player = Self {
            shares: vec![shares; play.routers],
            accounts: (0..play.routers).map(account).collect(),
            state: State::default(),
            index: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            in_flight: BTreeMap::new(),
            bytes: BTreeMap::new(),
            outcome: Outcome::default(),
            requests,
            judged,
            play,
        };
        player.pay_in();
        player
    }

    fn pay_in(&mut self) {
        self.put("organisations/paper", "");
        for i in 0..self.play.budgets {
            let id = budget(i);
            self.put(&format!("budgets/{id}"), "organisation = \"paper\"");
            let top_up = TopUp {
                id: change_id(std::time::UNIX_EPOCH, &format!("top-{i}")),
                operator: "wanjiru".into(),
                budget: id,
                amount: self.judged[i].credited,
                at: std::time::UNIX_EPOCH,
            };
            self.apply(&Command::TopUp(top_up));
        }
    }

    fn put(&mut self, path: &str, text: &str) {
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
        while now < LONG + Duration::from_secs(10) {
            self.end_runs(now);
            self.take_answers(now);
            self.send_batches(now);
            self.try_waiting(now);
            while next < self.requests.len() && self.requests[next].at <= now {
                self.arrive(now, next, None);
                next += 1;
            }
            now += STEP;
        }
        self.judge_spending();
        self.outcome
    }

    fn judge_spending(&mut self) {
        self.outcome.requests = self.requests.len() as u64;
        let over = self.judged.iter();
        let over = over.map(|b| b.spent.saturating_sub(b.credited));
        self.outcome.overspend = over.sum();
        self.outcome.peak_bytes = self.bytes.values().copied().max().unwrap_or_default();
        let all: usize = self.bytes.values().sum();
        let seconds = usize::try_from(LONG.as_secs()).unwrap_or(1);
        self.outcome.mean_bytes = all / seconds / self.play.routers;
    }

    fn is_cut(&self, now: Now, router: usize) -> bool {
        // Every second router, the loud one among them.
        self.play.partition && CUT.contains(&now) && router.is_multiple_of(2)
    }

    fn arrive(&mut self, now: Now, request: usize, until: Option<Now>) {
        let wanted = self.requests[request].clone();
        match self.play.way {
            Way::Grants => self.arrive_by_grants(now, request, until),
            Way::EvenSplit => {
                let share = &mut self.shares[wanted.router][wanted.budget];
                let fits = *share >= wanted.bound;
                *share -= if fits { wanted.bound } else { 0 };
                self.begin_or_refuse(now, request, fits);
            }
            Way::AskLedger => {
                let fits = self.has_room(&wanted) && !self.is_cut(now, wanted.router);
                self.begin_or_refuse(now, request, fits);
                let second = (wanted.router, now.as_secs());
                // A reservation and a settlement, each a round trip through the log.
                *self.bytes.entry(second).or_default() += 4 * 60;
            }
        }
    }

    fn arrive_by_grants(&mut self, now: Now, request: usize, until: Option<Now>) {
        let wanted = &self.requests[request];
        let split = Split::single_payer(budget(wanted.budget));
        match self.accounts[wanted.router].reserve(now, &split, wanted.bound) {
            Ok(reservation) => self.begin(now, request, Some(reservation)),
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

    fn begin_or_refuse(&mut self, now: Now, request: usize, fits: bool) {
        if fits {
            self.begin(now, request, None);
        } else {
            self.refuse(request);
        }
    }

    fn begin(&mut self, now: Now, request: usize, reservation: Option<Reservation>) {
        let wanted = &self.requests[request];
        self.judged[wanted.budget].running += wanted.bound;
        self.running.push(Running {
            ends: now + wanted.lasts,
            request,
            reservation,
        });
    }

    fn has_room(&self, wanted: &Request) -> bool {
        let b = self.judged[wanted.budget];
        b.spent + b.running + wanted.bound <= b.credited
    }

    fn refuse(&mut self, request: usize) {
        self.outcome.refused += 1;
        if self.has_room(&self.requests[request]) {
            self.outcome.falsely += 1;
        }
    }

    fn end_runs(&mut self, now: Now) {
        let (ended, going): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.ends <= now);
        self.running = going;
        for run in ended {
            let done = &self.requests[run.request];
            let b = &mut self.judged[done.budget];
            b.running -= done.bound;
            b.spent += done.cost;
            if self.play.way == Way::EvenSplit {
                self.shares[done.router][done.budget] += done.bound - done.cost;
            }
            if let Some(reservation) = run.reservation {
                let settled = self.accounts[done.router].settle(reservation, done.cost);
                settled.expect("no invariant is broken");
            }
        }
    }

    fn try_waiting(&mut self, now: Now) {
        for (request, until) in std::mem::take(&mut self.waiting) {
            self.arrive(now, request, until);
        }
    }

    fn send_batches(&mut self, now: Now) {
        if self.play.way != Way::Grants {
            return;
        }
        for router in 0..self.accounts.len() {
            let Some(batch) = self.accounts[router].next_batch(now) else {
                continue;
            };
            if self.is_cut(now, router) {
                continue;
            }
            let command = Command::GrantBatch(batch);
            let ask = LedgerRequest::Propose(command.clone());
            let mut bytes = encode(&ask).expect("a message").len();
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

    fn take_answers(&mut self, now: Now) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let ((_, router), answer) = entry.remove_entry();
            let taken = self.accounts[router].apply_answer(now, &answer);
            taken.expect("no invariant is broken");
        }
    }
}
