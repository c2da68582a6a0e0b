//! The discrete event simulation of one scenario: arrivals, endpoints, routers and faults.
//!
//! Events are processed in the order of their times, and events of the same time in the order in
//! which they were scheduled, so that a run is repeatable.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::prefix::CacheChange;
use anvil_policy::prelude::*;
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::report::{Report, RequestEnd, Tally};
use super::request::Request;
use super::router::{Admission, SimRouter};
use super::rule::Rule;
use super::scenario::PolicyScenario;
use crate::load::fake::{FakeEngine, Fault};

/// Interval at which routers update their limits and dispatch queued requests.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which routers evaluate the health of endpoints.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time from the last arrival to the end of the run.
const MAX_DRAIN_TIME: Duration = Duration::from_mins(10);
/// Time in which a failing endpoint fails a run.
const FAIL_TIME: Duration = Duration::from_millis(3);
/// Delay until the platform's list shows that an endpoint is gone or back.
const LIST_LAG: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
enum Event {
    Arrive,
    Step { endpoint: usize, incarnation: u64 },
    MakeReport(usize),
    Reported(usize, LoadReport, Vec<CacheEvent>),
    Tick,
    EvaluateHealth,
    FaultFrom(usize),
    FaultUntil(usize),
    UpdateListing { endpoint: usize, leaving: bool },
    Failed(usize),
    Retry(usize),
}

/// State of one simulation.
#[derive(Debug)]
pub struct Simulation<'a> {
    scenario: &'a PolicyScenario,
    now: Now,
    seq: u64,
    events: BTreeMap<(Now, u64), Event>,
    rng: ChaCha8Rng,
    requests: Vec<Request>,
    routers: Vec<SimRouter>,
    engines: Vec<FakeEngine>,
    incarnations: Vec<u64>,
    cache_seqs: Vec<u64>,
    open_requests: usize,
    tally: Tally,
}

impl<'a> Simulation<'a> {
    /// A simulation at its start.
    pub fn new(scenario: &'a PolicyScenario, rule: &Rule) -> Self {
        let routers = 0..scenario.routers;
        let mut simulation = Self {
            scenario,
            now: Duration::ZERO,
            seq: 0,
            events: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            requests: Vec::new(),
            routers: routers
                .map(|index| SimRouter::new(index, scenario, rule))
                .collect(),
            engines: vec![FakeEngine::new(scenario.slots, scenario.cache); scenario.endpoints],
            incarnations: vec![0; scenario.endpoints],
            cache_seqs: vec![0; scenario.endpoints],
            open_requests: 0,
            tally: Tally::new(scenario, rule),
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrive);
        self.schedule(TICK_INTERVAL, Event::Tick);
        self.schedule(HEALTH_INTERVAL, Event::EvaluateHealth);
        for endpoint in 0..self.engines.len() {
            // Endpoints report at different times, as real ones do.
            let share = u32::try_from(endpoint).unwrap_or(0) % 16;
            self.schedule(
                self.scenario.report_every * share / 16,
                Event::MakeReport(endpoint),
            );
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule(fault.from, Event::FaultFrom(index));
            self.schedule(fault.until, Event::FaultUntil(index));
        }
    }

    fn schedule(&mut self, time: Now, event: Event) {
        self.seq += 1;
        self.events.insert((time, self.seq), event);
    }

