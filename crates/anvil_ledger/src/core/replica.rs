//! One replica of the log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use anvil_world::ids::{InstanceId, LogIndex, Term};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::election::Votes;
use super::leadership::Leadership;
use super::log::Log;
use super::write::{Held, Writes};
use super::{
    Action, CoreError, Entry, EntryId, Envelope, Event, HardState, Membership, Message, Payload,
    ReplicaId, Round, Site, SnapshotMeta,
};

/// How fast replicas notice things, and how much of the log they keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoreSettings {
    /// How often a leader gives a sign of life.
    pub heartbeat: Duration,
    /// How long a follower waits for one at least; it waits for up to twice as long, by chance,
    /// so that two rarely stand for election at the same time. A leader that has not heard from
    /// a majority for this long steps down.
    pub election: Duration,
    /// A leader whose entries wait for a majority for so long leaves the lead to another replica;
    /// `None` keeps it.
    pub slow_commit: Option<Duration>,
    /// Entries kept before a snapshot, so that a follower that lags a little needs no snapshot.
    pub trailing: LogIndex,
}

impl Default for CoreSettings {
    /// Zones are about a millisecond apart; the margin is for a busy machine.
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(600),
            slow_commit: None,
            trailing: 4_096,
        }
    }
}

/// For how long after its start a replica stands for election without a follower's patience, as times of
/// that. Replicas that start together come up within 0.3 s of each other, and need to connect.
const EAGER_TIMES: u32 = 3;

/// What a replica finds on its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// The disk's number.
    pub id: ReplicaId,
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<SnapshotMeta>,
    /// The entry before the first one kept.
    pub base: EntryId,
    /// Entries kept, from `base` on.
    pub entries: Vec<Entry>,
}

#[derive(Debug)]
pub(super) enum Role {
    Follower,
    Trial(Votes),
    Candidate(Votes),
    Leader(Box<Leadership>),
}

/// One replica: a state machine without I/O.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) cfg: CoreSettings,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: Duration,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) committed: LogIndex,
    pub(super) applied: LogIndex,
    /// The membership at each position that changed it; the first one is committed.
    pub(super) memberships: Vec<(LogIndex, Membership)>,
    pub(super) snapshot: Option<SnapshotMeta>,
    pub(super) fetching: Option<EntryId>,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    /// Until when it leaves the lead to others, after it was too slow.
    pub(super) yields_until: Option<Duration>,
    /// The newest term that had a leader, and when this replica first heard of it.
    pub(super) led_since: Option<(Term, Duration)>,
    /// When it first heard of the leader before that one.
    pub(super) led_before: Option<Duration>,
    pub(super) heard: Option<Duration>,
    /// Until when it stands for election without a follower's patience: it has just started, and
    /// has heard from no leader yet.
    pub(super) eager_until: Duration,
    pub(super) deadline: Duration,
    /// Up to where the log is known to be the present leader's.
    pub(super) verified: LogIndex,
    /// The leader's newest confirmation round.
    pub(super) round_seen: Round,
    pub(super) writes: Writes,
    /// Messages that wait for a sync.
    pub(super) held: VecDeque<Held>,
    pub(super) joining: BTreeMap<ReplicaId, Site>,
    pub(super) removing: BTreeSet<InstanceId>,
    pub(super) out: Vec<Action>,
    stopped: Option<CoreError>,
}

impl Replica {
    /// A replica as its disk knows it.
    pub fn new(restored: Restored, cfg: CoreSettings, seed: u64, now: Duration) -> Self {
        let Restored {
            id,
            hard,
            snapshot,
            base,
            entries,
        } = restored;
        let committed = snapshot.as_ref().map_or(0, |meta| meta.last.index);
        let first = snapshot
            .as_ref()
            .map_or_else(Membership::default, |meta| meta.membership.clone());
        let mut memberships = vec![(committed, first)];
        for entry in entries.iter().filter(|entry| entry.id.index > committed) {
            if let Payload::Membership(membership) = &entry.payload {
                memberships.push((entry.id.index, membership.clone()));
            }
        }
        let log = Log::new(base, entries);
        let last = log.last().index;
        let mut replica = Self {
            id,
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            hard,
            log,
            committed,
            applied: committed,
            memberships,
            snapshot,
            fetching: None,
            role: Role::Follower,
            leader: None,
            yields_until: None,
            led_since: None,
            led_before: None,
            heard: None,
            eager_until: now + EAGER_TIMES * cfg.election,
            deadline: now,
            verified: 0,
            round_seen: 0,
            writes: Writes::new(last),
            held: VecDeque::new(),
            joining: BTreeMap::new(),
            removing: BTreeSet::new(),
            out: Vec::new(),
            stopped: None,
        };
        if !replica.is_alone() {
            replica.wait_for_leader();
        }
        replica
    }

    /// Whether it is the only voter: then there is nobody to wait for.
    fn is_alone(&self) -> bool {
        self.votes() && self.membership().voters.len() == 1
    }

