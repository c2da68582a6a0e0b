//! The seeded randomised run: the real state machines of routers, sidecars and the ledger, with
//! fake engines, callers and lossy links in virtual time.
//!
//! Nothing here decides anything that the product decides. It moves messages, loses some, kills
//! and freezes what the seed says, and keeps the ground truth that bills and answers are
//! compared with.

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
use ledger::{LedgerNode, ToLedger};
use net::{Net, StreamId};
use routers::{FromLedger, RouterNode};
use sidecars::SidecarNode;
use truth::Truth;

/// Everything that can happen next.
#[derive(Debug)]
pub enum Happening {
    RouterTick(usize, Incarnation),
    Wake(usize, Incarnation, u64),
    ToRouter(usize, Incarnation, FromLedger),
    PeerClaim(usize, routers::PeerClaim),
    SidecarTick(usize, Incarnation),
    SidecarFenced(usize, Incarnation, BTreeMap<InstanceId, Incarnation>),
    EvidenceTaken(usize, Incarnation, Vec<(InstanceId, Incarnation)>),
    Engine(usize, Incarnation, u64, u64),
    Ready(usize, Incarnation, StreamId),
    StreamOut(StreamId, Box<anvil_wire::msg::SidecarRequest>),
    StreamBack(StreamId, Box<anvil_wire::msg::SidecarReply>),
    StreamGone(StreamId),
    StreamBroken(StreamId, bool),
    ToLedger(ToLedger),
    LedgerTick,
    Send(usize),
    CallerPatience(usize, u32),
    Fault(Fault),
}

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub routers: usize,
    pub sidecars: usize,
    pub callers: usize,
    /// Requests arrive over this time; faults too.
    pub busy: Duration,
    pub faults: usize,
    /// Tokens paid in for each budget at the start.
    pub credit: Tokens,
    /// Which guard is taken out, to see the proof fail.
    pub without: Option<&'static str>,
    /// Prints what happens to keys whose text holds this.
    pub trace: Option<String>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            routers: 4,
            sidecars: 4,
            callers: 400,
            busy: Duration::from_mins(2),
            faults: 24,
            credit: 60_000,
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
    queue: BTreeMap<(Now, u64), Happening>,
    pub steps: u64,
    pub net: Net,
    pub routers: Vec<RouterNode>,
    pub sidecars: Vec<SidecarNode>,
    pub ledger: LedgerNode,
    pub callers: Vec<Caller>,
    pub truth: Truth,
    pub counts: BTreeMap<&'static str, u64>,
}

