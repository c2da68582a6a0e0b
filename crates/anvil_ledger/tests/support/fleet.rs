//! Replicas, their disks and the network between them, simulated in one thread from one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_ledger::core::{
    Action, CoreSettings, Entry, Envelope, Event, Membership, Proposal, Replica, ReplicaId,
    RequestId, Restored, Site, SnapshotMeta, WriteSeq,
};
use anvil_ledger::machine::{Machine, encode};
use anvil_ledger::storage::{Storage, StorageError, snapshot};
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::checks::Checks;
use super::clients::{Client, Kind};
use super::faults::{Conditions, Faults};
use super::mem_disk::MemDisk;

const TICK: Duration = Duration::from_millis(50);
/// Time after which a client resends.
const RESEND_AFTER: Duration = Duration::from_millis(1_500);
/// Number of entries after which a snapshot is taken.
const SNAPSHOT_EVERY: LogIndex = 100;
const CLIENTS: [Kind; 10] = [
    Kind::Admin,
    Kind::TopUps,
    Kind::TopUps,
    Kind::Operator,
    Kind::Operator,
    Kind::Router,
    Kind::Router,
    Kind::Router,
    Kind::Reader,
    Kind::Reader,
];

/// A scheduled event.
pub enum SimEvent {
    Tick(usize, u64),
    Deliver(Envelope),
    Sync(usize, u64),
    Publish(usize, u64, SnapshotMeta),
    Fetched(usize, u64, usize),
    Client(usize),
    Restart(usize),
    Fault,
    Heal,
}

/// A running process.
pub struct Process {
    pub replica: Replica,
    pub machine: Machine,
    storage: Storage,
    written: WriteSeq,
    sync_due: bool,
    snapshot_index: LogIndex,
    preparing: bool,
    /// Proposals and reads in flight.
    pending_requests: BTreeMap<RequestId, ClientRequest>,
    accepted: BTreeMap<LogIndex, (Term, ClientRequest)>,
}

/// Origin of a request.
#[derive(Clone, Copy)]
pub struct ClientRequest {
    client: usize,
    /// Number of the client's command: a late answer must not be taken for that of a later command.
    command: u64,
    /// Newest acknowledged position when the request was sent.
    began: LogIndex,
}

/// An instance with its disk.
#[derive(Default)]
pub struct Instance {
    pub disk: MemDisk,
    pub process: Option<Process>,
    /// Number of the present run of the process; events of an earlier run are dropped.
    pub run_number: u64,
    pub frozen_until: Duration,
}

/// The simulation.
pub struct Fleet {
    pub rng: ChaCha8Rng,
    pub now: Duration,
    queue: BTreeMap<(Duration, u64), SimEvent>,
    queued: u64,
    pub instances: Vec<Instance>,
    owners: BTreeMap<ReplicaId, usize>,
    clients: Vec<Client>,
    resend_at: Vec<Duration>,
    last_request: RequestId,
    pub conditions: Conditions,
    pub faults: Faults,
    pub checks: Checks,
    pub steps: u64,
    core: CoreSettings,
}

/// A short log, so that lagging followers need snapshots.
pub fn core_settings() -> CoreSettings {
    CoreSettings {
        slow_commit_limit: Some(std::time::Duration::from_millis(700)),
        trailing_entries: 40,
        ..CoreSettings::default()
    }
}

fn site(number: usize) -> Site {
    Site {
        instance: format!("ledger-{number}").into(),
        addr: ([127, 0, 0, 1], 9_000).into(),
    }
}

impl Fleet {
    pub fn new(seed: u64, replicas: usize) -> Self {
        Self::with(core_settings(), seed, replicas)
    }

