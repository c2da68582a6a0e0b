//! The task that owns a replica: it feeds the core and carries out what the core wants.

mod disk;
mod fleet;
mod outbox;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use anvil_ledger::core::{
    Action, Envelope, Event, Membership, Proposal, Refused, Replica, ReplicaId, RequestId,
    Restored, Site, SnapshotMeta,
};
use anvil_ledger::machine::{Machine, MachineError};
use anvil_ledger::storage::{Disk, Recovered, Report, Writer};
use anvil_wire::msg::{FollowEvent, Heartbeat, LedgerReply, Query};
use anvil_world::prelude::*;
use bytes::Bytes;
use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::Tuning;
use super::error::Fault;
use super::events;
use super::follow::Follower;
use super::peer::Hello;
use super::pending::{Pending, Reply, tell};
use super::queries::View;
use super::signs::Signs;
use super::testimony::Testimony;
use crate::event;
use outbox::Outbox;

/// How often the core is told that time has passed.
const TICK: Duration = Duration::from_millis(20);
/// Events taken at once, so that many proposals share one write.
const BATCH: usize = 1_024;

/// The way to the node.
pub type Inbox = mpsc::Sender<Input>;

/// What a node is asked and told.
pub enum Input {
    /// A command for the log.
    Propose(Box<Command>, Reply),
    /// A read.
    Query(Query, Reply),
    /// A sign of life.
    Heartbeat(Box<Heartbeat>, Reply),
    /// What would bring this follower up to date?
    CatchUp(Follower, oneshot::Sender<Option<FollowEvent>>),
    /// Who are you?
    Hello(oneshot::Sender<Hello>),
    /// A replica listens for what this one has to say.
    Listen(ReplicaId, mpsc::Sender<Envelope>),
    /// Another replica said this.
    Envelopes(Vec<Envelope>),
    /// A replica wants to be taken in; answered with the leader's address when this isn't it.
    Join(
        ReplicaId,
        Site,
        oneshot::Sender<Result<(), Option<SocketAddr>>>,
    ),
    /// Begin a ledger.
    Found(Membership),
    /// The disk's thread has done something.
    Disk(Report),
    /// A snapshot of this replica is prepared.
    Prepared(SnapshotMeta),
    /// A snapshot of another replica has come; `None` when it could not be fetched.
    Fetched(Option<(SnapshotMeta, Bytes)>),
    /// A write outside the disk's thread failed.
    Failed(Fault),
}

/// What everybody may know of a node without asking it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Public {
    /// The newest version of the applied state.
    pub version: LogIndex,
    /// Whether the leader (or, at the leader, a majority) was heard of lately.
    pub in_touch: bool,
    /// Other replicas' addresses.
    pub peers: BTreeMap<ReplicaId, SocketAddr>,
    /// Whether it votes.
    pub votes: bool,
    /// Whether it has to ask to be taken in.
    pub seeks_ledger: bool,
}

/// What a node is made of.
pub struct Setup {
    /// The disk's number.
    pub id: ReplicaId,
    /// Name of the instance.
    pub instance: InstanceId,
    /// The data folder.
    pub disk: Disk,
    /// The disk's thread.
    pub writer: Writer,
    /// What an operator need not set.
    pub tuning: Tuning,
    /// Where log lines go.
    pub log: Logger,
}

/// The task's state.
pub struct Node {
    setup: Setup,
    begun: Instant,
    replica: Replica,
    machine: Machine,
    pending: Pending,
    signs: Signs,
    testimony: Testimony,
    outbox: Outbox,
    public: watch::Sender<Public>,
    inbox: Inbox,
    covered: LogIndex,
    preparing: bool,
    next_watch: Duration,
    stopped: bool,
}

