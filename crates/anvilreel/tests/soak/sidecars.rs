//! Sidecar nodes and the engines beside them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{Frame, ResponseHead, SidecarReply, SidecarRequest, StartRequest, Work};
use anvil_world::prelude::*;
use anvilreel::runs::{Action, EngineCommand, EngineEvent, Event, Runs, RunsConfig};
use bytes::Bytes;

use super::callers::{TOKEN_BYTES, token};
use super::ledger::{Asked, ToLedger};
use super::net::StreamId;
use super::routers::{addr, zone};
use super::{Happening, World};

/// One run in the fake engine.
struct InEngine {
    start: Arc<StartRequest>,
    prompt: Tokens,
    /// Tokens of the whole answer made so far, with the prefix.
    made: u64,
    until: u64,
    paused: bool,
    /// A late event of an earlier stream has another number.
    epoch: u64,
}

pub struct SidecarNode {
    pub slot: usize,
    pub life: Incarnation,
    pub alive: bool,
    pub runs: Runs,
    engine: BTreeMap<u64, InEngine>,
    pub cross_next: bool,
    last_alive: Now,
}

impl SidecarNode {
    pub fn new(slot: usize) -> Self {
        Self {
            slot,
            life: 0,
            alive: false,
            runs: runs(0),
            engine: BTreeMap::new(),
            cross_next: false,
            last_alive: Now::ZERO,
        }
    }

    fn instance(&self) -> Instance {
        Instance {
            id: format!("s{}", self.slot).into(),
            incarnation: self.life,
            role: Role::Sidecar,
            zone: zone(self.slot),
            addr: addr(),
            endpoint: None,
        }
    }
}

fn runs(life: Incarnation) -> Runs {
    Runs::new(RunsConfig {
        life,
        // Small, so that dropping, trimming and pausing all happen.
        buffer_bytes: 16_000,
        keep_once: Duration::from_hours(25),
    })
}

impl World {
    pub fn join_sidecar(&mut self, slot: usize) {
        let life = self.sidecars[slot].life + 1;
        self.sidecars[slot] = SidecarNode::new(slot);
        self.sidecars[slot].life = life;
        self.sidecars[slot].alive = true;
        self.sidecars[slot].runs = runs(life);
        let now = self.now;
        self.at(now, Happening::SidecarTick(slot, life));
    }

    pub fn kill_sidecar(&mut self, slot: usize) {
        if !self.sidecars[slot].alive {
            return;
        }
        self.count("sidecars killed");
        let sidecar = &mut self.sidecars[slot];
        sidecar.alive = false;
        let life = sidecar.life;
        self.truth.lost_lives.insert((slot, life));
        self.reset_streams(|stream| stream.sidecar == slot && stream.life == Some(life));
        let pause = self.between(Duration::from_millis(500), Duration::from_secs(15));
        self.after(pause, Happening::SidecarTick(slot, life + 1));
    }

    /// The ledger said that this life was declared lost while it was cut off.
    pub fn sidecar_is_gone(&mut self, slot: usize, life: Incarnation) {
        if self.sidecars[slot].life == life {
            self.count("sidecars declared lost while alive");
            self.kill_sidecar(slot);
        }
    }

    pub fn leave_sidecar(&mut self, slot: usize) {
        if self.sidecars[slot].alive {
            self.count("endpoints left");
            self.tell_runs(slot, Event::Leaving);
        }
    }

    pub fn sidecar_tick(&mut self, slot: usize, life: Incarnation) {
        if self.sidecars[slot].life + 1 == life && !self.sidecars[slot].alive {
            return self.join_sidecar(slot);
        }
        if self.sidecars[slot].life != life || !self.sidecars[slot].alive {
            return;
        }
        self.after(
            Duration::from_millis(500),
            Happening::SidecarTick(slot, life),
        );
        self.tell_runs(slot, Event::Tick);
        if self.sidecars[slot].runs.is_leaving() && self.chance(5.0) {
            self.tell_runs(slot, Event::Returned);
        }
        let now = self.now;
        if now < self.sidecars[slot].last_alive + Duration::from_secs(1) {
            return;
        }
        self.sidecars[slot].last_alive = now;
        let evidence = self.sidecars[slot].runs.evidence();
        let instance = Box::new(self.sidecars[slot].instance());
        self.send_ledger(ToLedger {
            from: format!("s{slot}"),
            slot,
            life,
            what: Asked::Alive(instance, evidence),
        });
    }

