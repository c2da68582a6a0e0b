//! The task that owns a replica: it feeds the core and carries out what the core wants.

mod disk;
mod leader_checks;
mod outbox;
mod requests;
mod status;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anvil_ledger::core::{
    Action, Envelope, Event, Membership, Replica, ReplicaId, Restored, Site, SnapshotMeta,
};
use anvil_ledger::machine::{Machine, MachineError};
use anvil_ledger::storage::{Disk, Recovered, Report, Writer};
use anvil_wire::msg::{FollowEvent, Heartbeat, Query};
use anvil_world::prelude::*;
use bytes::Bytes;
use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use super::Tuning;
use super::error::Fault;
use super::events;
use super::follow::Follower;
use super::grant_evidence::GrantEvidence;
use super::heartbeats::HeartbeatTracker;
use super::peer::Hello;
use super::pending::{Pending, ReplyTx};
use crate::event;
use crate::metrics::Metrics;
use outbox::Outbox;
pub use status::ReplicaStatus;

/// How often the core is told that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Events taken at once, so that many proposals share one write.
const MAX_BATCH: usize = 1_024;

/// The way to the node.
pub type Inbox = mpsc::Sender<Input>;

/// What a node is asked and told.
pub enum Input {
    /// A command for the log.
    Propose(Box<Command>, ReplyTx),
    /// A read.
    Query(Query, ReplyTx),
    /// A sign of life.
    Heartbeat(Box<Heartbeat>, ReplyTx),
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
    /// An operator takes an instance out; answered as `Join`.
    Remove(InstanceId, oneshot::Sender<Result<(), Option<SocketAddr>>>),
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
    /// Where metrics go.
    pub metrics: Metrics,
}

/// The task's state.
pub struct ReplicaTask {
    setup: Setup,
    started_at: Instant,
    replica: Replica,
    machine: Machine,
    pending: Pending,
    heartbeats: HeartbeatTracker,
    evidence: GrantEvidence,
    outbox: Outbox,
    status: watch::Sender<ReplicaStatus>,
    inbox: Inbox,
    snapshot_index: LogIndex,
    /// Bytes of entries applied since the last snapshot.
    bytes_since_snapshot: u64,
    /// Writes a snapshot at this moment.
    snapshot_task: Option<JoinHandle<()>>,
    next_check: Duration,
    next_gauges: Duration,
    /// Learners of which it was said that they answer nothing.
    logged_learners: BTreeSet<ReplicaId>,
    /// The version at which fenced grants were last looked through; 0 at an election.
    checked_version: LogIndex,
    stopped: bool,
}

impl ReplicaTask {
    /// A node over what the data folder holds.
    pub fn new(
        setup: Setup,
        recovered: Recovered,
        inbox: Inbox,
    ) -> Result<(Self, watch::Receiver<ReplicaStatus>), MachineError> {
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
        let (status, status_rx) = watch::channel(ReplicaStatus::default());
        let mut task = Self {
            setup,
            started_at: Instant::now(),
            snapshot_index: replica.committed(),
            replica,
            machine,
            bytes_since_snapshot: 0,
            pending: Pending::default(),
            heartbeats: HeartbeatTracker::default(),
            evidence: GrantEvidence::default(),
            outbox: Outbox::default(),
            status,
            inbox,
            snapshot_task: None,
            next_check: Duration::ZERO,
            next_gauges: Duration::ZERO,
            logged_learners: BTreeSet::new(),
            checked_version: 0,
            stopped: false,
        };
        task.publish();
        Ok((task, status_rx))
    }

