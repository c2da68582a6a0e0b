//! Routers with their grant accounts and tables, and messages that the test delivers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_gateway::account::held_prompts::{
    EndedHold, HeldPrompts, HoldEnd, HoldResult, LostPrompt,
};
use anvil_ledger::state::State;
use anvil_policy::held_prompt::{ChargeEnd, ChargeProgress, LostAttempt};
use anvil_wire::msg::HeldPromptRequest;
use anvil_world::command::{Change, Edit, GrantBatch, TopUp, change_id};
use anvil_world::prelude::*;
use anvilreel::money::{GrantAccount, GrantPolicy, Reservation};

/// Tokens of each request's prompt.
pub const PROMPT: Tokens = 100;
/// Tokens of each answer.
pub const OUTPUT: Tokens = 30;
/// Number of routers.
pub const ROUTERS: usize = 3;
/// How long each client may retry.
pub const CLIENT_TIME: Duration = Duration::from_secs(2);

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Its reservation was released as not run.
    NotRun,
    /// It was charged.
    Charged,
    /// It was held and released.
    Released,
    /// Its router was killed: what it had reserved counts as spent.
    Killed,
}

/// A running attempt.
#[derive(Debug)]
pub struct Running {
    pub router: usize,
    pub id: AttemptId,
    pub request: ContentDigest,
    pub progress: ChargeProgress,
    received: Now,
    client_deadline: Now,
    reservation: Reservation,
}

impl Running {
    fn attempt(&self) -> LostAttempt {
        LostAttempt {
            request: self.request,
            prompt: PROMPT,
            received: self.received,
            client_deadline: self.client_deadline,
        }
    }
}

pub struct Router {
    pub account: Arc<GrantAccount>,
    pub prompts: HeldPrompts,
    /// Attempts that it holds or runs.
    open: BTreeMap<AttemptId, ContentDigest>,
}

pub struct Model {
    pub now: Now,
    pub routers: Vec<Router>,
    /// Messages on their way, with their receivers.
    pub messages: Vec<(usize, HeldPromptRequest)>,
    /// Fates of the attempts of each request.
    pub fates: BTreeMap<ContentDigest, Vec<Fate>>,
    /// Tokens charged in all.
    pub charged: Tokens,
    /// When the clients of the requests give up: each sends all attempts of one request.
    deadlines: BTreeMap<ContentDigest, Now>,
    ledger: State,
    index: LogIndex,
    incarnation: Incarnation,
    attempts: usize,
}

impl Model {
    pub fn new(credit: Tokens) -> Self {
        let mut model = Self {
            now: Duration::from_secs(1),
            routers: Vec::new(),
            messages: Vec::new(),
            fates: BTreeMap::new(),
            charged: 0,
            deadlines: BTreeMap::new(),
            ledger: State::default(),
            index: 0,
            incarnation: 0,
            attempts: 0,
        };
        model.put("organisations/co-op", "");
        model.put("budgets/co-op", "organisation = \"co-op\"");
        model.apply(&Command::TopUp(TopUp {
            id: change_id(std::time::UNIX_EPOCH, "credit"),
            operator: "wanjiru".into(),
            budget: "co-op".into(),
            amount: credit,
            at: std::time::UNIX_EPOCH,
        }));
        model.routers = (0..ROUTERS)
            .map(|number| model.new_router(number))
            .collect();
        model
    }

    fn new_router(&mut self, number: usize) -> Router {
        self.incarnation += 1;
        let name = format!("r{number}#{}", self.incarnation);
        let policy = GrantPolicy {
            batch_interval: Duration::from_millis(10),
            urgent_batch_interval: Duration::ZERO,
            ..GrantPolicy::default()
        };
        let account = Arc::new(GrantAccount::new(name.into(), self.incarnation, policy));
        let id = InstanceId::from(format!("r{number}"));
        Router {
            prompts: HeldPrompts::new(account.clone(), id, self.incarnation, 0),
            account,
            open: BTreeMap::new(),
        }
    }

