//! Seeded randomised simulation: the real state machines of routers, sidecars and the ledger, with
//! simulated engines, callers and lossy links in virtual time.
//!
//! The simulation takes none of the decisions under test. It delivers, delays and loses messages, kills
//! and freezes processes as the seed determines, and keeps the ground truth with which charges and
//! responses are compared. The same seed always gives the same run, so the order of the random draws
//! must not change.

#![allow(dead_code, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[path = "callers.rs"]
pub mod callers;
#[path = "faults.rs"]
pub mod faults;
#[path = "ledger.rs"]
pub mod ledger;
#[path = "net.rs"]
pub mod net;
#[path = "routers.rs"]
pub mod routers;
#[path = "sidecars.rs"]
pub mod sidecars;
#[path = "truth.rs"]
pub mod truth;

use callers::Caller;
use faults::Fault;
use ledger::{LedgerMessage, SimulatedLedger};
use net::{Net, StreamId};
use routers::{RouterMessage, SimulatedRouter};
use sidecars::SimulatedSidecar;
use truth::GroundTruth;

/// A scheduled event of the simulation.
///
/// Routers, sidecars and callers are named by their index (slot). An event for an incarnation that is over
/// is ignored; ticks of the next incarnation start it.
#[derive(Debug)]
pub enum SimEvent {
    RouterTick(usize, Incarnation),
    ExchangeTimer(usize, Incarnation, u64),
    RouterMessage(usize, Incarnation, RouterMessage),
    ClaimMessage(usize, routers::ClaimMessage),
    SidecarTick(usize, Incarnation),
    FencedRouters(usize, Incarnation, BTreeMap<InstanceId, Incarnation>),
    EvidenceAccepted(usize, Incarnation, Vec<(InstanceId, Incarnation)>),
    EngineTick(usize, Incarnation, u64, u64),
    ReaderReady(usize, Incarnation, StreamId),
    StreamRequest(StreamId, Box<anvil_wire::msg::SidecarRequest>),
    StreamReply(StreamId, Box<anvil_wire::msg::SidecarReply>),
    StreamClosed(StreamId),
    StreamBroken(StreamId, bool),
    LedgerMessage(LedgerMessage),
    LedgerTick,
    CallerSends(usize),
    CallerTimeout(usize, u32),
    Fault(Fault),
}

/// Parameters of one run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub routers: usize,
    pub sidecars: usize,
    pub callers: usize,
    /// Period in which requests arrive and faults begin.
    pub traffic_time: Duration,
    pub faults: usize,
    /// Tokens credited to each budget at the start.
    pub initial_credit: Tokens,
    /// Guard that is disabled, to check that the simulation notices its absence.
    pub without: Option<&'static str>,
    /// Prints the trace lines that contain this text.
    pub trace: Option<String>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            routers: 4,
            sidecars: 4,
            callers: 400,
            traffic_time: Duration::from_mins(2),
            faults: 24,
            initial_credit: 60_000,
            without: None,
            trace: None,
        }
    }
}

pub struct World {
    pub plan: Plan,
    pub rng: ChaCha8Rng,
    pub now: Now,
    seq: u64,
    queue: BTreeMap<(Now, u64), SimEvent>,
    pub steps: u64,
    pub net: Net,
    pub routers: Vec<SimulatedRouter>,
    pub sidecars: Vec<SimulatedSidecar>,
    pub ledger: SimulatedLedger,
    pub callers: Vec<Caller>,
    pub truth: GroundTruth,
    pub counts: BTreeMap<&'static str, u64>,
}

