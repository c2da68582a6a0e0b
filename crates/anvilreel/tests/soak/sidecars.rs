//! Simulated sidecars around the real run state machine, each with a simulated engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{Frame, ResponseHead, SidecarReply, SidecarRequest, StartRequest, Work};
use anvil_world::prelude::*;
use anvilreel::runs::{Action, EndpointCommand, EndpointEvent, Event, Runs, RunsConfig};
use bytes::Bytes;

use super::callers::{TOKEN_BYTES, token};
use super::ledger::{LedgerMessage, LedgerRequest};
use super::net::StreamId;
use super::routers::{addr, zone};
use super::{SimEvent, World};

/// One run in the simulated engine.
struct EngineRun {
    start: Arc<StartRequest>,
    prompt: Tokens,
    /// Tokens of the whole answer produced so far, including the prefix.
    tokens_made: u64,
    total_tokens: u64,
    paused: bool,
    /// Number of the current stream of the run; events of earlier streams are ignored.
    epoch: u64,
}

pub struct SimulatedSidecar {
    pub slot: usize,
    pub incarnation: Incarnation,
    pub alive: bool,
    pub runs: Runs,
    engine: BTreeMap<u64, EngineRun>,
    pub inject_foreign_frame: bool,
    last_heartbeat: Now,
}

impl SimulatedSidecar {
    pub fn new(slot: usize) -> Self {
        Self {
            slot,
            incarnation: 0,
            alive: false,
            runs: runs(0),
            engine: BTreeMap::new(),
            inject_foreign_frame: false,
            last_heartbeat: Now::ZERO,
        }
    }

    fn instance(&self) -> Instance {
        Instance {
            id: format!("s{}", self.slot).into(),
            incarnation: self.incarnation,
            role: Role::Sidecar,
            zone: zone(self.slot),
            addr: addr(),
            endpoint: None,
        }
    }
}

fn runs(incarnation: Incarnation) -> Runs {
    Runs::new(RunsConfig {
        incarnation,
        // Small, so that slow readers are dropped, answers are trimmed, and engines are paused.
        buffer_bytes: 16_000,
        once_retention: Duration::from_hours(25),
    })
}

impl World {
    pub fn join_sidecar(&mut self, slot: usize) {
        let incarnation = self.sidecars[slot].incarnation + 1;
        self.sidecars[slot] = SimulatedSidecar::new(slot);
        self.sidecars[slot].incarnation = incarnation;
        self.sidecars[slot].alive = true;
        self.sidecars[slot].runs = runs(incarnation);
        let now = self.now;
        self.schedule_at(now, SimEvent::SidecarTick(slot, incarnation));
    }

    pub fn kill_sidecar(&mut self, slot: usize) {
        if !self.sidecars[slot].alive {
            return;
        }
        self.count("sidecars killed");
        let sidecar = &mut self.sidecars[slot];
        sidecar.alive = false;
        let incarnation = sidecar.incarnation;
        self.truth.lost_incarnations.insert((slot, incarnation));
        self.reset_streams(|stream| {
            stream.sidecar == slot && stream.sidecar_incarnation == Some(incarnation)
        });
        let pause = self.random_duration(Duration::from_millis(500), Duration::from_secs(15));
        self.schedule_after(pause, SimEvent::SidecarTick(slot, incarnation + 1));
    }

    /// The ledger reports that it declared this incarnation lost while it was partitioned.
    pub fn sidecar_declared_lost(&mut self, slot: usize, incarnation: Incarnation) {
        if self.sidecars[slot].incarnation == incarnation {
            self.count("sidecars declared lost while alive");
            self.kill_sidecar(slot);
        }
    }

    pub fn drain_sidecar(&mut self, slot: usize) {
        if self.sidecars[slot].alive {
            self.count("endpoints left");
            self.feed_runs(slot, Event::Leaving);
        }
    }

    pub fn sidecar_tick(&mut self, slot: usize, incarnation: Incarnation) {
        if self.sidecars[slot].incarnation + 1 == incarnation && !self.sidecars[slot].alive {
            return self.join_sidecar(slot);
        }
        if self.sidecars[slot].incarnation != incarnation || !self.sidecars[slot].alive {
            return;
        }
        self.schedule_after(
            Duration::from_millis(500),
            SimEvent::SidecarTick(slot, incarnation),
        );
        self.feed_runs(slot, Event::Tick);
        if self.sidecars[slot].runs.is_leaving() && self.chance(5.0) {
            self.feed_runs(slot, Event::NoLongerLeaving);
        }
        let now = self.now;
        if now < self.sidecars[slot].last_heartbeat + Duration::from_secs(1) {
            return;
        }
        self.sidecars[slot].last_heartbeat = now;
        let evidence = self.sidecars[slot].runs.evidence();
        let instance = Box::new(self.sidecars[slot].instance());
        self.send_to_ledger(LedgerMessage {
            from: format!("s{slot}"),
            slot,
            incarnation,
            body: LedgerRequest::Heartbeat(instance, evidence),
        });
    }

