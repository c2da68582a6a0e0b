//! The task that owns a replica. It feeds inputs to the core, carries out the core's actions, and
//! applies committed entries to the state machine. All inputs but the clock arrive over one channel.

mod disk;
mod latency;
mod leader_checks;
mod outbox;
mod requests;
mod shares;
mod status;

use std::collections::{BTreeMap, BTreeSet};
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
use super::configured_names::NamesInForce;
use super::error::Fault;
use super::events;
use super::follow::Follower;
use super::grant_evidence::GrantEvidence;
use super::heartbeats::HeartbeatTracker;
use super::peer::Hello;
use super::pending::{Pending, ReplyTx};
use crate::event;
use crate::metrics::Metrics;
use latency::Latency;
use outbox::Outbox;
pub use status::ReplicaStatus;

/// Interval of the core's `Tick` events.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of inputs handled at once; proposals among them share one write.
const MAX_BATCH: usize = 1_024;

/// Sending half of the replica task's input channel.
pub type Inbox = mpsc::Sender<Input>;

/// Input of the replica task.
pub enum Input {
    /// Appends a command to the log.
    Propose(Box<Command>, ReplyTx),
    /// A read, answered once the core has confirmed it.
    Query(Query, ReplyTx),
    /// Heartbeat of an instance.
    Heartbeat(Box<Heartbeat>, ReplyTx),
    /// Requests the event that brings this follower up to date.
    CatchUp(Follower, oneshot::Sender<Option<FollowEvent>>),
    /// Requests the identity of this replica.
    Hello(oneshot::Sender<Hello>),
    /// Registers the queue for messages to another replica.
    Subscribe(ReplicaId, mpsc::Sender<Envelope>),
    /// Messages from another replica.
    Messages(Vec<Envelope>),
    /// Number of kinds of commands that the replica at this address applies; 0 if it has not said so.
    CommandKinds(SocketAddr, u32),
    /// Adds a replica to the ledger; answered with the leader's address if this replica doesn't
    /// lead.
    Join(
        ReplicaId,
        Site,
        oneshot::Sender<Result<(), Option<SocketAddr>>>,
    ),
    /// Removes an instance's replica at an operator's request; answered like `Join`.
    Remove(InstanceId, oneshot::Sender<Result<(), Option<SocketAddr>>>),
    /// Founds a new ledger.
    Found(Membership),
    /// Report from the writer thread.
    DiskReport(Report),
    /// A snapshot of this replica has been written and can be published.
    SnapshotPrepared(SnapshotMeta),
    /// A snapshot was fetched from another replica; `None` if that failed.
    SnapshotFetched(Option<(SnapshotMeta, Bytes)>),
    /// A write outside the writer thread failed.
    Failed(Fault),
}

/// Parameters of a replica task.
pub struct Setup {
    /// Identifier of the disk.
    pub id: ReplicaId,
    /// Name of the instance.
    pub instance: InstanceId,
    /// The data folder.
    pub disk: Disk,
    /// The writer thread.
    pub writer: Writer,
    /// Parameters with defaults.
    pub tuning: Tuning,
    /// Logger.
    pub log: Logger,
    /// Destination of metrics.
    pub metrics: Metrics,
}

/// State of the replica task.
pub struct ReplicaTask {
    setup: Setup,
    started_at: Instant,
    replica: Replica,
    machine: Machine,
    pending: Pending,
    heartbeats: HeartbeatTracker,
    evidence: GrantEvidence,
    outbox: Outbox,
    latency: Latency,
    status: watch::Sender<ReplicaStatus>,
    /// Number of kinds of commands that other replicas apply, as they last said.
    command_kinds: BTreeMap<SocketAddr, u32>,
    inbox: Inbox,
    snapshot_index: LogIndex,
    /// Bytes of entries applied since the last snapshot.
    bytes_since_snapshot: u64,
    /// The running task that writes a snapshot.
    snapshot_task: Option<JoinHandle<()>>,
    next_check: Duration,
    next_gauges: Duration,
    /// Unresponsive learners that have been logged.
    logged_learners: BTreeSet<ReplicaId>,
    /// Organisations and routes of the configuration.
    names: NamesInForce,
    /// State version at which fenced grants were last evaluated; reset to 0 at an election.
    checked_version: LogIndex,
    stopped: bool,
}

