//! A simulated router, which combines the decisions of `anvil_policy` as the real router does.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use anvil_policy::prelude::*;
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::request::Request;
use super::rule::{AdmissionKind, ChoiceRule, Component, Rule};
use super::scenario::PolicyScenario;

/// Maximum queue length of the first-in-first-out baseline.
const FIFO_CAPACITY: usize = 4_096;

/// Admission decision for a new request.
#[derive(Debug)]
pub enum Admission {
    /// It is dispatched now.
    Run,
    /// It waits in the queue.
    Wait,
    /// It is refused.
    Refuse(Refusal),
}

/// A simulated router.
#[derive(Debug)]
pub struct SimRouter {
    /// Its availability zone.
    pub zone: Zone,
    /// Its retry budget.
    pub retries: RetryBudget,
    /// Random numbers of its decisions.
    pub rng: ChaCha8Rng,
    rule: Rule,
    pool: Pool,
    gate: AdmissionGate,
    health: Health,
    prefix: PrefixIndex,
    estimate: Estimate,
    chooser: Chooser,
    waiters: BTreeMap<WaiterId, usize>,
    fifo: VecDeque<usize>,
    next_turn: usize,
}

impl SimRouter {
    /// A router with all endpoints of the scenario.
    pub fn new(index: usize, scenario: &PolicyScenario, rule: &Rule) -> Self {
        let slots = u32::try_from(scenario.slots).unwrap_or(u32::MAX);
        let state = |index| {
            Arc::new(EndpointState::new(
                endpoint_id(index),
                scenario.zone(index),
                slots,
            ))
        };
        let pool = Pool::new((0..scenario.endpoints).map(state).collect());
        let admission = AdmissionRule {
            max_wait: scenario.max_wait,
            ..AdmissionRule::default()
        };
        let zone = scenario.zone(index);
        let mut router = Self {
            retries: RetryBudget::default(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed.wrapping_mul(1_000) + index as u64),
            rule: rule.clone(),
            gate: AdmissionGate::new(admission).with_limit(pool.headroom()),
            health: Health::new(health_rule(scenario, rule)),
            prefix: PrefixIndex::default(),
            estimate: Estimate::default(),
            chooser: Chooser::default().with_zone(zone.clone()),
            waiters: BTreeMap::new(),
            fifo: VecDeque::new(),
            next_turn: index,
            zone,
            pool,
        };
        router.health.tick(Duration::ZERO, &router.pool);
        router
    }

    /// This router's state of an endpoint.
    pub fn endpoint(&self, index: usize) -> &Arc<EndpointState> {
        &self.pool.endpoints()[index]
    }

