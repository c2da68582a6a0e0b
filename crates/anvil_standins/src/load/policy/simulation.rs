//! The world of one experiment: arrivals, endpoints, routers and the order of events.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::prefix::CacheChange;
use anvil_policy::prelude::*;
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::report::{End, Report, Tally};
use super::request::Request;
use super::router::{Entry, SimRouter};
use super::rule::Rule;
use super::scenario::PolicyScenario;
use crate::load::fake::{FakeEngine, Fault};

/// Time between looks at room.
const TICK: Duration = Duration::from_millis(50);
/// Time between judgements of endpoints.
const JUDGE: Duration = Duration::from_secs(1);
/// After this time beyond the last arrival the run is cut off, as a bound.
const LONGEST_TAIL: Duration = Duration::from_mins(10);
/// Time until a failing endpoint has failed a run.
const FAIL_TIME: Duration = Duration::from_millis(3);
/// Time until the platform's list says that an endpoint is gone or back.
const LIST_LAG: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
enum Event {
    Arrive,
    Step { endpoint: usize, life: u64 },
    Measure(usize),
    Heard(usize, LoadReport, Vec<CacheEvent>),
    Tick,
    Judge,
    FaultFrom(usize),
    FaultUntil(usize),
    Listed { endpoint: usize, leaving: bool },
    Failed(usize),
    Again(usize),
}

/// All of one experiment.
#[derive(Debug)]
pub struct World<'a> {
    scenario: &'a PolicyScenario,
    now: Now,
    seq: u64,
    events: BTreeMap<(Now, u64), Event>,
    rng: ChaCha8Rng,
    requests: Vec<Request>,
    routers: Vec<SimRouter>,
    engines: Vec<FakeEngine>,
    lives: Vec<u64>,
    cache_seqs: Vec<u64>,
    open: usize,
    tally: Tally,
}

impl<'a> World<'a> {
    /// The world at its begin.
    pub fn new(scenario: &'a PolicyScenario, rule: &Rule) -> Self {
        let routers = 0..scenario.routers;
        let mut world = Self {
            scenario,
            now: Duration::ZERO,
            seq: 0,
            events: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            requests: Vec::new(),
            routers: routers
                .map(|at| SimRouter::new(at, scenario, rule))
                .collect(),
            engines: vec![FakeEngine::new(scenario.slots, scenario.cache); scenario.endpoints],
            lives: vec![0; scenario.endpoints],
            cache_seqs: vec![0; scenario.endpoints],
            open: 0,
            tally: Tally::new(scenario, rule),
        };
        world.plan();
        world
    }

    fn plan(&mut self) {
        self.at(Duration::ZERO, Event::Arrive);
        self.at(TICK, Event::Tick);
        self.at(JUDGE, Event::Judge);
        for endpoint in 0..self.engines.len() {
            // Reports come at different times, as they do in life.
            let share = u32::try_from(endpoint).unwrap_or(0) % 16;
            self.at(
                self.scenario.report_every * share / 16,
                Event::Measure(endpoint),
            );
        }
        for (at, fault) in self.scenario.faults.iter().enumerate() {
            self.at(fault.from, Event::FaultFrom(at));
            self.at(fault.until, Event::FaultUntil(at));
        }
    }

    fn at(&mut self, time: Now, event: Event) {
        self.seq += 1;
        self.events.insert((time, self.seq), event);
    }