    fn put(&mut self, path: &str, text: &str) {
        self.apply(&Command::Change(Change {
            id: change_id(std::time::UNIX_EPOCH, path),
            operator: "wanjiru".into(),
            path: TreePath::try_from(path).expect("a valid path"),
            expected: 0,
            edit: Edit::Put(text.into()),
            at: std::time::UNIX_EPOCH,
        }));
    }

    fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        let answer = self.ledger.apply(self.index, 1, command);
        self.ledger
            .check_all()
            .expect("the ledger's invariants hold");
        answer
    }

    /// Exchanges batches with the ledger until none is due.
    pub fn exchange(&mut self, router: usize) {
        self.now += Duration::from_millis(20);
        while let Some(batch) = self.next_batch(router) {
            let Answer::Grants(answer) = self.apply(&Command::GrantBatch(batch)) else {
                panic!("no answer to a batch");
            };
            let account = &self.routers[router].account;
            account.apply_answer(self.now, &answer).expect("an answer");
            if !answer.recalled.is_empty() {
                let ended = self.routers[router].prompts.charge_recalled();
                self.record_ended(router, ended);
            }
        }
    }

    fn next_batch(&self, router: usize) -> Option<GrantBatch> {
        self.routers[router].account.next_batch(self.now)
    }

    /// When the client of a request gives up. Once that is over, another one sends the same request.
    fn client_deadline(&mut self, request: ContentDigest) -> Now {
        let fresh = self.now + CLIENT_TIME;
        let deadline = self.deadlines.entry(request).or_insert(fresh);
        if *deadline <= self.now {
            *deadline = fresh;
        }
        *deadline
    }

    /// Starts an attempt of another caller that sends an equal request now.
    pub fn start_as_another_caller(&mut self, router: usize, request: ContentDigest) -> Running {
        let client_deadline = self.now + CLIENT_TIME;
        let running = self.start(router, request);
        Running {
            client_deadline,
            ..running
        }
    }

    /// Starts an attempt, if the budget allows it.
    pub fn try_start(&mut self, router: usize, request: ContentDigest) -> Option<Running> {
        let split = Split::single_payer("co-op".into());
        let bound = PROMPT + OUTPUT;
        let account = self.routers[router].account.clone();
        let mut reservation = account.reserve(self.now, &split, bound);
        if reservation.is_err() {
            self.exchange(router);
            reservation = account.reserve(self.now, &split, bound);
        }
        self.attempts += 1;
        let id: AttemptId = format!("a{}", self.attempts).into();
        let reservation = reservation.ok()?;
        self.routers[router].open.insert(id.clone(), request);
        let mut progress = ChargeProgress::default();
        progress.record_begun();
        Some(Running {
            router,
            id,
            request,
            progress,
            received: self.now,
            client_deadline: self.client_deadline(request),
            reservation,
        })
    }

    pub fn start(&mut self, router: usize, request: ContentDigest) -> Running {
        self.try_start(router, request).expect("enough tokens")
    }

    /// The charge of an attempt can't be reversed any more.
    pub fn make_final(&mut self, running: &mut Running) {
        running.progress.record_final();
        if !running.progress.may_report() {
            return;
        }
        let prompts = &self.routers[running.router].prompts;
        let released = prompts.record_charge(self.now, running.attempt()).released;
        self.record_ended(running.router, released);
    }

    /// Ends an attempt, in the order of `RequestCharge`.
    pub fn end(&mut self, mut running: Running) {
        self.make_final(&mut running);
        let router = running.router;
        let account = self.routers[router].account.clone();
        match running.progress.end() {
            ChargeEnd::Release => {
                account.release(running.reservation);
                self.record_fate(router, &running.id, Fate::NotRun);
            }
            ChargeEnd::Charge => {
                account
                    .settle(running.reservation, PROMPT + OUTPUT)
                    .expect("the cost is within the reservation");
                self.charged += PROMPT + OUTPUT;
                self.record_fate(router, &running.id, Fate::Charged);
            }
            ChargeEnd::Hold => self.hold(running),
        }
    }

    fn hold(&mut self, running: Running) {
        let lost = LostPrompt {
            id: running.id.clone(),
            attempt: running.attempt(),
            reservation: running.reservation,
        };
        let prompts = &self.routers[running.router].prompts;
        let time_left = running.client_deadline.saturating_sub(self.now);
        match prompts.hold(self.now, lost, time_left) {
            HoldResult::Held(ended) => self.record_ended(running.router, ended),
            HoldResult::Charged => {
                self.charged += PROMPT;
                self.record_fate(running.router, &running.id, Fate::Charged);
            }
        }
    }

    /// Loses the answer of a new attempt.
    pub fn lose(&mut self, router: usize, request: ContentDigest) {
        let running = self.start(router, request);
        self.end(running);
    }

    /// Serves a new attempt.
    pub fn serve(&mut self, router: usize, request: ContentDigest) {
        let mut running = self.start(router, request);
        self.make_final(&mut running);
        running.progress.record_answered();
        self.end(running);
    }

    /// Sends what the routers have to send.
    pub fn send(&mut self) {
        for from in 0..ROUTERS {
            let prompts = &self.routers[from].prompts;
            for (to, report) in prompts.take_reports() {
                let to = to.trim_start_matches('r').parse().expect("a router");
                self.messages.push((to, report));
            }
            let Some(notification) = prompts.take_notification(self.now) else {
                continue;
            };
            for to in (0..ROUTERS).filter(|to| *to != from) {
                self.messages.push((to, notification.clone()));
            }
        }
    }

    pub fn deliver(&mut self, (to, message): (usize, HeldPromptRequest)) {
        let ended = self.routers[to].prompts.receive(self.now, message);
        self.record_ended(to, ended);
    }

    /// Sends and delivers all messages.
    pub fn deliver_all(&mut self) {
        self.send();
        for message in std::mem::take(&mut self.messages) {
            self.deliver(message);
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        for router in 0..ROUTERS {
            let ended = self.routers[router].prompts.charge_ended(self.now);
            self.record_ended(router, ended);
        }
    }

    /// Begins a planned stop.
    pub fn stop(&mut self, router: usize) {
        let ended = self.routers[router].prompts.close();
        self.record_ended(router, ended);
        self.routers[router].account.begin_drain();
    }

    /// Fences a router.
    pub fn fence(&mut self, router: usize) {
        self.routers[router].account.fence();
        let ended = self.routers[router].prompts.close();
        self.record_ended(router, ended);
    }

    /// Kills a router, and starts it under the same id. The test drops its running attempts.
    pub fn restart(&mut self, router: usize) {
        let restarted = self.new_router(router);
        let killed = std::mem::replace(&mut self.routers[router], restarted);
        for request in killed.open.into_values() {
            self.fates.entry(request).or_default().push(Fate::Killed);
        }
    }

    pub fn budget(&self) -> Budget {
        self.ledger.budget("co-op").expect("the budget").clone()
    }

    pub fn count(&self, request: ContentDigest, fate: Fate) -> usize {
        let fates = self.fates.get(&request).into_iter().flatten();
        fates.filter(|other| **other == fate).count()
    }

    fn record_ended(&mut self, router: usize, ended: impl IntoIterator<Item = EndedHold>) {
        for hold in ended {
            assert_eq!(hold.prompt, PROMPT);
            let fate = if hold.end == HoldEnd::Released {
                Fate::Released
            } else {
                self.charged += PROMPT;
                Fate::Charged
            };
            self.record_fate(router, &hold.id, fate);
        }
    }

    fn record_fate(&mut self, router: usize, id: &AttemptId, fate: Fate) {
        let request = self.routers[router].open.remove(id);
        let request = request.expect("an attempt that ends once");
        self.fates.entry(request).or_default().push(fate);
    }
}
