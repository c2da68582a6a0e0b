//! One router of the experiment: the decisions of `anvil_policy`, joined as a router joins them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use anvil_policy::prelude::*;
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::request::Request;
use super::rule::{ChoiceRule, EntryRule, Part, Rule};
use super::scenario::PolicyScenario;

/// Most requests that wait in the first-in-first-out baseline.
const FIFO_LENGTH: usize = 4_096;

/// What becomes of a newcomer.
#[derive(Debug)]
pub enum Entry {
    /// To be dispatched now.
    Go,
    /// It waits.
    Wait,
    /// Turned away.
    Refuse(Refusal),
}

/// One router.
#[derive(Debug)]
pub struct SimRouter {
    /// Where it stands.
    pub zone: Zone,
    /// Its retry budget.
    pub retries: RetryBudget,
    /// Its random numbers.
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
    turn: usize,
}

impl SimRouter {
    /// A router that knows all endpoints.
    pub fn new(at: usize, scenario: &PolicyScenario, rule: &Rule) -> Self {
        let slots = u32::try_from(scenario.slots).unwrap_or(u32::MAX);
        let state = |at| {
            Arc::new(EndpointState::new(
                endpoint_id(at),
                scenario.zone(at),
                slots,
            ))
        };
        let pool = Pool::new((0..scenario.endpoints).map(state).collect());
        let admission = AdmissionRule {
            max_wait: scenario.longest_wait,
            ..AdmissionRule::default()
        };
        let zone = scenario.zone(at);
        let mut router = Self {
            retries: RetryBudget::default(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed.wrapping_mul(1_000) + at as u64),
            rule: rule.clone(),
            gate: AdmissionGate::new(admission).with_limit(pool.headroom()),
            health: Health::new(health_rule(scenario, rule)),
            prefix: PrefixIndex::default(),
            estimate: Estimate::default(),
            chooser: Chooser::default().with_zone(zone.clone()),
            waiters: BTreeMap::new(),
            fifo: VecDeque::new(),
            turn: at,
            zone,
            pool,
        };
        router.health.tick(Duration::ZERO, &router.pool);
        router
    }

    /// One endpoint as this router sees it.
    pub fn endpoint(&self, at: usize) -> &Arc<EndpointState> {
        &self.pool.endpoints()[at]
    }

    /// Requests that wait here.
    pub fn waiting(&self) -> usize {
        self.gate.waiting() + self.fifo.len()
    }

    /// Decides on a newcomer.
    pub fn offer(&mut self, now: Now, at: usize, req: &Request) -> Entry {
        self.retries.record_first_attempt(now);
        match self.rule.entry {
            EntryRule::NoLimit => Entry::Go,
            EntryRule::Fifo => self.offer_fifo(at),
            EntryRule::Ours => self.offer_gate(now, at, req),
        }
    }

    fn offer_fifo(&mut self, at: usize) -> Entry {
        if self.fifo.is_empty() && self.pool.headroom() > 0 {
            return Entry::Go;
        }
        if self.fifo.len() >= FIFO_LENGTH {
            return Entry::Refuse(Refusal::new(Reason::Overloaded));
        }
        self.fifo.push_back(at);
        Entry::Wait
    }

    fn offer_gate(&mut self, now: Now, at: usize, req: &Request) -> Entry {
        let ticket = Ticket {
            organisation: req.organisation.clone(),
            weight: 1,
            class: req.class,
            prompt: req.prompt,
            service: self.estimate.service_time(req.prompt, req.output_bound),
            deadline: req.deadline,
        };
        match self.gate.offer(now, ticket) {
            AdmissionDecision::Run => Entry::Go,
            AdmissionDecision::Refuse(refusal) => Entry::Refuse(refusal),
            AdmissionDecision::Wait(id) => {
                self.waiters.insert(id, at);
                Entry::Wait
            }
        }
    }

    /// The next waiting request that may go, with its place to go back to.
    pub fn next(&mut self, now: Now) -> Option<(usize, Option<Waiter>)> {
        if self.rule.entry == EntryRule::Fifo {
            let free = self.pool.headroom() > 0;
            return free
                .then(|| self.fifo.pop_front())
                .flatten()
                .map(|at| (at, None));
        }
        let waiter = self.gate.next(now)?;
        let at = self.waiters.remove(&waiter.id)?;
        Some((at, Some(waiter)))
    }

    /// Puts back a request that found every endpoint full.
    pub fn put_back(&mut self, now: Now, at: usize, waiter: Option<Waiter>, req: &Request) {
        if self.rule.entry == EntryRule::Fifo {
            self.fifo.push_front(at);
            return;
        }
        let waiter = waiter.unwrap_or_else(|| self.as_waiter(now, req));
        let id = self.gate.requeue(now, &waiter);
        self.waiters.insert(id, at);
    }

    fn as_waiter(&self, now: Now, req: &Request) -> Waiter {
        let service = self.estimate.service_time(req.prompt, req.output_bound);
        Waiter {
            id: 0,
            arrived: now,
            start_by: req.deadline.saturating_sub(service).max(now),
            ticket: Ticket {
                organisation: req.organisation.clone(),
                weight: 1,
                class: req.class,
                prompt: req.prompt,
                service,
                deadline: req.deadline,
            },
        }
    }