    pub fn with(core: CoreSettings, seed: u64, replicas: usize) -> Self {
        let clients = CLIENTS.iter().enumerate();
        let clients: Vec<_> = clients.map(|(n, k)| Client::new(n, *k)).collect();
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            queued: 0,
            instances: (0..replicas).map(|_| Instance::default()).collect(),
            owners: BTreeMap::new(),
            resend_at: vec![Duration::ZERO; clients.len()],
            clients,
            last_request: 0,
            conditions: Conditions::default(),
            faults: Faults::default(),
            checks: Checks::default(),
            steps: 0,
            core,
        };
        for number in 0..replicas {
            fleet.start(number);
        }
        fleet.found();
        for client in 0..CLIENTS.len() {
            fleet.schedule(Duration::from_millis(5), SimEvent::Client(client));
        }
        fleet
    }

    fn found(&mut self) {
        let voters = self.instances.iter().enumerate().filter_map(|(number, i)| {
            let id = i.process.as_ref()?.replica.id();
            Some((id, site(number)))
        });
        let membership = Membership {
            ledger: 1,
            voters: voters.collect(),
            learners: BTreeMap::new(),
        };
        self.feed(0, Event::Found(membership));
    }

    pub fn schedule(&mut self, delay: Duration, what: SimEvent) {
        self.queued += 1;
        self.queue.insert((self.now + delay, self.queued), what);
    }

    pub fn random_duration(&mut self, min_us: u64, max_us: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(min_us..=max_us))
    }

    /// Starts the process on an instance, from its disk.
    pub fn start(&mut self, number: usize) {
        let new_id = self.rng.random_range(1..=u64::MAX);
        let instance = &mut self.instances[number];
        if instance.process.is_some() {
            return;
        }
        let opened = Storage::open(instance.disk.disk(), new_id);
        let (storage, found) = match opened {
            Ok(opened) => opened,
            Err(e @ StorageError::Io { .. }) => {
                self.faults.failed_disk(&e);
                self.crash(number, true);
                return;
            }
            Err(e) => panic!("instance {number} can't recover its disk: {e}"),
        };
        let snapshot = found.snapshot;
        let machine = snapshot.as_ref().map_or_else(Machine::default, |snapshot| {
            Machine::restore(&snapshot.data).expect("a snapshot is readable")
        });
        let restored = Restored {
            id: storage.id(),
            hard: found.hard,
            snapshot: snapshot.map(|snapshot| snapshot.meta),
            base: found.base,
            entries: found.entries.into(),
        };
        self.owners.insert(storage.id(), number);
        let seed = self.rng.random();
        let replica = Replica::new(restored, self.core, seed, self.now);
        let instance = &mut self.instances[number];
        instance.run_number += 1;
        let run_number = instance.run_number;
        instance.process = Some(Process {
            snapshot_index: replica.committed(),
            replica,
            machine,
            storage,
            written: 0,
            sync_due: false,
            preparing: false,
            pending_requests: BTreeMap::new(),
            accepted: BTreeMap::new(),
        });
        let delay = self.random_duration(1, 50_000);
        self.schedule(delay, SimEvent::Tick(number, run_number));
    }

    /// Ends the process; with `power`, unsynced data is lost too.
    pub fn crash(&mut self, number: usize, power: bool) {
        let instance = &mut self.instances[number];
        instance.process = None;
        instance.run_number += 1;
        if power {
            instance.disk.crash(&mut self.rng);
        }
        let delay = self.random_duration(20_000, 3_000_000);
        self.schedule(delay, SimEvent::Restart(number));
    }

    pub fn process(&mut self, number: usize) -> Option<&mut Process> {
        self.instances[number].process.as_mut()
    }

    /// Runs the next event; false if there is none.
    pub fn step(&mut self) -> bool {
        let Some(((time, _), what)) = self.queue.pop_first() else {
            return false;
        };
        self.now = self.now.max(time);
        self.steps += 1;
        if let Some(until) = self.frozen(&what) {
            self.schedule(until.saturating_sub(self.now), what);
            return true;
        }
        self.run_event(what);
        true
    }

    fn frozen(&self, what: &SimEvent) -> Option<Duration> {
        let number = match what {
            SimEvent::Tick(number, ..)
            | SimEvent::Sync(number, ..)
            | SimEvent::Publish(number, ..)
            | SimEvent::Fetched(number, ..) => *number,
            SimEvent::Deliver(envelope) => *self.owners.get(&envelope.to)?,
            _ => return None,
        };
        let until = self.instances[number].frozen_until;
        (until > self.now).then_some(until)
    }

    fn run_event(&mut self, what: SimEvent) {
        match what {
            SimEvent::Tick(number, run_number) => {
                if self.instances[number].run_number == run_number {
                    self.schedule(TICK, SimEvent::Tick(number, run_number));
                    self.feed(number, Event::Tick);
                    self.request_join(number);
                }
            }
            SimEvent::Deliver(envelope) => self.deliver(envelope),
            SimEvent::Sync(number, run_number) => {
                if self.instances[number].run_number == run_number {
                    self.sync(number);
                }
            }
            SimEvent::Publish(number, run_number, meta) => {
                if self.instances[number].run_number == run_number {
                    self.publish(number, meta);
                }
            }
            SimEvent::Fetched(number, run_number, from) => {
                if self.instances[number].run_number == run_number {
                    self.fetched(number, from);
                }
            }
            SimEvent::Client(client) => self.client(client),
            SimEvent::Restart(number) => self.start(number),
            SimEvent::Fault => self.fault(),
            SimEvent::Heal => self.conditions.clear(),
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Some(number) = self.owners.get(&envelope.to).copied() else {
            return;
        };
        if let Some(from) = self.owners.get(&envelope.from)
            && self.conditions.is_cut(*from, number)
        {
            return;
        }
        self.feed(number, Event::Message(envelope));
    }

    pub fn feed(&mut self, number: usize, event: Event) {
        let now = self.now;
        if self.instances[number].frozen_until > now {
            // A frozen process answers nothing; its clients resend.
            return;
        }
        let Some(process) = self.process(number) else {
            return;
        };
        let actions = process.replica.handle(now, event);
        for action in actions {
            self.run_action(number, action);
        }
        if let Some(process) = self.instances[number].process.as_ref()
            && process.replica.leads()
        {
            let (term, id) = (process.replica.term(), process.replica.id());
            self.checks.leads(term, id);
        }
    }

    fn run_action(&mut self, number: usize, action: Action) {
        match action {
            Action::Write(write) => {
                let Some(process) = self.process(number) else {
                    return;
                };
                process.written = write.seq;
                let written = process.storage.write(&write);
                self.check_disk_result(number, written);
                self.schedule_sync(number);
            }
            Action::Install { seq, meta, data } => {
                let Some(process) = self.process(number) else {
                    return;
                };
                process.machine = Machine::restore(&data).expect("a snapshot is readable");
                process.snapshot_index = meta.last.index;
                process.written = seq;
                let installed = process.storage.install(&meta, &data);
                self.faults.count("snapshot installed");
                self.check_disk_result(number, installed);
                self.schedule_sync(number);
            }
            Action::Send(envelope) => self.send(number, envelope),
            Action::Apply(entries) => self.apply(number, &entries),
            Action::Accepted { id, entry } => {
                if let Some(process) = self.process(number)
                    && let Some(client_request) = process.pending_requests.remove(&id)
                {
                    process
                        .accepted
                        .insert(entry.index, (entry.term, client_request));
                }
            }
            Action::Refused { id, .. } => self.refused(number, id),
            Action::Confirmed { id, index } => self.confirmed(number, id, index),
            Action::Deposed => {
                if let Some(process) = self.process(number) {
                    process.accepted.clear();
                }
            }
            // `Deposed` follows.
            Action::MajorityLost { .. } | Action::SlowCommit { .. } => {}
            Action::Fetch { from, .. } => self.fetch(number, from),
            Action::Compact(upto) => {
                let Some(process) = self.process(number) else {
                    return;
                };
                let done = process.storage.compact(upto);
                self.check_disk_result(number, done);
            }
            Action::Stop(e) => panic!("instance {number}: {e}"),
        }
    }

    /// A failed write stops the process, as in the service; it restarts later with a working disk.
    fn check_disk_result(&mut self, number: usize, done: Result<(), StorageError>) {
        if let Err(e) = done {
            self.faults.failed_disk(&e);
            self.crash(number, true);
        }
    }

    fn schedule_sync(&mut self, number: usize) {
        let delay = if self.rng.random_bool(self.conditions.slow_sync_rate) {
            self.random_duration(100_000, 900_000)
        } else {
            self.random_duration(100, 4_000)
        };
        let run_number = self.instances[number].run_number;
        let Some(process) = self.process(number) else {
            return;
        };
        if !process.sync_due {
            process.sync_due = true;
            self.schedule(delay, SimEvent::Sync(number, run_number));
        }
    }

    fn sync(&mut self, number: usize) {
        let Some(process) = self.process(number) else {
            return;
        };
        process.sync_due = false;
        let seq = process.written;
        let synced = process.storage.sync();
        let good = synced.is_ok();
        self.check_disk_result(number, synced);
        if good {
            self.feed(number, Event::Synced(seq));
        }
    }

    fn send(&mut self, number: usize, envelope: Envelope) {
        let Some(to) = self.owners.get(&envelope.to).copied() else {
            return;
        };
        if self.conditions.is_cut(number, to) {
            return;
        }
        if self.rng.random_bool(self.conditions.loss_rate) {
            self.faults.count("message lost");
            return;
        }
        if self.rng.random_bool(self.conditions.duplicate_rate) {
            self.faults.count("message doubled");
            let delay = self.delay();
            self.schedule(delay, SimEvent::Deliver(envelope.clone()));
        }
        let delay = self.delay();
        self.schedule(delay, SimEvent::Deliver(envelope));
    }

    fn delay(&mut self) -> Duration {
        let max_delay = self.conditions.max_delay_us;
        self.random_duration(300, max_delay.max(301))
    }

    fn apply(&mut self, number: usize, entries: &[Entry]) {
        for entry in entries {
            self.checks.applied(entry);
            let Some(process) = self.instances[number].process.as_mut() else {
                return;
            };
            let before = process.machine.state.version();
            let answer = process.machine.apply(entry).expect("invariants hold");
            let after = process.machine.state.version();
            self.checks.version(before, after);
            let Some((term, client_request)) = process.accepted.remove(&entry.id.index) else {
                continue;
            };
            if term == entry.id.term {
                self.checks.acknowledged(entry.id);
                self.answer(client_request, &answer);
            }
        }
        self.save(number);
    }

    fn answer(&mut self, client_request: ClientRequest, answer: &Answer) {
        let client = client_request.client;
        if self.clients[client].command_count != client_request.command {
            return;
        }
        if self.rng.random_bool(0.1) {
            self.faults.count("answer lost");
            return;
        }
        self.clients[client].answered(answer, &mut self.checks);
    }

    fn save(&mut self, number: usize) {
        let Some(process) = self.instances[number].process.as_mut() else {
            return;
        };
        let applied = process.machine.state.applied();
        if process.preparing || applied < process.snapshot_index + SNAPSHOT_EVERY {
            return;
        }
        let membership = process.replica.membership_at(applied).cloned();
        let (Some(last), Some(membership)) = (process.replica.id_at(applied), membership) else {
            return;
        };
        process.snapshot_index = applied;
        process.preparing = true;
        let meta = SnapshotMeta { last, membership };
        process.machine.state.check_all().expect("budgets hold");
        let data = process.machine.save().expect("a state can be written");
        let disk = process.storage.disk().clone();
        let prepared = snapshot::prepare(&disk, snapshot::TEMPORARY, &meta, &data);
        self.check_disk_result(number, prepared);
        let run_number = self.instances[number].run_number;
        let delay = self.random_duration(1_000, 300_000);
        self.schedule(delay, SimEvent::Publish(number, run_number, meta));
    }

    fn publish(&mut self, number: usize, meta: SnapshotMeta) {
        let Some(process) = self.process(number) else {
            return;
        };
        process.preparing = false;
        let synced = process.storage.sync();
        let published = synced.and_then(|()| process.storage.publish_snapshot(&meta));
        let good = published.is_ok();
        self.check_disk_result(number, published);
        if good {
            self.feed(number, Event::Saved(meta));
        }
    }

    fn fetch(&mut self, number: usize, from: ReplicaId) {
        let run_number = self.instances[number].run_number;
        let from = self.owners.get(&from).copied().unwrap_or(number);
        let delay = self.random_duration(2_000, 200_000);
        self.schedule(delay, SimEvent::Fetched(number, run_number, from));
    }

    fn fetched(&mut self, number: usize, from: usize) {
        let cut = self.conditions.is_cut(from, number) || self.instances[from].process.is_none();
        let disk = self.instances[from].disk.disk();
        let loaded = snapshot::load(&disk).ok().flatten();
        let Some(snapshot) = loaded.filter(|_| !cut) else {
            if let Some(process) = self.process(number) {
                process.replica.fetch_failed();
            }
            return;
        };
        let meta = snapshot.meta;
        let data = snapshot.data;
        self.feed(number, Event::Fetched { meta, data });
    }

    /// Lets a replica that is not a member ask the leader to join.
    fn request_join(&mut self, number: usize) {
        let Some(process) = self.instances[number].process.as_ref() else {
            return;
        };
        if !process.replica.needs_to_join() {
            return;
        }
        let id = process.replica.id();
        for leader in 0..self.instances.len() {
            let leads = self.process(leader).is_some_and(|p| p.replica.leads());
            if leads && !self.conditions.is_cut(number, leader) {
                let site = site(number);
                self.feed(leader, Event::Join { id, site });
            }
        }
    }

    fn client(&mut self, client: usize) {
        let delay = self.random_duration(2_000, 30_000);
        self.schedule(delay, SimEvent::Client(client));
        let idle = self.clients[client].in_flight.is_none();
        if !idle && self.now < self.resend_at[client] {
            return;
        }
        let now = self.now;
        if !idle {
            // The answer is late: another replica may lead now.
            let all = self.instances.len();
            self.clients[client].target = self.rng.random_range(0..all);
        }
        self.resend_at[client] = now + RESEND_AFTER;
        let command = self.clients[client].command(now, &mut self.rng);
        let reads = self.clients[client].kind == Kind::Reader;
        let target = self.clients[client].target;
        let command_count = self.clients[client].command_count;
        let began = self.checks.newest_acknowledged();
        self.last_request += 1;
        let id = self.last_request;
        let Some(process) = self.process(target) else {
            self.resend_at[client] = Duration::ZERO;
            return;
        };
        let client_request = ClientRequest {
            client,
            command: command_count,
            began,
        };
        process.pending_requests.insert(id, client_request);
        if reads {
            self.feed(target, Event::Read(id));
        } else {
            let data = encode(&command).expect("a command can be written");
            self.feed(target, Event::Propose(vec![Proposal { id, data }]));
        }
    }

    fn refused(&mut self, number: usize, id: RequestId) {
        let client_request = self
            .process(number)
            .and_then(|p| p.pending_requests.remove(&id));
        if let Some(client_request) = client_request {
            self.resend_at[client_request.client] = Duration::ZERO;
        }
    }

    fn confirmed(&mut self, number: usize, id: RequestId, index: LogIndex) {
        let Some(process) = self.process(number) else {
            return;
        };
        let client_request = process.pending_requests.remove(&id);
        let applied = process.machine.state.applied();
        if let Some(client_request) = client_request {
            assert!(applied >= index, "a read was confirmed before its apply");
            self.checks.read(client_request.began, applied);
            self.clients[client_request.client].in_flight = None;
        }
    }

    /// Runs for a time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end && self.step() {}
    }

    /// Runs until a condition holds; false if it does not within the time.
    pub fn run_until(&mut self, time: Duration, f: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end && self.step() {
            if f(self) {
                return true;
            }
        }
        false
    }

    /// Whether an instance considers itself the leader.
    pub fn leads(&self, number: usize) -> bool {
        let process = self.instances[number].process.as_ref();
        process.is_some_and(|process| process.replica.leads())
    }

    /// The leader in the newest term.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..self.instances.len()).filter(|number| self.leads(*number));
        leaders.max_by_key(|number| self.term(*number))
    }

    /// An instance's term, 0 while it is down.
    pub fn term(&self, number: usize) -> Term {
        let process = self.instances[number].process.as_ref();
        process.map_or(0, |process| process.replica.term())
    }

    /// Whether every instance's present disk votes and no membership change is pending.
    pub fn all_disks_vote(&self) -> bool {
        let processes = self.instances.iter().filter_map(|i| i.process.as_ref());
        let Some(leader) = processes.clone().find(|p| p.replica.leads()) else {
            return false;
        };
        let membership = leader.replica.membership();
        let ids: BTreeSet<_> = membership.voters.keys().copied().collect();
        let present: BTreeSet<_> = processes.clone().map(|p| p.replica.id()).collect();
        let committed = leader.replica.committed();
        let settled = leader.replica.membership_at(committed) == Some(membership);
        settled && ids == present && processes.count() == self.instances.len()
    }

    /// Ends all faults and waits until all replicas have the same state.
    pub fn converge(&mut self) {
        self.conditions = Conditions::default();
        self.faults.ended = true;
        let deadline = self.now + Duration::from_mins(2);
        while self.now < deadline {
            self.step();
            if self.steps.is_multiple_of(256) && self.all_disks_vote() && self.states_agree() {
                self.checks.counts.converged += 1;
                self.check_credits();
                return;
            }
        }
        panic!("no progress within two minutes after healing");
    }

    fn states_agree(&self) -> bool {
        let machines = self.instances.iter().filter_map(|i| i.process.as_ref());
        let mut machines = machines.map(|process| &process.machine);
        let Some(first) = machines.next() else {
            return false;
        };
        let newest = self.checks.newest_acknowledged();
        first.state.applied() >= newest && machines.all(|machine| machine == first)
    }

    /// Every top-up that was answered is credited, and none twice.
    fn check_credits(&self) {
        let process = self.instances[0].process.as_ref();
        let state = &process.expect("all run").machine.state;
        let credited: Tokens = state.budgets(None).map(|(_, b)| b.credited).sum();
        let clients = self.clients.iter().filter(|c| c.kind == Kind::TopUps);
        let answered: u64 = clients.clone().map(|c| c.credited).sum();
        let in_flight = clients.filter(|c| c.in_flight.is_some()).count() as u64;
        let possible = (answered * 1_000)..=((answered + in_flight) * 1_000);
        assert!(
            possible.contains(&credited),
            "{credited} not in {possible:?}"
        );
    }
}