    pub fn sidecar_fenced(
        &mut self,
        slot: usize,
        life: Incarnation,
        fenced: &BTreeMap<InstanceId, Incarnation>,
    ) {
        if self.sidecars[slot].life != life {
            return;
        }
        for (router, incarnation) in fenced {
            let event = Event::Fenced {
                router: router.clone(),
                incarnation: *incarnation,
            };
            self.tell_runs(slot, event);
        }
    }

    pub fn evidence_taken(
        &mut self,
        slot: usize,
        life: Incarnation,
        taken: &[(InstanceId, Incarnation)],
    ) {
        if self.sidecars[slot].life != life {
            return;
        }
        for (router, incarnation) in taken {
            self.sidecars[slot]
                .runs
                .evidence_taken(router, *incarnation);
        }
    }

    pub fn sidecar_request(&mut self, slot: usize, reader: StreamId, req: SidecarRequest) {
        let Some(event) = Event::of(reader, req) else {
            return;
        };
        self.tell_runs(slot, event);
    }

    pub fn reader_ready(&mut self, slot: usize, life: Incarnation, reader: StreamId) {
        if self.sidecars[slot].life == life {
            self.tell_runs(slot, Event::Ready { reader });
        }
    }

    pub fn reader_gone(&mut self, slot: usize, life: Incarnation, reader: StreamId) {
        if self.sidecars[slot].life == life {
            self.tell_runs(slot, Event::Gone { reader });
        }
    }