    /// Plays until all requests have ended.
    pub fn play(&mut self) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            self.now = time;
            let over = time > self.scenario.length;
            if over && self.open == 0 || time > self.scenario.length + LONGEST_TAIL {
                break;
            }
            self.handle(event);
        }
    }

    /// What was measured.
    pub fn report(self) -> Report {
        self.tally.report(&self.engines, &self.requests)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Step { endpoint, life } if life == self.lives[endpoint] => self.step(endpoint),
            Event::Step { .. } => {}
            Event::Measure(endpoint) => self.measure(endpoint),
            Event::Heard(endpoint, load, events) => self.heard(endpoint, &load, &events),
            Event::Tick => self.tick(),
            Event::Judge => self.judge(),
            Event::FaultFrom(at) => self.fault(at, true),
            Event::FaultUntil(at) => self.fault(at, false),
            Event::Listed { endpoint, leaving } => self.listed(endpoint, leaving),
            Event::Failed(request) => self.failed(request),
            Event::Again(request) => self.again(request),
        }
    }

    fn arrive(&mut self) {
        if self.now > self.scenario.length {
            return;
        }
        let gap = self.scenario.gap(self.now, &mut self.rng);
        self.at(self.now + gap, Event::Arrive);
        let req = self.scenario.draw(self.now, &mut self.rng);
        let at = self.requests.len();
        self.open += 1;
        self.tally.arrived(&req);
        match self.routers[req.router].offer(self.now, at, &req) {
            Entry::Go => {
                self.requests.push(req);
                self.dispatch(at, None);
            }
            Entry::Wait => self.requests.push(req),
            Entry::Refuse(refusal) => {
                self.requests.push(req);
                let end = End::Refused(refusal, self.capacity_there());
                self.end(at, &end);
            }
        }
    }

    /// Whether the fleet could have taken one more beside all that waits, seen from above.
    fn capacity_there(&self) -> bool {
        let room = |engine: &FakeEngine| match engine.fault {
            None => GOOD_BATCH.saturating_sub(engine.running() + engine.queued()),
            Some(_) => 0,
        };
        let rooms: usize = self.engines.iter().map(room).sum();
        rooms > self.routers.iter().map(SimRouter::waiting).sum()
    }

    fn dispatch(&mut self, at: usize, waiter: Option<Waiter>) -> bool {
        let router = self.requests[at].router;
        let Some(endpoint) = self.routers[router].choose(self.now, &self.requests[at]) else {
            self.routers[router].put_back(self.now, at, waiter, &self.requests[at]);
            return false;
        };
        let run = self.requests[at].begin(self.now, at, endpoint);
        let fault = self.engines[endpoint].fault;
        if matches!(fault, Some(Fault::FailsFast | Fault::Down)) {
            self.at(self.now + FAIL_TIME, Event::Failed(at));
            return true;
        }
        self.engines[endpoint].push(run);
        self.start_step(endpoint);
        true
    }

    fn start_step(&mut self, endpoint: usize) {
        if let Some(length) = self.engines[endpoint].start_step() {
            let life = self.lives[endpoint];
            self.at(self.now + length, Event::Step { endpoint, life });
        }
    }

    fn step(&mut self, endpoint: usize) {
        let result = self.engines[endpoint].end_step();
        for (at, first) in result.tokens {
            self.token(at, first);
        }
        for at in result.ended {
            self.completed(at);
        }
        self.start_step(endpoint);
    }

    fn token(&mut self, at: usize, first_of_try: bool) {
        let req = &mut self.requests[at];
        if let Some(going) = req.going.as_mut().filter(|_| first_of_try) {
            going.first_token = Some(self.now);
        }
        if req.first_token.is_none() {
            req.first_token = Some(self.now);
        } else {
            self.tally.gap(self.now.saturating_sub(req.newest_token));
        }
        req.newest_token = self.now;
        req.made += 1;
    }

    fn completed(&mut self, at: usize) {
        let req = &mut self.requests[at];
        let Some(going) = req.going.take() else {
            return;
        };
        let finished = FinishedRequest {
            prompt: req.prompt,
            output_bound: req.output_bound,
            output: req.made - going.made_before,
            first_token: going
                .first_token
                .unwrap_or(self.now)
                .saturating_sub(going.since),
            total: self.now.saturating_sub(going.since),
        };
        let router = &mut self.routers[req.router];
        router.ended(self.now, going.endpoint, Some(finished));
        router.finished();
        let router = req.router;
        self.end(at, &End::Completed);
        self.pump(router);
    }

    fn failed(&mut self, at: usize) {
        let now = self.now;
        let req = &mut self.requests[at];
        let Some(going) = req.going.take() else {
            return;
        };
        let router = &mut self.routers[req.router];
        router.ended(now, going.endpoint, None);
        req.avoid.push(router.endpoint(going.endpoint).id.clone());
        let rng = &mut router.rng;
        let pause = router
            .retries
            .next_backoff(now, req.tries, RetrySafety::Safe, rng);
        if let Some(pause) = pause {
            self.at(now + pause, Event::Again(at));
            return;
        }
        router.finished();
        self.end(at, &End::Failed);
    }

    fn again(&mut self, at: usize) {
        self.dispatch(at, None);
    }

    fn pump(&mut self, router: usize) {
        while let Some(at) = self.routers[router].expired(self.now) {
            self.end(at, &End::GivenUp);
        }
        while let Some((at, waiter)) = self.routers[router].next(self.now) {
            if !self.dispatch(at, waiter) {
                return;
            }
        }
    }

    fn tick(&mut self) {
        self.at(self.now + TICK, Event::Tick);
        for router in 0..self.routers.len() {
            self.routers[router].tick();
            self.pump(router);
        }
    }

    fn judge(&mut self) {
        self.at(self.now + JUDGE, Event::Judge);
        for router in &mut self.routers {
            router.judge(self.now);
        }
        let running = self.engines.iter().map(FakeEngine::running).sum();
        let waiting = self.routers.iter().map(SimRouter::waiting).sum();
        self.tally.second(self.now, running, waiting);
    }

    fn measure(&mut self, endpoint: usize) {
        let (every, lag) = (self.scenario.report_every, self.scenario.report_lag);
        self.at(self.now + every, Event::Measure(endpoint));
        let engine = &mut self.engines[endpoint];
        let changes = engine.take_changes();
        if engine.fault == Some(Fault::Down) {
            return;
        }
        let small = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let load = LoadReport {
            running: small(engine.running()),
            queued: small(engine.queued()),
            slots: small(engine.slots),
            tokens_per_second: engine.take_tokens_per_second(every),
            leaving: false,
        };
        let events = self.number(endpoint, changes);
        self.at(self.now + lag, Event::Heard(endpoint, load, events));
    }

    fn number(&mut self, endpoint: usize, changes: Vec<CacheChange>) -> Vec<CacheEvent> {
        let mut events = Vec::with_capacity(changes.len());
        for change in changes {
            self.cache_seqs[endpoint] += 1;
            let seq = self.cache_seqs[endpoint];
            if !self.rng_events().random_bool(self.scenario.events_lost) {
                events.push(CacheEvent { seq, change });
            }
        }
        events
    }

    /// Losses have their own numbers, so that every rule meets the same arrivals.
    fn rng_events(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.scenario.seed ^ self.cache_seqs.iter().sum::<u64>())
    }

    fn heard(&mut self, endpoint: usize, load: &LoadReport, events: &[CacheEvent]) {
        if self.engines[endpoint].fault == Some(Fault::Down) {
            return;
        }
        for router in &mut self.routers {
            router.report(self.now, endpoint, load);
            for event in events {
                router.heard(self.now, endpoint, event);
            }
        }
    }

    fn fault(&mut self, at: usize, begins: bool) {
        let fault = self.scenario.faults[at];
        for nth in 0..fault.count {
            let endpoint = fault.first + nth * fault.step;
            self.engines[endpoint].fault = begins.then_some(fault.fault);
            if fault.fault == Fault::Down {
                self.lose(endpoint);
                let leaving = begins;
                self.at(self.now + LIST_LAG, Event::Listed { endpoint, leaving });
            } else if begins && fault.fault == Fault::FailsFast {
                self.lose(endpoint);
            }
        }
    }

    fn lose(&mut self, endpoint: usize) {
        self.lives[endpoint] += 1;
        for at in self.engines[endpoint].lose_all() {
            self.failed(at);
        }
    }

    fn listed(&mut self, endpoint: usize, leaving: bool) {
        for router in &mut self.routers {
            let state = router.endpoint(endpoint);
            state.set_leaving(leaving);
            if !leaving {
                let slots = state.slots();
                let load = LoadReport {
                    slots,
                    ..LoadReport::default()
                };
                router.report(self.now, endpoint, &load);
            }
        }
    }

    fn end(&mut self, at: usize, end: &End) {
        self.open -= 1;
        self.tally.ended(self.now, &self.requests[at], end);
    }
}

/// Runs that an endpoint serves side by side with tokens no more than 59 ms apart, prefilling
/// beside: 15 + 15 + 0.8 * 36 ms. The view from above that false refusals are judged by.
pub const GOOD_BATCH: usize = 36;