    /// Runs until told to stop; gives back the disk's thread, which still has to finish.
    pub async fn run(
        mut self,
        mut rx: mpsc::Receiver<Input>,
        mut stop: watch::Receiver<bool>,
    ) -> Writer {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut inputs = Vec::with_capacity(MAX_BATCH);
        loop {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                _ = ticks.tick() => self.tick(),
                count = rx.recv_many(&mut inputs, MAX_BATCH) => {
                    if count == 0 {
                        break;
                    }
                    self.handle_inputs(inputs.drain(..));
                }
            }
            self.publish();
            if self.stopped && self.setup.tuning.end_when_failed {
                break;
            }
        }
        drop(rx);
        self.finish().await
    }

    /// Ends once nothing of it uses the data folder but the disk's thread.
    ///
    /// Failure: a replica is stopped while its snapshot is being written, and is started again in the
    /// same process. It finds the folder locked, by itself, and does not start.
    async fn finish(self) -> Writer {
        if let Some(snapshot_task) = self.snapshot_task {
            // A panic in it was printed when it happened.
            let _ = snapshot_task.await;
        }
        self.setup.writer
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn tick(&mut self) {
        self.feed(Event::Tick);
        self.check_fleet();
        self.send_gauges();
    }

    /// Takes what has gathered; proposals that stand together share one write.
    fn handle_inputs(&mut self, inputs: impl Iterator<Item = Input>) {
        let mut proposals = Vec::new();
        for input in inputs {
            if let Input::Propose(command, reply) = input {
                proposals.extend(self.proposal(*command, reply));
                continue;
            }
            self.propose(&mut proposals);
            self.handle_input(input);
        }
        self.propose(&mut proposals);
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Propose(..) => {}
            Input::Query(query, reply) => self.read(query, reply),
            Input::Heartbeat(heartbeat, reply) => self.heartbeat(&heartbeat, reply),
            Input::CatchUp(follower, reply) => {
                // Fails only where the follower is gone; so do the answers below.
                let _ = reply.send(follower.catch_up(&self.machine));
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
                let _ = reply.send(self.at_leader(Event::Join { id, site }));
            }
            Input::Remove(instance, reply) => {
                let _ = reply.send(self.at_leader(Event::Remove(instance)));
            }
            Input::Found(membership) => {
                event!(self.setup.log, events::LEDGER_FOUNDED);
                self.feed(Event::Found(membership));
            }
            Input::Disk(report) => self.disk_reported(report),
            Input::Prepared(meta) => self.prepared(meta),
            Input::Fetched(fetched) => self.fetched(fetched),
            Input::Failed(fault) => self.fail(&fault),
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            id: self.setup.id,
            instance: self.setup.instance.clone(),
            ledger: self.replica.membership().ledger,
        }
    }

    /// Feeds the core when this replica leads, or says who does.
    fn at_leader(&mut self, event: Event) -> Result<(), Option<SocketAddr>> {
        if !self.replica.leads() {
            return Err(self.leader_addr());
        }
        self.feed(event);
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
        let actions = self.replica.handle(self.started_at.elapsed(), event);
        for action in actions {
            if self.stopped {
                // An invariant failed in the action before; what follows rests on it.
                return;
            }
            self.perform(action);
        }
        if !led && self.replica.leads() {
            event!(self.setup.log, events::LEDGER_LEADS, "term" => self.replica.term());
            self.heartbeats = HeartbeatTracker::since_election(self.now());
            self.evidence = GrantEvidence::default();
            self.checked_version = 0;
            self.logged_learners.clear();
        }
    }

    fn perform(&mut self, action: Action) {
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
            Action::MajorityLost { heard, voters } => {
                event!(
                    self.setup.log, events::LEDGER_MAJORITY_LOST,
                    "heard" => heard, "voters" => voters
                );
            }
            Action::SlowCommit { index, waited } => {
                let waited = waited.as_millis();
                event!(
                    self.setup.log, events::LEDGER_YIELDS,
                    "index" => index, "waited_ms" => waited
                );
            }
            Action::Fetch { from, meta } => self.fetch(from, &meta),
            Action::Compact(upto) => self.compact(upto),
            Action::Stop(source) => self.fail(&Fault::Core { source }),
        }
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
}