    fn tell_runs(&mut self, slot: usize, event: Event) {
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
                Action::Engine { run, command } => {
                    if let (EngineCommand::Begin(start), Some(by)) = (&command, &starter) {
                        if self.chance(2.0) {
                            // Not a beginning: the endpoint says that it did not run it.
                            self.count("starts refused by the endpoint");
                            self.engine_says(slot, run, EngineEvent::Refused);
                            continue;
                        }
                        let by = (by.router, by.router_life, by.exchange);
                        self.begins(slot, start, by);
                    }
                    self.command(slot, run, command);
                }
                Action::Violation(e) => self.truth.violate(e.to_string()),
            }
        }
    }

    fn begins(&mut self, slot: usize, start: &StartRequest, by: (usize, Incarnation, u64)) {
        *self.truth.begun.entry(start.key.clone()).or_default() += 1;
        *self.truth.begun_by.entry(by).or_default() += 1;
        let life = self.sidecars[slot].life;
        let lives = self.truth.ran_at.entry(start.key.clone()).or_default();
        lives.insert((slot, life));
        for (grant, _) in start.payment.grants.values() {
            let keys = self.truth.under.entry(*grant).or_default();
            keys.insert(start.key.clone());
            if self.truth.given_up.contains(grant) {
                self.truth.written_off.insert(start.key.clone());
            }
        }
    }

    fn reply(&mut self, slot: usize, reader: StreamId, reply: SidecarReply) {
        if let SidecarReply::Frame(frame) = &reply
            && self.sidecars[slot].cross_next
        {
            // What a fault in a proxy or a shell would do: another answer's bytes come first.
            self.sidecars[slot].cross_next = false;
            let crossed = Frame {
                key: RequestKey {
                    team: "other".into(),
                    id: "other".into(),
                },
                bytes: Bytes::from_static(b"someone else's answer"),
                ..frame.clone()
            };
            self.send_back(reader, SidecarReply::Frame(crossed));
        }
        self.send_back(reader, reply);
    }

    fn command(&mut self, slot: usize, run: u64, command: EngineCommand) {
        match command {
            EngineCommand::Begin(start) => self.engine_begins(slot, run, start),
            EngineCommand::Resume { from } => {
                if let Some(found) = self.sidecars[slot].engine.get_mut(&run) {
                    found.made = found.start.prefix_tokens + from / TOKEN_BYTES;
                    found.epoch += 1;
                    self.engine_next(slot, run);
                }
            }
            EngineCommand::Stop => {
                self.sidecars[slot].engine.remove(&run);
            }
            EngineCommand::Pause => {
                if let Some(found) = self.sidecars[slot].engine.get_mut(&run) {
                    found.paused = true;
                    self.count("engines paused");
                }
            }
            EngineCommand::Continue => {
                if let Some(found) = self.sidecars[slot].engine.get_mut(&run) {
                    found.paused = false;
                    found.epoch += 1;
                    self.engine_next(slot, run);
                }
            }
        }
    }

    fn engine_begins(&mut self, slot: usize, run: u64, start: Arc<StartRequest>) {
        let caller = self.callers.iter().find(|caller| caller.key == start.key);
        let prompt = caller.map_or(0, |caller| caller.prompt);
        let made = start.prefix_tokens;
        let until = match &start.work {
            Work::Chat { max_output, .. } => made + max_output,
            Work::Plain { .. } => 1,
        };
        let found = InEngine {
            start,
            prompt,
            made,
            until,
            paused: false,
            epoch: 0,
        };
        self.sidecars[slot].engine.insert(run, found);
        self.engine_next(slot, run);
    }

    fn engine_next(&mut self, slot: usize, run: u64) {
        let pause = self.between(Duration::from_millis(5), Duration::from_millis(120));
        let sidecar = &self.sidecars[slot];
        if let Some(found) = sidecar.engine.get(&run) {
            let (life, epoch) = (sidecar.life, found.epoch);
            self.after(pause, Happening::Engine(slot, life, run, epoch));
        }
    }

    /// The engine makes its next token, or ends.
    pub fn engine(&mut self, slot: usize, life: Incarnation, run: u64, epoch: u64) {
        if self.sidecars[slot].life != life || !self.sidecars[slot].alive {
            return;
        }
        let Some(found) = self.sidecars[slot].engine.get_mut(&run) else {
            return;
        };
        if found.paused || found.epoch != epoch {
            return;
        }
        if found.made >= found.until {
            let usage = found.usage();
            self.sidecars[slot].engine.remove(&run);
            let finish = "stop".into();
            return self.engine_says(slot, run, EngineEvent::Ended { usage, finish });
        }
        let plain = matches!(found.start.work, Work::Plain { .. });
        let bytes = Bytes::from(token(&found.start.key, found.made));
        found.made += 1;
        let usage = found.usage();
        if plain {
            let head = ResponseHead {
                status: 200,
                headers: Vec::new(),
            };
            self.engine_says(slot, run, EngineEvent::Head(head));
        }
        self.engine_says(slot, run, EngineEvent::Output { bytes, usage });
        self.engine_next(slot, run);
    }

    /// The connection to the engine breaks in the middle of every run.
    pub fn lose_engine(&mut self, slot: usize, resumable: bool) {
        self.count("engines lost");
        let runs: Vec<_> = self.sidecars[slot].engine.keys().copied().collect();
        for run in runs {
            let Some(found) = self.sidecars[slot].engine.get_mut(&run) else {
                continue;
            };
            found.epoch += 1;
            let usage = found.usage();
            let resumable = resumable && matches!(found.start.work, Work::Chat { .. });
            if !resumable {
                self.sidecars[slot].engine.remove(&run);
            }
            self.engine_says(slot, run, EngineEvent::Lost { usage, resumable });
        }
    }

    fn engine_says(&mut self, slot: usize, run: u64, event: EngineEvent) {
        self.tell_runs(slot, Event::Engine { run, event });
    }
}

impl InEngine {
    /// Of the whole answer, with the prefix.
    fn usage(&self) -> Usage {
        match self.start.work {
            Work::Plain { .. } => Usage {
                calls: 1,
                ..Usage::default()
            },
            Work::Chat { .. } => Usage {
                prompt: self.prompt,
                output: self.made,
                calls: 0,
            },
        }
    }
}