    pub fn sidecar_fenced(
        &mut self,
        slot: usize,
        incarnation: Incarnation,
        fenced: &BTreeMap<InstanceId, Incarnation>,
    ) {
        if self.sidecars[slot].incarnation != incarnation {
            return;
        }
        for (router, incarnation) in fenced {
            let event = Event::Fenced {
                router: router.clone(),
                incarnation: *incarnation,
            };
            self.feed_runs(slot, event);
        }
    }

    pub fn evidence_accepted(
        &mut self,
        slot: usize,
        incarnation: Incarnation,
        accepted: &[(InstanceId, Incarnation)],
    ) {
        if self.sidecars[slot].incarnation != incarnation {
            return;
        }
        for (router, incarnation) in accepted {
            self.sidecars[slot]
                .runs
                .acknowledge_evidence(router, *incarnation);
        }
    }

    pub fn handle_sidecar_request(&mut self, slot: usize, reader: StreamId, req: SidecarRequest) {
        let Some(event) = Event::from_request(reader, req) else {
            return;
        };
        self.feed_runs(slot, event);
    }

    pub fn reader_ready(&mut self, slot: usize, incarnation: Incarnation, reader: StreamId) {
        if self.sidecars[slot].incarnation == incarnation {
            self.feed_runs(slot, Event::ReaderReady { reader });
        }
    }

    pub fn reader_gone(&mut self, slot: usize, incarnation: Incarnation, reader: StreamId) {
        if self.sidecars[slot].incarnation == incarnation {
            self.feed_runs(slot, Event::ReaderGone { reader });
        }
    }

    fn feed_runs(&mut self, slot: usize, event: Event) {
        let starter = match &event {
            Event::Start { reader, .. } => self.net.streams.get(reader).cloned(),
            _ => None,
        };
        self.trace(|| format!("s{slot} <- {event:?}"));
        let actions = self.sidecars[slot].runs.handle(self.now, event);
        for action in actions {
            self.trace(|| format!("s{slot} -> {action:?}"));
            match action {
                Action::Reply { reader, reply } => self.reply(slot, reader, reply),
                Action::Close { .. } => {}
                Action::Endpoint { run, command } => {
                    if let (EndpointCommand::Begin(start), Some(stream)) = (&command, &starter) {
                        if self.chance(2.0) {
                            // Not counted as a run: the endpoint reports that it did not run it.
                            self.count("starts refused by the endpoint");
                            self.feed_engine_event(slot, run, EndpointEvent::Refused);
                            continue;
                        }
                        let exchange = (stream.router, stream.router_incarnation, stream.exchange);
                        self.record_run_start(slot, start, exchange);
                    }
                    self.run_engine_command(slot, run, command);
                }
                Action::Violation(e) => self.truth.record_violation(e.to_string()),
            }
        }
    }

    fn record_run_start(
        &mut self,
        slot: usize,
        start: &StartRequest,
        exchange: (usize, Incarnation, u64),
    ) {
        *self
            .truth
            .runs_started
            .entry(start.key.clone())
            .or_default() += 1;
        *self.truth.starts_by_exchange.entry(exchange).or_default() += 1;
        let incarnation = self.sidecars[slot].incarnation;
        let incarnations = self.truth.ran_on.entry(start.key.clone()).or_default();
        incarnations.insert((slot, incarnation));
        for (grant, _) in start.payment.grants.values() {
            let keys = self.truth.keys_by_grant.entry(*grant).or_default();
            keys.insert(start.key.clone());
            if self.truth.written_off_grants.contains(grant) {
                self.truth.written_off_keys.insert(start.key.clone());
            }
        }
    }

    fn reply(&mut self, slot: usize, reader: StreamId, reply: SidecarReply) {
        if let SidecarReply::Frame(frame) = &reply
            && self.sidecars[slot].inject_foreign_frame
        {
            // Like a fault in a proxy or in an I/O layer: bytes of another answer come first.
            self.sidecars[slot].inject_foreign_frame = false;
            let foreign = Frame {
                key: RequestKey {
                    team: "other".into(),
                    id: "other".into(),
                },
                bytes: Bytes::from_static(b"someone else's answer"),
                ..frame.clone()
            };
            self.send_reply(reader, SidecarReply::Frame(foreign));
        }
        self.send_reply(reader, reply);
    }