impl ReplicaTask {
    /// Creates the task from the contents of the data folder.
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
            latency: Latency::default(),
            status,
            command_kinds: BTreeMap::new(),
            inbox,
            snapshot_task: None,
            next_check: Duration::ZERO,
            next_gauges: Duration::ZERO,
            logged_learners: BTreeSet::new(),
            names: NamesInForce::default(),
            checked_version: 0,
            stopped: false,
        };
        task.publish();
        Ok((task, status_rx))
    }

    /// Runs until it is stopped; returns the writer thread, which still has to finish its jobs.
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
            if self.stopped && self.setup.tuning.stop_on_failure {
                break;
            }
        }
        drop(rx);
        self.finish().await
    }

    /// Ends the task once only the writer thread still uses the data folder.
    ///
    /// Otherwise a replica that is stopped while its snapshot is being written and started again in
    /// the same process would find the folder locked by itself and would not start.
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

    /// Handles queued inputs; consecutive proposals share one write.
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
                // Fails only if the follower has disconnected; the same holds for the replies
                // below.
                let _ = reply.send(follower.catch_up(&self.machine));
            }
            Input::Hello(reply) => {
                let _ = reply.send(self.hello());
            }
            Input::Subscribe(id, tx) => self.outbox.open(id, tx),
            Input::Messages(envelopes) => {
                for envelope in envelopes {
                    self.feed(Event::Message(envelope));
                }
            }
            Input::CommandKinds(addr, kinds) => {
                self.command_kinds.insert(addr, kinds);
            }
            Input::Join(id, site, reply) => {
                let _ = reply.send(self.feed_if_leader(Event::Join { id, site }));
            }
            Input::Remove(instance, reply) => {
                let _ = reply.send(self.feed_if_leader(Event::Remove(instance)));
            }
            Input::Found(membership) => {
                event!(self.setup.log, events::LEDGER_FOUNDED);
                self.feed(Event::Found(membership));
            }
            Input::DiskReport(report) => self.disk_reported(report),
            Input::SnapshotPrepared(meta) => self.prepared(meta),
            Input::SnapshotFetched(fetched) => self.fetched(fetched),
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

    /// Feeds the core if this replica leads; otherwise returns the leader's address.
    fn feed_if_leader(&mut self, event: Event) -> Result<(), Option<SocketAddr>> {
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

    /// Feeds the core and performs its actions.
    pub(super) fn feed(&mut self, event: Event) {
        if self.stopped {
            return;
        }
        let led = self.replica.leads();
        let actions = self.replica.handle(self.started_at.elapsed(), event);
        for action in actions {
            if self.stopped {
                // An invariant was violated in the previous action, and the next ones rely on it.
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
            Action::Accepted { id, entry } => {
                self.latency.appended(entry.index, self.now());
                self.pending.accept(id, entry);
            }
            Action::Refused { id, why } => self.refused(id, why),
            Action::Confirmed { id, .. } => self.confirmed(id),
            Action::Deposed => {
                event!(self.setup.log, events::LEDGER_DEPOSED);
                self.latency.deposed();
                self.pending.deposed();
            }
            Action::MajorityLost { heard, voters } => {
                event!(
                    self.setup.log, events::LEDGER_MAJORITY_LOST,
                    "heard" => heard, "voters" => voters,
                    "sync_ms" => self.latency.longest_sync(self.now()).as_millis()
                );
            }
            Action::SlowCommit { index, waited } => {
                let waited = waited.as_millis();
                event!(
                    self.setup.log, events::LEDGER_YIELDS,
                    "index" => index, "waited_ms" => waited,
                    "sync_ms" => self.latency.longest_sync(self.now()).as_millis()
                );
            }
            Action::Fetch { from, meta } => self.fetch(from, &meta),
            Action::Compact(upto) => self.compact(upto),
            Action::Stop(source) => self.fail(&Fault::Core { source }),
        }
    }

    /// Stops the replica for good; every later request is answered with `Stopped`.
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