impl Node {
    /// A node over what the data folder holds.
    pub fn new(
        setup: Setup,
        recovered: Recovered,
        inbox: Inbox,
    ) -> Result<(Self, watch::Receiver<Public>), MachineError> {
        let snapshot = recovered.snapshot;
        let machine = match &snapshot {
            Some(snapshot) => Machine::restore(&snapshot.data)?,
            None => Machine::default(),
        };
        let restored = Restored {
            id: setup.id,
            hard: recovered.hard,
            snapshot: snapshot.map(|snapshot| snapshot.meta),
            base: recovered.base,
            entries: recovered.entries.into(),
        };
        let core = setup.tuning.core;
        let replica = Replica::new(restored, core, rand::random(), Duration::ZERO);
        let (public, seen) = watch::channel(Public::default());
        let mut node = Self {
            setup,
            begun: Instant::now(),
            covered: replica.committed(),
            replica,
            machine,
            pending: Pending::default(),
            signs: Signs::default(),
            testimony: Testimony::default(),
            outbox: Outbox::default(),
            public,
            inbox,
            preparing: false,
            next_watch: Duration::ZERO,
            stopped: false,
        };
        node.publish();
        Ok((node, seen))
    }

    /// Runs until told to stop; gives back the disk's thread, which still has to finish.
    pub async fn run(
        mut self,
        mut rx: mpsc::Receiver<Input>,
        mut stop: watch::Receiver<bool>,
    ) -> Writer {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut inputs = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => return self.setup.writer,
                _ = ticks.tick() => self.tick(),
                count = rx.recv_many(&mut inputs, BATCH) => {
                    if count == 0 {
                        return self.setup.writer;
                    }
                    self.take(inputs.drain(..));
                }
            }
            self.publish();
        }
    }

    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    fn tick(&mut self) {
        self.feed(Event::Tick);
        self.watch_fleet();
    }

    /// Takes what has gathered; proposals that stand together share one write.
    fn take(&mut self, inputs: impl Iterator<Item = Input>) {
        let mut proposals = Vec::new();
        for input in inputs {
            if let Input::Propose(command, reply) = input {
                proposals.extend(self.proposal(*command, reply));
                continue;
            }
            self.propose(&mut proposals);
            self.take_one(input);
        }
        self.propose(&mut proposals);
    }

    fn take_one(&mut self, input: Input) {
        match input {
            Input::Propose(..) => {}
            Input::Query(query, reply) => self.read(query, reply),
            Input::Heartbeat(heartbeat, reply) => self.hear(&heartbeat, reply),
            Input::CatchUp(follower, reply) => {
                // Fails only where the follower is gone; so do the answers below.
                let _ = reply.send(follower.catch_up(&self.machine.state));
            }
            Input::Hello(reply) => {
                let _ = reply.send(self.hello());
            }
            Input::Listen(id, tx) => self.outbox.open(id, tx),
            Input::Envelopes(envelopes) => {
                for envelope in envelopes {
                    self.feed(Event::Message(envelope));
                }
            }
            Input::Join(id, site, reply) => {
                let _ = reply.send(self.join(id, site));
            }
            Input::Found(membership) => {
                event!(self.setup.log, events::LEDGER_FOUNDED);
                self.feed(Event::Found(membership));
            }
            Input::Disk(report) => self.disk_did(report),
            Input::Prepared(meta) => self.prepared(meta),
            Input::Fetched(fetched) => self.fetched(fetched),
            Input::Failed(fault) => self.fail(&fault),
        }
    }

    /// Checks a command before the log sees it, and puts the leader's time in.
    fn proposal(&mut self, mut command: Command, reply: Reply) -> Option<Proposal> {
        if self.stopped {
            tell(reply, LedgerReply::Stopped);
            return None;
        }
        if let Some(answer) = super::check::refuse(&command) {
            tell(reply, LedgerReply::Applied { index: 0, answer });
            return None;
        }
        super::check::stamp(&mut command, SystemTime::now());
        let Ok(data) = anvil_ledger::machine::encode(&command) else {
            tell(reply, LedgerReply::NoQuorum);
            return None;
        };
        let id = self.pending.propose(reply);
        Some(Proposal { id, data })
    }

    fn propose(&mut self, proposals: &mut Vec<Proposal>) {
        if proposals.is_empty() {
            return;
        }
        let proposals = std::mem::take(proposals);
        if self.setup.tuning.group_commit {
            self.feed(Event::Propose(proposals));
            return;
        }
        for proposal in proposals {
            self.feed(Event::Propose(vec![proposal]));
        }
    }

    fn read(&mut self, query: Query, reply: Reply) {
        if self.stopped {
            tell(reply, LedgerReply::Stopped);
            return;
        }
        let id = self.pending.read(query, reply);
        self.feed(Event::Read(id));
    }

    fn hello(&self) -> Hello {
        Hello {
            id: self.setup.id,
            instance: self.setup.instance.clone(),
            ledger: self.replica.membership().ledger,
        }
    }

    fn join(&mut self, id: ReplicaId, site: Site) -> Result<(), Option<SocketAddr>> {
        if !self.replica.leads() {
            return Err(self.leader_addr());
        }
        self.feed(Event::Join { id, site });
        Ok(())
    }

    fn leader_addr(&self) -> Option<SocketAddr> {
        let leader = self.replica.leader()?;
        let site = self.replica.membership().site(leader)?;
        Some(site.addr)
    }

    /// Feeds the core and does what it wants.
    pub(super) fn feed(&mut self, event: Event) {
        if self.stopped {
            return;
        }
        let led = self.replica.leads();
        let actions = self.replica.handle(self.begun.elapsed(), event);
        for action in actions {
            self.act(action);
        }
        if !led && self.replica.leads() {
            event!(self.setup.log, events::LEDGER_LEADS, "term" => self.replica.term());
            self.signs = Signs::elected(self.now());
            self.testimony = Testimony::default();
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Write(write) => self.write(write),
            Action::Install { seq, meta, data } => self.install(seq, meta, data),
            Action::Send(envelope) => self.outbox.send(envelope),
            Action::Apply(entries) => self.apply(&entries),
            Action::Accepted { id, entry } => self.pending.accept(id, entry),
            Action::Refused { id, why } => self.refused(id, why),
            Action::Confirmed { id, .. } => self.confirmed(id),
            Action::Deposed => {
                event!(self.setup.log, events::LEDGER_DEPOSED);
                self.pending.deposed();
            }
            Action::Fetch { from, meta } => self.fetch(from, &meta),
            Action::Compact(upto) => self.compact(upto),
            Action::Stop(source) => self.fail(&Fault::Core { source }),
        }
    }

    fn refused(&mut self, id: RequestId, why: Refused) {
        let reply = match why {
            Refused::NotLeader(_) => LedgerReply::NotLeader {
                leader: self.leader_addr(),
            },
            Refused::NoLeader => LedgerReply::NoQuorum,
        };
        self.pending.refused(id, &reply);
    }

    /// Everything up to the position that a read needs is applied when the core confirms it.
    fn confirmed(&mut self, id: RequestId) {
        let Some((query, reply)) = self.pending.confirmed(id) else {
            return;
        };
        let view = View {
            instance: &self.setup.instance,
            replica: &self.replica,
            machine: &self.machine,
            signs: &self.signs,
            now: self.now(),
        };
        tell(reply, LedgerReply::Read(view.answer(&query)));
    }

    /// The replica does nothing any more, and says so to everyone who asks.
    fn fail(&mut self, fault: &Fault) {
        if self.stopped {
            return;
        }
        self.stopped = true;
        self.pending.stopped();
        let log = &self.setup.log;
        match fault {
            Fault::Disk { .. } => {
                event!(log, events::LEDGER_DISK_FAILED, "why" => fault.to_string());
            }
            Fault::Core { .. } | Fault::Apply { .. } => {
                event!(log, events::LEDGER_INVARIANT, "why" => fault.to_string());
            }
        }
    }

    fn publish(&mut self) {
        let membership = self.replica.membership();
        let others = membership.replicas().filter(|(id, _)| *id != self.setup.id);
        let public = Public {
            version: self.machine.state.version(),
            in_touch: self.replica.in_touch() && !self.stopped,
            peers: others.map(|(id, site)| (id, site.addr)).collect(),
            votes: self.replica.votes(),
            seeks_ledger: self.replica.seeks_ledger(),
        };
        self.public.send_if_modified(|seen| {
            let changed = *seen != public;
            *seen = public;
            changed
        });
    }
}