/// Time before the first request: long enough for routers to confirm claims on the keys they hold.
const WARM_UP: Duration = Duration::from_secs(160);
/// Time after the last fault in which everything in flight has to end.
const SETTLE_TIME: Duration = Duration::from_mins(20);

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: Duration::from_secs(1),
            seq: 0,
            queue: BTreeMap::new(),
            steps: 0,
            net: Net::default(),
            routers: (0..plan.routers).map(SimulatedRouter::new).collect(),
            sidecars: (0..plan.sidecars).map(SimulatedSidecar::new).collect(),
            ledger: SimulatedLedger::new(plan.initial_credit),
            callers: Vec::new(),
            truth: GroundTruth::default(),
            counts: BTreeMap::new(),
            plan,
        };
        world.schedule_start();
        world
    }

    fn schedule_start(&mut self) {
        for slot in 0..self.routers.len() {
            self.join_router(slot);
        }
        for slot in 0..self.sidecars.len() {
            self.join_sidecar(slot);
        }
        self.schedule_at(Duration::from_secs(1), SimEvent::LedgerTick);
        for caller in 0..self.plan.callers {
            let drawn = Caller::draw(caller, &mut self.rng);
            self.callers.push(drawn);
            let when =
                WARM_UP + self.random_duration(Duration::from_secs(1), self.plan.traffic_time);
            self.schedule_at(when, SimEvent::CallerSends(caller));
        }
        for _ in 0..self.plan.faults {
            let when =
                WARM_UP + self.random_duration(Duration::from_secs(1), self.plan.traffic_time);
            let fault = Fault::draw(&mut self.rng, self.plan.routers, self.plan.sidecars);
            self.schedule_at(when, SimEvent::Fault(fault));
        }
    }

    /// Runs to the end. Checks the invariants after each event, and the final state at the end.
    pub fn run(mut self) -> Result<Self, String> {
        let end = WARM_UP + self.plan.traffic_time + SETTLE_TIME;
        while let Some(((when, _), next)) = self.queue.pop_first() {
            if when > end {
                break;
            }
            self.now = when;
            self.steps += 1;
            self.process_event(next);
            if let Some(violation) = self.first_violation() {
                return Err(self.describe_failure(&violation));
            }
        }
        self.check_end()?;
        Ok(self)
    }

    fn describe_failure(&self, violation: &str) -> String {
        let (seed, steps, now) = (self.plan.seed, self.steps, self.now);
        format!("seed {seed}, step {steps}, at {now:?}: {violation}")
    }

    fn first_violation(&self) -> Option<String> {
        if let Some(e) = self.truth.violations.first() {
            return Some(e.clone());
        }
        if let Err(e) = self.ledger.state.invariants_held() {
            return Some(e.to_string());
        }
        let violation = self
            .routers
            .iter()
            .find_map(|r| r.account.invariant_violation());
        violation.map(|e| e.to_string())
    }

    fn check_end(&mut self) -> Result<(), String> {
        self.write_off(Duration::ZERO);
        let checked = self.ledger.state.check_all().map_err(|e| e.to_string());
        let checked = checked.and_then(|()| {
            let totals = self.ledger.budget_totals();
            self.truth.check(&self.callers, &totals)
        });
        let lost = self.truth.lost_with_sidecar.len() as u64;
        self.counts.insert(
            "charged again or not at all: answer lost with its sidecar",
            lost,
        );
        let in_doubt = self.truth.charged_in_doubt.len() as u64;
        self.counts
            .insert("charged for more than one attempt in doubt", in_doubt);
        checked.map_err(|e| self.describe_failure(&e))
    }

    pub fn schedule_at(&mut self, when: Now, event: SimEvent) {
        self.seq += 1;
        self.queue.insert((when.max(self.now), self.seq), event);
    }

    pub fn schedule_after(&mut self, pause: Duration, event: SimEvent) {
        self.schedule_at(self.now + pause, event);
    }

    pub fn random_duration(&mut self, low: Duration, high: Duration) -> Duration {
        let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(micros(low)..micros(high)))
    }

    pub fn chance(&mut self, percent: f64) -> bool {
        self.rng.random_range(0.0..100.0) < percent
    }

    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    pub fn trace(&self, line: impl FnOnce() -> String) {
        if let Some(text) = &self.plan.trace {
            let line = line();
            if line.contains(text.as_str()) {
                let shortened: String = line.chars().take(420).collect();
                println!("{:>10.3} {shortened}", self.now.as_secs_f64());
            }
        }
    }

    pub fn is_disabled(&self, guard: &str) -> bool {
        self.plan.without == Some(guard)
    }

    fn process_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::RouterTick(slot, incarnation) => self.router_tick(slot, incarnation),
            SimEvent::ExchangeTimer(slot, incarnation, id) => {
                self.exchange_timer(slot, incarnation, id);
            }
            SimEvent::RouterMessage(slot, incarnation, msg) => {
                self.handle_router_message(slot, incarnation, msg);
            }
            SimEvent::ClaimMessage(slot, claim) => self.handle_peer_claim(slot, claim),
            SimEvent::SidecarTick(slot, incarnation) => self.sidecar_tick(slot, incarnation),
            SimEvent::FencedRouters(slot, incarnation, fenced) => {
                self.sidecar_fenced(slot, incarnation, &fenced);
            }
            SimEvent::EvidenceAccepted(slot, incarnation, accepted) => {
                self.evidence_accepted(slot, incarnation, &accepted);
            }
            SimEvent::EngineTick(slot, incarnation, run, epoch) => {
                self.engine_tick(slot, incarnation, run, epoch);
            }
            SimEvent::ReaderReady(slot, incarnation, reader) => {
                self.reader_ready(slot, incarnation, reader);
            }
            SimEvent::StreamRequest(id, req) => self.deliver_request(id, *req),
            SimEvent::StreamReply(id, reply) => self.deliver_reply(id, *reply),
            SimEvent::StreamClosed(id) => self.close_stream(id),
            SimEvent::StreamBroken(id, never_sent) => self.break_stream(id, never_sent),
            SimEvent::LedgerMessage(msg) => self.handle_ledger_message(msg),
            SimEvent::LedgerTick => self.ledger_tick(),
            SimEvent::CallerSends(caller) => self.caller_sends(caller),
            SimEvent::CallerTimeout(caller, attempt) => self.caller_times_out(caller, attempt),
            SimEvent::Fault(fault) => self.inject(&fault),
        }
    }

    /// Names of all routers and sidecars and of the ledger, for drawing partitions.
    pub fn process_names(&self) -> BTreeSet<String> {
        let routers = (0..self.routers.len()).map(|i| format!("r{i}"));
        let sidecars = (0..self.sidecars.len()).map(|i| format!("s{i}"));
        routers
            .chain(sidecars)
            .chain(["ledger".to_owned()])
            .collect()
    }
}