    /// A request that was let in and is given up on now.
    pub fn expired(&mut self, now: Now) -> Option<usize> {
        let (waiter, _) = self.gate.expired(now)?;
        self.waiters.remove(&waiter.id)
    }

    /// Where a request goes; nothing when all are full.
    pub fn choose(&mut self, now: Now, req: &Request) -> Option<usize> {
        let chosen = match self.rule.choice {
            ChoiceRule::Ours => self.choose_ours(now, req),
            ChoiceRule::RoundRobin => self.one_after_the_other(),
            ChoiceRule::LeastReported => self.by_least(EndpointState::reported),
            ChoiceRule::Random => {
                let open = self.open();
                (!open.is_empty()).then(|| open[self.rng.random_range(0..open.len())])
            }
        }?;
        self.endpoint(chosen).start();
        let id = self.endpoint(chosen).id.clone();
        self.prefix.record_sent(now, &id, &[req.prefix]);
        Some(chosen)
    }

    fn choose_ours(&mut self, now: Now, req: &Request) -> Option<usize> {
        let mut cached = Vec::new();
        if self.rule.without != Some(Part::Prefix) {
            let holders = self.prefix.holders(now, &[req.prefix]).into_iter();
            cached.extend(holders.map(|(id, _)| (id, req.prefix_tokens)));
        }
        let ask = ChoiceRequest {
            prompt: req.prompt,
            cached: &cached,
            avoid: &req.avoid,
        };
        match self.chooser.choose(&self.pool, &ask, &mut self.rng) {
            Choice::Endpoint(endpoint) => endpoint_at(&endpoint.id),
            Choice::Full if self.rule.entry == EntryRule::NoLimit => {
                self.by_least(EndpointState::estimated_load)
            }
            Choice::Full | Choice::Unserved => None,
        }
    }

    fn open(&self) -> Vec<usize> {
        let all = self.pool.endpoints().iter().enumerate();
        let open = all.filter(|(_, endpoint)| !endpoint.is_leaving());
        open.map(|(at, _)| at).collect()
    }

    fn one_after_the_other(&mut self) -> Option<usize> {
        let open = self.open();
        self.turn += 1;
        (!open.is_empty()).then(|| open[self.turn % open.len()])
    }

    fn by_least(&self, load: impl Fn(&EndpointState) -> u32) -> Option<usize> {
        let open = self.open().into_iter();
        open.min_by_key(|at| load(self.endpoint(*at)))
    }

    /// A try has ended; `answered` is nothing when the endpoint failed.
    pub fn ended(&mut self, now: Now, endpoint: usize, answered: Option<FinishedRequest>) {
        let state = Arc::clone(self.endpoint(endpoint));
        state.finish();
        let Some(finished) = answered else {
            self.health.observe(now, &state, &AttemptResult::Failed);
            return;
        };
        let latency = latency_of(&self.estimate, &finished);
        let ended = AttemptResult::Answered(latency);
        self.health.observe(now, &state, &ended);
        self.estimate.learn(&finished);
    }

    /// A request no longer holds its place.
    pub fn finished(&mut self) {
        self.gate.finished();
    }

    /// Looks at room; often.
    pub fn tick(&mut self) {
        let limit = self.gate.running().saturating_add(self.pool.headroom());
        self.gate.set_limit(limit);
    }

    /// Judges endpoints; once a second.
    pub fn judge(&mut self, now: Now) {
        self.health.tick(now, &self.pool);
    }

    /// Takes in a report.
    pub fn report(&mut self, now: Now, endpoint: usize, load: &LoadReport) {
        let state = &self.pool.endpoints()[endpoint];
        self.health.report(now, state, load);
    }

    /// Takes in a cache event.
    pub fn heard(&mut self, now: Now, endpoint: usize, event: &CacheEvent) {
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
        Some(Part::Limit) => {
            health.limit.min_kept = 1.0;
            health.limit.initial_part = 1.0;
            health.limit.max_token_gap = Duration::MAX;
        }
        Some(Part::Ejection) => health.ejection.max_ejected = 0.0,
        Some(Part::LimitStart) => health.limit.initial_part = 1.0,
        Some(Part::Prefix) | None => {}
    }
    health
}

/// What a finished try says of its endpoint: its prompt's own prefill is not its fault.
fn latency_of(estimate: &Estimate, finished: &FinishedRequest) -> Latency {
    let prefill = estimate.prefill_time(finished.prompt);
    let rest = finished.total.saturating_sub(finished.first_token);
    let gaps = u32::try_from(finished.output.saturating_sub(1)).unwrap_or(u32::MAX);
    Latency {
        first_token: finished.first_token.saturating_sub(prefill),
        token_gap: rest.checked_div(gaps).unwrap_or_default(),
    }
}

fn endpoint_id(at: usize) -> InstanceId {
    format!("{at}").into()
}

fn endpoint_at(id: &str) -> Option<usize> {
    id.parse().ok()
}