    /// Takes one event and says what is to be done about it.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        if self.stopped.is_some() {
            return Vec::new();
        }
        self.now = self.now.max(now);
        if let Err(e) = self.dispatch(event) {
            self.stopped = Some(e.clone());
            self.held.clear();
            return vec![Action::Stop(e)];
        }
        self.flush();
        std::mem::take(&mut self.out)
    }

    fn dispatch(&mut self, event: Event) -> Result<(), CoreError> {
        match event {
            Event::Tick => self.tick(),
            Event::Message(envelope) => return self.receive(envelope),
            Event::Propose(proposals) => self.propose(proposals),
            Event::Read(id) => self.read(id),
            Event::Join { id, site } => {
                self.joining.insert(id, site);
            }
            Event::Remove(instance) => {
                self.removing.insert(instance);
            }
            Event::Found(membership) => self.found(membership),
            Event::Synced(seq) => self.synced(seq),
            Event::Saved(meta) => self.saved(meta),
            Event::Fetched { meta, data } => self.fetched(meta, data),
        }
        Ok(())
    }

    fn tick(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.lead();
        } else if self.now >= self.deadline {
            self.stand_trial();
        }
    }

    fn receive(&mut self, envelope: Envelope) -> Result<(), CoreError> {
        let Envelope {
            ledger,
            from,
            to,
            message,
        } = envelope;
        // A message to a disk that this instance had before must not move this one: its old vote
        // and its old acknowledgements are gone with it.
        let other_ledger = ledger != 0 && self.ledger() != 0 && ledger != self.ledger();
        if to != self.id || other_ledger {
            return Ok(());
        }
        match message {
            Message::AskVote { term, last, trial } => self.asked(from, term, last, trial),
            Message::Vote {
                term,
                trial,
                granted,
            } => self.voted(from, term, trial, granted),
            Message::Append {
                term,
                prev,
                entries,
                committed,
                round,
            } => return self.appended(from, term, prev, entries, committed, round),
            Message::Ack {
                term,
                matched,
                missing,
                round,
            } => self.acked(from, term, matched, missing, round),
            Message::Offer { term, meta, round } => return self.offered(from, term, *meta, round),
        }
        Ok(())
    }

    /// The disk's number.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The newest term seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Whether this replica leads.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Who leads, as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Whether a majority (at the leader) or the leader (elsewhere) was heard of lately.
    pub fn in_touch(&self) -> bool {
        self.leads() || self.heard_leader_lately()
    }

    /// Whether it has to ask to be taken in.
    ///
    /// Failure: a new disk is taken in by a leader that is cut off; the entry that says so never
    /// commits, the next leader knows nothing of it, and the replica waits for ever. It asks on
    /// until it votes, whenever it hears from no leader.
    pub fn seeks_ledger(&self) -> bool {
        !self.votes() && !self.in_touch()
    }

    /// Newest position known to be committed.
    pub fn committed(&self) -> LogIndex {
        self.committed
    }

    /// The last entry held, committed or not.
    pub fn last(&self) -> EntryId {
        self.log.last()
    }

    /// The entry before the first one held.
    pub fn base(&self) -> EntryId {
        self.log.base()
    }

    /// An entry that is still held.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Who votes and who catches up, as of the newest entry.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Who votes and who catches up, as of this committed position.
    pub fn membership_at(&self, index: LogIndex) -> Option<&Membership> {
        let mut newest_first = self.memberships.iter().rev();
        let found = newest_first.find(|(at, _)| *at <= index);
        found.map(|(_, membership)| membership)
    }

    pub(super) fn ledger(&self) -> u64 {
        self.membership().ledger
    }

    /// Whether this replica votes, as of its newest entry.
    pub fn votes(&self) -> bool {
        self.membership().voters.contains_key(&self.id)
    }

    pub(super) fn heard_leader_lately(&self) -> bool {
        let limit = self.cfg.election;
        self.heard.is_some_and(|heard| self.now < heard + limit)
    }

    /// Starts waiting for a sign of life, for a time that differs from the others'.
    ///
    /// Failure: all replicas lose power and are back together. Each waits out a follower's patience
    /// with a leader that none of them has, and callers get neither money nor a routing table
    /// for half a second. One that has just started knows of no leader, so it asks after the time of
    /// two heartbeats, in which a leader that lives would have reached it; whoever hears a leader
    /// refuses the trial, so a replica that restarts alone changes nothing.
    pub(super) fn wait_for_leader(&mut self) {
        let share = self.rng.random_range(1.0..2.0);
        let patience = if self.now < self.eager_until {
            2 * self.cfg.heartbeat
        } else {
            self.cfg.election
        };
        self.deadline = self.now + patience.mul_f64(share);
    }

    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        let ledger = self.ledger();
        let from = self.id;
        self.out.push(Action::Send(Envelope {
            ledger,
            from,
            to,
            message,
        }));
    }

    /// Hands out what is newly committed.
    pub(super) fn apply(&mut self) {
        let entries = self.log.slice(self.applied + 1, self.committed, usize::MAX);
        if let Some(last) = entries.last() {
            self.applied = last.id.index;
            self.out.push(Action::Apply(entries));
        }
    }
}