    /// Number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.gate.waiting() + self.fifo.len()
    }

    /// Decides on the admission of a new request.
    pub fn admit(&mut self, now: Now, index: usize, req: &Request) -> Admission {
        self.retries.record_first_attempt(now);
        match self.rule.admission {
            AdmissionKind::NoLimit => Admission::Run,
            AdmissionKind::Fifo => self.admit_fifo(index),
            AdmissionKind::Ours => self.admit_through_gate(now, index, req),
        }
    }

    fn admit_fifo(&mut self, index: usize) -> Admission {
        if self.fifo.is_empty() && self.pool.headroom() > 0 {
            return Admission::Run;
        }
        if self.fifo.len() >= FIFO_CAPACITY {
            return Admission::Refuse(Refusal::new(Reason::Overloaded));
        }
        self.fifo.push_back(index);
        Admission::Wait
    }

    fn admit_through_gate(&mut self, now: Now, index: usize, req: &Request) -> Admission {
        let ticket = Ticket {
            organisation: req.organisation.clone(),
            route: None,
            weight: 1,
            class: req.class,
            prompt: req.prompt,
            service: self.estimate.service_time(req.prompt, req.output_bound),
            deadline: req.deadline,
            priority: None,
        };
        match self.gate.offer(now, ticket) {
            AdmissionDecision::Run => Admission::Run,
            AdmissionDecision::Refuse(refusal) => Admission::Refuse(refusal),
            AdmissionDecision::Wait(id) => {
                self.waiters.insert(id, index);
                Admission::Wait
            }
        }
    }

    /// Takes the next queued request that may run; its waiter is needed to requeue it.
    pub fn next(&mut self, now: Now) -> Option<(usize, Option<Waiter>)> {
        if self.rule.admission == AdmissionKind::Fifo {
            let free = self.pool.headroom() > 0;
            return free
                .then(|| self.fifo.pop_front())
                .flatten()
                .map(|index| (index, None));
        }
        let waiter = self.gate.next(now)?;
        let index = self.waiters.remove(&waiter.id)?;
        Some((index, Some(waiter)))
    }

    /// Requeues a request that found every endpoint full.
    pub fn requeue(&mut self, now: Now, index: usize, waiter: Option<Waiter>, req: &Request) {
        if self.rule.admission == AdmissionKind::Fifo {
            self.fifo.push_front(index);
            return;
        }
        let waiter = waiter.unwrap_or_else(|| self.as_waiter(now, req));
        let id = self.gate.requeue(now, &waiter);
        self.waiters.insert(id, index);
    }

    fn as_waiter(&self, now: Now, req: &Request) -> Waiter {
        let service = self.estimate.service_time(req.prompt, req.output_bound);
        Waiter {
            id: 0,
            arrived: now,
            start_by: req.deadline.saturating_sub(service).max(now),
            ticket: Ticket {
                organisation: req.organisation.clone(),
                route: None,
                weight: 1,
                class: req.class,
                prompt: req.prompt,
                service,
                deadline: req.deadline,
                priority: None,
            },
        }
    }

    /// Takes a queued request that can no longer be started in time.
    pub fn expired(&mut self, now: Now) -> Option<usize> {
        let (waiter, _) = self.gate.expired(now)?;
        self.waiters.remove(&waiter.id)
    }

    /// Chooses the endpoint for a request; `None` when all are full.
    pub fn choose(&mut self, now: Now, req: &Request) -> Option<usize> {
        let chosen = match self.rule.choice {
            ChoiceRule::Ours => self.choose_ours(now, req),
            ChoiceRule::RoundRobin => self.round_robin(),
            ChoiceRule::LeastReported => self.least_loaded(EndpointState::reported),
            ChoiceRule::Random => {
                let accepting_endpoints = self.accepting_endpoints();
                (!accepting_endpoints.is_empty()).then(|| {
                    accepting_endpoints[self.rng.random_range(0..accepting_endpoints.len())]
                })
            }
        }?;
        self.endpoint(chosen).start();
        let id = self.endpoint(chosen).id.clone();
        self.prefix.record_sent(now, &id, &[req.prefix]);
        Some(chosen)
    }

    fn choose_ours(&mut self, now: Now, req: &Request) -> Option<usize> {
        let mut cached = Vec::new();
        if self.rule.without != Some(Component::Prefix) {
            let holders = self.prefix.holders(now, &[req.prefix]).into_iter();
            cached.extend(holders.map(|(id, _)| (id, req.prefix_tokens)));
        }
        let request = ChoiceRequest {
            prompt: req.prompt,
            cached: &cached,
            avoid: &req.avoid,
        };
        match self.chooser.choose(&self.pool, &request, &mut self.rng) {
            Choice::Endpoint(endpoint) => endpoint_at(&endpoint.id),
            Choice::Full if self.rule.admission == AdmissionKind::NoLimit => {
                self.least_loaded(EndpointState::estimated_load)
            }
            Choice::Full | Choice::Unserved => None,
        }
    }

    fn accepting_endpoints(&self) -> Vec<usize> {
        let all = self.pool.endpoints().iter().enumerate();
        let accepting_endpoints = all.filter(|(_, endpoint)| !endpoint.is_leaving());
        accepting_endpoints.map(|(index, _)| index).collect()
    }

    fn round_robin(&mut self) -> Option<usize> {
        let accepting_endpoints = self.accepting_endpoints();
        self.next_turn += 1;
        (!accepting_endpoints.is_empty())
            .then(|| accepting_endpoints[self.next_turn % accepting_endpoints.len()])
    }

    fn least_loaded(&self, load: impl Fn(&EndpointState) -> u32) -> Option<usize> {
        let accepting_endpoints = self.accepting_endpoints().into_iter();
        accepting_endpoints.min_by_key(|index| load(self.endpoint(*index)))
    }

    /// Records the end of an attempt; `finished_request` is `None` when the endpoint failed.
    pub fn ended(&mut self, now: Now, endpoint: usize, finished_request: Option<FinishedRequest>) {
        let state = Arc::clone(self.endpoint(endpoint));
        state.finish();
        let Some(finished) = finished_request else {
            self.health.observe(now, &state, &AttemptResult::Failed);
            return;
        };
        let latency = observed_latency(&self.estimate, &finished);
        let ended = AttemptResult::Answered(latency);
        self.health.observe(now, &state, &ended);
        self.estimate.learn(&finished);
    }

    /// Releases the request's place at admission.
    pub fn finished(&mut self) {
        self.gate.finished();
    }

    /// Updates the admission limit from the endpoints' headroom.
    pub fn tick(&mut self) {
        let limit = self.gate.running().saturating_add(self.pool.headroom());
        self.gate.set_limit(limit);
    }

    /// Evaluates the health of all endpoints.
    pub fn evaluate_health(&mut self, now: Now) {
        self.health.tick(now, &self.pool);
    }

    /// Applies a load report.
    pub fn report(&mut self, now: Now, endpoint: usize, load: &LoadReport) {
        let state = &self.pool.endpoints()[endpoint];
        self.health.report(now, state, load);
    }

    /// Applies a cache event.
    pub fn apply_cache_event(&mut self, now: Now, endpoint: usize, event: &CacheEvent) {
        let id = self.endpoint(endpoint).id.clone();
        self.prefix.apply_event(now, &id, event);
    }
}

fn health_rule(scenario: &PolicyScenario, rule: &Rule) -> HealthRule {
    let mut health = HealthRule {
        reports_lag: !scenario.report_lag.is_zero(),
        routers: u32::try_from(scenario.routers).unwrap_or(u32::MAX),
        ..HealthRule::default()
    };
    match rule.without {
        Some(Component::Limit) => {
            health.limit.min_kept = 1.0;
            health.limit.initial_part = 1.0;
            health.limit.max_token_gap = Duration::MAX;
        }
        Some(Component::Ejection) => health.ejection.max_ejected = 0.0,
        Some(Component::LimitStart) => health.limit.initial_part = 1.0,
        Some(Component::Prefix) | None => {}
    }
    health
}

/// Latency that a finished attempt shows of its endpoint, without the expected prefill of its own
/// prompt.
fn observed_latency(estimate: &Estimate, finished: &FinishedRequest) -> Latency {
    let prefill = estimate.prefill_time(finished.prompt);
    let rest = finished.total.saturating_sub(finished.first_token);
    let gaps = u32::try_from(finished.output.saturating_sub(1)).unwrap_or(u32::MAX);
    Latency {
        first_token: finished.first_token.saturating_sub(prefill),
        token_gap: rest.checked_div(gaps).unwrap_or_default(),
    }
}

fn endpoint_id(index: usize) -> InstanceId {
    format!("{index}").into()
}

fn endpoint_at(id: &str) -> Option<usize> {
    id.parse().ok()
}