    fn run_engine_command(&mut self, slot: usize, run: u64, command: EndpointCommand) {
        match command {
            EndpointCommand::Begin(start) => self.start_engine_run(slot, run, start),
            EndpointCommand::Resume { from } => {
                if let Some(engine_run) = self.sidecars[slot].engine.get_mut(&run) {
                    engine_run.tokens_made = engine_run.start.prefix_tokens + from / TOKEN_BYTES;
                    engine_run.epoch += 1;
                    self.schedule_token(slot, run);
                }
            }
            EndpointCommand::Stop => {
                self.sidecars[slot].engine.remove(&run);
            }
            EndpointCommand::Pause => {
                if let Some(engine_run) = self.sidecars[slot].engine.get_mut(&run) {
                    engine_run.paused = true;
                    self.count("engines paused");
                }
            }
            EndpointCommand::Continue => {
                if let Some(engine_run) = self.sidecars[slot].engine.get_mut(&run) {
                    engine_run.paused = false;
                    engine_run.epoch += 1;
                    self.schedule_token(slot, run);
                }
            }
        }
    }

    fn start_engine_run(&mut self, slot: usize, run: u64, start: Arc<StartRequest>) {
        let caller = self.callers.iter().find(|caller| caller.key == start.key);
        let prompt = caller.map_or(0, |caller| caller.prompt);
        let tokens_made = start.prefix_tokens;
        let total_tokens = match &start.work {
            Work::Chat { max_output, .. } => tokens_made + max_output,
            Work::Plain { .. } => 1,
        };
        let engine_run = EngineRun {
            start,
            prompt,
            tokens_made,
            total_tokens,
            paused: false,
            epoch: 0,
        };
        self.sidecars[slot].engine.insert(run, engine_run);
        self.schedule_token(slot, run);
    }

    fn schedule_token(&mut self, slot: usize, run: u64) {
        let pause = self.random_duration(Duration::from_millis(5), Duration::from_millis(120));
        let sidecar = &self.sidecars[slot];
        if let Some(engine_run) = sidecar.engine.get(&run) {
            let (incarnation, epoch) = (sidecar.incarnation, engine_run.epoch);
            self.schedule_after(pause, SimEvent::EngineTick(slot, incarnation, run, epoch));
        }
    }

    /// The engine produces the next token of a run, or ends the run.
    pub fn engine_tick(&mut self, slot: usize, incarnation: Incarnation, run: u64, epoch: u64) {
        if self.sidecars[slot].incarnation != incarnation || !self.sidecars[slot].alive {
            return;
        }
        let Some(engine_run) = self.sidecars[slot].engine.get_mut(&run) else {
            return;
        };
        if engine_run.paused || engine_run.epoch != epoch {
            return;
        }
        if engine_run.tokens_made >= engine_run.total_tokens {
            let usage = engine_run.usage();
            self.sidecars[slot].engine.remove(&run);
            let finish = "stop".into();
            return self.feed_engine_event(slot, run, EndpointEvent::Ended { usage, finish });
        }
        let plain = matches!(engine_run.start.work, Work::Plain { .. });
        let bytes = Bytes::from(token(&engine_run.start.key, engine_run.tokens_made));
        engine_run.tokens_made += 1;
        let usage = engine_run.usage();
        if plain {
            let head = ResponseHead {
                status: 200,
                headers: Vec::new(),
            };
            self.feed_engine_event(slot, run, EndpointEvent::Head(head));
        }
        self.feed_engine_event(slot, run, EndpointEvent::Output { bytes, usage });
        self.schedule_token(slot, run);
    }

    /// Breaks the connection to the engine in the middle of every run.
    pub fn break_engine(&mut self, slot: usize, resumable: bool) {
        self.count("engines lost");
        let runs: Vec<_> = self.sidecars[slot].engine.keys().copied().collect();
        for run in runs {
            let Some(engine_run) = self.sidecars[slot].engine.get_mut(&run) else {
                continue;
            };
            engine_run.epoch += 1;
            let usage = engine_run.usage();
            let resumable = resumable && matches!(engine_run.start.work, Work::Chat { .. });
            if !resumable {
                self.sidecars[slot].engine.remove(&run);
            }
            self.feed_engine_event(slot, run, EndpointEvent::Lost { usage, resumable });
        }
    }

    fn feed_engine_event(&mut self, slot: usize, run: u64, event: EndpointEvent) {
        self.feed_runs(slot, Event::Endpoint { run, event });
    }
}

impl EngineRun {
    /// Usage of the whole answer so far, including the prefix.
    fn usage(&self) -> Usage {
        match self.start.work {
            Work::Plain { .. } => Usage {
                calls: 1,
                ..Usage::default()
            },
            Work::Chat { .. } => Usage {
                prompt: self.prompt,
                output: self.tokens_made,
                calls: 0,
            },
        }
    }
}