/// Before the first request: long enough for holders to vouch for their keys.
const QUIET: Duration = Duration::from_secs(160);
/// How long the world goes on after the last fault, for everything to come to its end.
const SETTLE: Duration = Duration::from_mins(20);

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: Duration::from_secs(1),
            seq: 0,
            queue: BTreeMap::new(),
            steps: 0,
            net: Net::default(),
            routers: (0..plan.routers).map(RouterNode::new).collect(),
            sidecars: (0..plan.sidecars).map(SidecarNode::new).collect(),
            ledger: LedgerNode::new(plan.credit),
            callers: Vec::new(),
            truth: Truth::default(),
            counts: BTreeMap::new(),
            plan,
        };
        world.set_out();
        world
    }

    fn set_out(&mut self) {
        for slot in 0..self.routers.len() {
            self.join_router(slot);
        }
        for slot in 0..self.sidecars.len() {
            self.join_sidecar(slot);
        }
        self.at(Duration::from_secs(1), Happening::LedgerTick);
        for caller in 0..self.plan.callers {
            let made = Caller::draw(caller, &mut self.rng);
            self.callers.push(made);
            let when = QUIET + self.between(Duration::from_secs(1), self.plan.busy);
            self.at(when, Happening::Send(caller));
        }
        for _ in 0..self.plan.faults {
            let when = QUIET + self.between(Duration::from_secs(1), self.plan.busy);
            let fault = Fault::draw(&mut self.rng, self.plan.routers, self.plan.sidecars);
            self.at(when, Happening::Fault(fault));
        }
    }

    /// Runs to the end and checks what must hold at the end.
    pub fn run(mut self) -> Result<Self, String> {
        let end = QUIET + self.plan.busy + SETTLE;
        while let Some(((when, _), next)) = self.queue.pop_first() {
            if when > end {
                break;
            }
            self.now = when;
            self.steps += 1;
            self.happen(next);
            if let Some(broken) = self.broken() {
                return Err(self.tell(&broken));
            }
        }
        self.finish()?;
        Ok(self)
    }

    fn tell(&self, broken: &str) -> String {
        let (seed, steps, now) = (self.plan.seed, self.steps, self.now);
        format!("seed {seed}, step {steps}, at {now:?}: {broken}")
    }

    fn broken(&self) -> Option<String> {
        if let Some(e) = self.truth.violations.first() {
            return Some(e.clone());
        }
        if let Err(e) = self.ledger.state.invariants_held() {
            return Some(e.to_string());
        }
        let broken = self
            .routers
            .iter()
            .find_map(|r| r.account.invariant_violation());
        broken.map(|e| e.to_string())
    }

    fn finish(&mut self) -> Result<(), String> {
        self.write_off(Duration::ZERO);
        let checked = self.ledger.state.check_all().map_err(|e| e.to_string());
        let checked = checked.and_then(|()| {
            let billed = self.ledger.billed();
            self.truth.check(&self.callers, &billed)
        });
        let lost = self.truth.lost_with_sidecar.len() as u64;
        self.counts.insert(
            "billed again or not at all: answer lost with its sidecar",
            lost,
        );
        let doubts = self.truth.doubts_billed.len() as u64;
        self.counts
            .insert("billed for more than one try in doubt", doubts);
        checked.map_err(|e| self.tell(&e))
    }

    pub fn at(&mut self, when: Now, what: Happening) {
        self.seq += 1;
        self.queue.insert((when.max(self.now), self.seq), what);
    }

    pub fn after(&mut self, pause: Duration, what: Happening) {
        self.at(self.now + pause, what);
    }

    pub fn between(&mut self, low: Duration, high: Duration) -> Duration {
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
                let cut: String = line.chars().take(420).collect();
                println!("{:>10.3} {cut}", self.now.as_secs_f64());
            }
        }
    }

    pub fn without(&self, guard: &str) -> bool {
        self.plan.without == Some(guard)
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::RouterTick(slot, life) => self.router_tick(slot, life),
            Happening::Wake(slot, life, id) => self.router_wake(slot, life, id),
            Happening::ToRouter(slot, life, msg) => self.router_hears(slot, life, msg),
            Happening::PeerClaim(slot, claim) => self.peer_claim(slot, claim),
            Happening::SidecarTick(slot, life) => self.sidecar_tick(slot, life),
            Happening::SidecarFenced(slot, life, fenced) => {
                self.sidecar_fenced(slot, life, &fenced);
            }
            Happening::EvidenceTaken(slot, life, taken) => {
                self.evidence_taken(slot, life, &taken);
            }
            Happening::Engine(slot, life, run, epoch) => self.engine(slot, life, run, epoch),
            Happening::Ready(slot, life, reader) => self.reader_ready(slot, life, reader),
            Happening::StreamOut(id, req) => self.stream_out(id, *req),
            Happening::StreamBack(id, reply) => self.stream_back(id, *reply),
            Happening::StreamGone(id) => self.stream_gone(id),
            Happening::StreamBroken(id, never) => self.stream_broken(id, never),
            Happening::ToLedger(msg) => self.ledger_hears(msg),
            Happening::LedgerTick => self.ledger_tick(),
            Happening::Send(caller) => self.caller_sends(caller),
            Happening::CallerPatience(caller, attempt) => self.caller_leaves(caller, attempt),
            Happening::Fault(fault) => self.fault(&fault),
        }
    }

    /// Names of all nodes, for drawing partitions.
    pub fn nodes(&self) -> BTreeSet<String> {
        let routers = (0..self.routers.len()).map(|i| format!("r{i}"));
        let sidecars = (0..self.sidecars.len()).map(|i| format!("s{i}"));
        routers
            .chain(sidecars)
            .chain(["ledger".to_owned()])
            .collect()
    }
}