    /// Runs until all requests have ended.
    pub fn run(&mut self) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            self.now = time;
            let arrivals_over = time > self.scenario.length;
            if arrivals_over && self.open_requests == 0
                || time > self.scenario.length + MAX_DRAIN_TIME
            {
                break;
            }
            self.handle(event);
        }
    }

    /// The report of the run.
    pub fn report(self) -> Report {
        self.tally.report(&self.engines, &self.requests)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Step {
                endpoint,
                incarnation,
            } if incarnation == self.incarnations[endpoint] => self.step(endpoint),
            Event::Step { .. } => {}
            Event::MakeReport(endpoint) => self.make_report(endpoint),
            Event::Reported(endpoint, load, events) => self.apply_report(endpoint, &load, &events),
            Event::Tick => self.tick(),
            Event::EvaluateHealth => self.evaluate_health(),
            Event::FaultFrom(index) => self.fault(index, true),
            Event::FaultUntil(index) => self.fault(index, false),
            Event::UpdateListing { endpoint, leaving } => self.update_listing(endpoint, leaving),
            Event::Failed(request) => self.failed(request),
            Event::Retry(request) => self.retry(request),
        }
    }

    fn arrive(&mut self) {
        if self.now > self.scenario.length {
            return;
        }
        let arrival_gap = self.scenario.arrival_gap(self.now, &mut self.rng);
        self.schedule(self.now + arrival_gap, Event::Arrive);
        let req = self.scenario.draw_request(self.now, &mut self.rng);
        let index = self.requests.len();
        self.open_requests += 1;
        self.tally.arrived(&req);
        match self.routers[req.router].admit(self.now, index, &req) {
            Admission::Run => {
                self.requests.push(req);
                self.dispatch(index, None);
            }
            Admission::Wait => self.requests.push(req),
            Admission::Refuse(refusal) => {
                self.requests.push(req);
                let end = RequestEnd::Refused(refusal, self.has_capacity());
                self.end_request(index, &end);
            }
        }
    }

    /// Whether the fleet has capacity for one more request beyond all queued ones, by a global view.
    fn has_capacity(&self) -> bool {
        let headroom = |engine: &FakeEngine| match engine.fault {
            None => MAX_GOOD_BATCH.saturating_sub(engine.running() + engine.queued()),
            Some(_) => 0,
        };
        let total_headroom: usize = self.engines.iter().map(headroom).sum();
        total_headroom > self.routers.iter().map(SimRouter::waiting).sum()
    }

    fn dispatch(&mut self, index: usize, waiter: Option<Waiter>) -> bool {
        let router = self.requests[index].router;
        let Some(endpoint) = self.routers[router].choose(self.now, &self.requests[index]) else {
            self.routers[router].requeue(self.now, index, waiter, &self.requests[index]);
            return false;
        };
        let run = self.requests[index].start_attempt(self.now, index, endpoint);
        let fault = self.engines[endpoint].fault;
        if matches!(fault, Some(Fault::FailsFast | Fault::Down)) {
            self.schedule(self.now + FAIL_TIME, Event::Failed(index));
            return true;
        }
        self.engines[endpoint].push(run);
        self.start_step(endpoint);
        true
    }

    fn start_step(&mut self, endpoint: usize) {
        if let Some(length) = self.engines[endpoint].start_step() {
            let incarnation = self.incarnations[endpoint];
            self.schedule(
                self.now + length,
                Event::Step {
                    endpoint,
                    incarnation,
                },
            );
        }
    }

    fn step(&mut self, endpoint: usize) {
        let result = self.engines[endpoint].end_step();
        for (index, first) in result.tokens {
            self.token(index, first);
        }
        for index in result.ended {
            self.completed(index);
        }
        self.start_step(endpoint);
    }

    fn token(&mut self, index: usize, first_of_attempt: bool) {
        let req = &mut self.requests[index];
        if let Some(attempt) = req.attempt.as_mut().filter(|_| first_of_attempt) {
            attempt.first_token = Some(self.now);
        }
        if req.first_token.is_none() {
            req.first_token = Some(self.now);
        } else {
            self.tally
                .record_token_gap(self.now.saturating_sub(req.last_token));
        }
        req.last_token = self.now;
        req.received += 1;
    }

    fn completed(&mut self, index: usize) {
        let req = &mut self.requests[index];
        let Some(attempt) = req.attempt.take() else {
            return;
        };
        let finished = FinishedRequest {
            prompt: req.prompt,
            output_bound: req.output_bound,
            output: req.received - attempt.received_before,
            first_token: attempt
                .first_token
                .unwrap_or(self.now)
                .saturating_sub(attempt.started),
            total: self.now.saturating_sub(attempt.started),
        };
        let router = &mut self.routers[req.router];
        router.ended(self.now, attempt.endpoint, Some(finished));
        router.finished();
        let router = req.router;
        self.end_request(index, &RequestEnd::Completed);
        self.dispatch_queued(router);
    }

    fn failed(&mut self, index: usize) {
        let now = self.now;
        let req = &mut self.requests[index];
        let Some(attempt) = req.attempt.take() else {
            return;
        };
        let router = &mut self.routers[req.router];
        router.ended(now, attempt.endpoint, None);
        req.avoid.push(router.endpoint(attempt.endpoint).id.clone());
        let rng = &mut router.rng;
        let backoff = router
            .retries
            .next_backoff(now, req.attempts, RetrySafety::Safe, rng);
        if let Some(backoff) = backoff {
            self.schedule(now + backoff, Event::Retry(index));
            return;
        }
        router.finished();
        self.end_request(index, &RequestEnd::Failed);
    }

    fn retry(&mut self, index: usize) {
        self.dispatch(index, None);
    }

    fn dispatch_queued(&mut self, router: usize) {
        while let Some(index) = self.routers[router].expired(self.now) {
            self.end_request(index, &RequestEnd::GivenUp);
        }
        while let Some((index, waiter)) = self.routers[router].next(self.now) {
            if !self.dispatch(index, waiter) {
                return;
            }
        }
    }

    fn tick(&mut self) {
        self.schedule(self.now + TICK_INTERVAL, Event::Tick);
        for router in 0..self.routers.len() {
            self.routers[router].tick();
            self.dispatch_queued(router);
        }
    }

    fn evaluate_health(&mut self) {
        self.schedule(self.now + HEALTH_INTERVAL, Event::EvaluateHealth);
        for router in &mut self.routers {
            router.evaluate_health(self.now);
        }
        let running = self.engines.iter().map(FakeEngine::running).sum();
        let waiting = self.routers.iter().map(SimRouter::waiting).sum();
        self.tally.record_second(self.now, running, waiting);
    }

    fn make_report(&mut self, endpoint: usize) {
        let (interval, lag) = (self.scenario.report_every, self.scenario.report_lag);
        self.schedule(self.now + interval, Event::MakeReport(endpoint));
        let engine = &mut self.engines[endpoint];
        let changes = engine.take_changes();
        if engine.fault == Some(Fault::Down) {
            return;
        }
        let saturating_u32 = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let load = LoadReport {
            running: saturating_u32(engine.running()),
            queued: saturating_u32(engine.queued()),
            slots: saturating_u32(engine.slots),
            tokens_per_second: engine.take_tokens_per_second(interval),
            leaving: false,
        };
        let events = self.publish_events(endpoint, changes);
        self.schedule(self.now + lag, Event::Reported(endpoint, load, events));
    }

    fn publish_events(&mut self, endpoint: usize, changes: Vec<CacheChange>) -> Vec<CacheEvent> {
        let mut events = Vec::with_capacity(changes.len());
        for change in changes {
            self.cache_seqs[endpoint] += 1;
            let seq = self.cache_seqs[endpoint];
            if !self.event_loss_rng().random_bool(self.scenario.events_lost) {
                events.push(CacheEvent { seq, change });
            }
        }
        events
    }

    /// Random numbers for lost cache events, separate from those of the arrivals, so that every rule
    /// gets the same arrivals.
    fn event_loss_rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.scenario.seed ^ self.cache_seqs.iter().sum::<u64>())
    }

    fn apply_report(&mut self, endpoint: usize, load: &LoadReport, events: &[CacheEvent]) {
        if self.engines[endpoint].fault == Some(Fault::Down) {
            return;
        }
        for router in &mut self.routers {
            router.report(self.now, endpoint, load);
            for event in events {
                router.apply_cache_event(self.now, endpoint, event);
            }
        }
    }

    fn fault(&mut self, index: usize, begins: bool) {
        let fault = self.scenario.faults[index];
        for nth in 0..fault.count {
            let endpoint = fault.first + nth * fault.step;
            self.engines[endpoint].fault = begins.then_some(fault.fault);
            if fault.fault == Fault::Down {
                self.lose_runs(endpoint);
                let leaving = begins;
                self.schedule(
                    self.now + LIST_LAG,
                    Event::UpdateListing { endpoint, leaving },
                );
            } else if begins && fault.fault == Fault::FailsFast {
                self.lose_runs(endpoint);
            }
        }
    }

    fn lose_runs(&mut self, endpoint: usize) {
        self.incarnations[endpoint] += 1;
        for index in self.engines[endpoint].lose_all() {
            self.failed(index);
        }
    }

    fn update_listing(&mut self, endpoint: usize, leaving: bool) {
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

    fn end_request(&mut self, index: usize, end: &RequestEnd) {
        self.open_requests -= 1;
        self.tally.ended(self.now, &self.requests[index], end);
    }
}

/// Maximum concurrent runs of an endpoint with at most 59 ms between tokens while it also
/// prefills: 15 + 15 + 0.8 * 36 ms. Refusals are judged as false by this capacity.
pub const MAX_GOOD_BATCH: usize = 36;
