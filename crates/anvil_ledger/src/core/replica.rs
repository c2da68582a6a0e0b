//! One replica of the log: its state, and the dispatch of events to the handlers in the other
//! files.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use anvil_world::ids::{InstanceId, LogIndex, Term};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::election::Votes;
use super::leadership::Leadership;
use super::log::Log;
use super::own_pauses::OwnPauses;
use super::sync_times::SyncTimes;
use super::write::{HeldMessage, Writes};
use super::{
    Action, CoreError, Entry, EntryId, Envelope, Event, HardState, Membership, Message, Payload,
    ReplicaId, Round, Site, SnapshotMeta,
};

/// Timing of a replica, and how much of the log it keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoreSettings {
    /// Interval of a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Election timeout. A follower waits between once and twice this long for a heartbeat, at
    /// random, so that two rarely become candidates at the same time. A leader that has not heard
    /// from a majority for this long steps down.
    pub election_timeout: Duration,
    /// A leader whose entries wait this long for a majority hands over leadership; `None` disables
    /// that.
    pub slow_commit_limit: Option<Duration>,
    /// Entries kept before a snapshot, so that a follower that lags a little needs no snapshot.
    pub trailing_entries: LogIndex,
}

impl Default for CoreSettings {
    /// Zones are about a millisecond apart; the margin is for a busy machine.
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(600),
            slow_commit_limit: None,
            trailing_entries: 4_096,
        }
    }
}

/// Time after its start, in election timeouts, in which a replica waits only for two heartbeats
/// before it starts a pre-vote. Replicas that start together come up within 0.3 s of each other,
/// and need to connect.
const STARTUP_ELECTION_TIMEOUTS: u32 = 3;

/// Syncs of an election, one after the other: the candidate's, and those of its voters.
const ELECTION_SYNCS: u32 = 2;
/// Maximum addition to the election timeout for slow syncs.
const MAX_SYNC_ALLOWANCE: Duration = Duration::from_secs(2);

/// What a replica recovers from its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// Identifier of the disk.
    pub id: ReplicaId,
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<SnapshotMeta>,
    /// The entry before the first one kept.
    pub base: EntryId,
    /// Entries kept, after `base`.
    pub entries: Vec<Entry>,
}

#[derive(Debug)]
pub(super) enum Role {
    Follower,
    PreCandidate {
        trial: Votes,
        /// Votes in an election of the present term that it has not given up.
        votes: Votes,
    },
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
    /// Newest position that a leader has announced as committed.
    pub(super) announced: LogIndex,
    pub(super) applied: LogIndex,
    /// The membership at each position that changed it; the first one is committed.
    pub(super) memberships: Vec<(LogIndex, Membership)>,
    pub(super) snapshot: Option<SnapshotMeta>,
    pub(super) fetching: Option<EntryId>,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    /// End of the pause in which it does not become a candidate, after it handed over leadership.
    pub(super) candidacy_paused_until: Option<Duration>,
    /// The term in which this replica has voted since its start, until a leader of it is known.
    pub(super) undecided_vote: Option<Term>,
    /// The newest term that had a leader, and when this replica first learned of it.
    pub(super) leader_since: Option<(Term, Duration)>,
    /// When this replica first learned of the leader before that one.
    pub(super) previous_leader_since: Option<Duration>,
    pub(super) last_leader_contact: Option<Duration>,
    /// End of the time after its start in which it becomes a candidate early. Zero once it has
    /// received a message from a leader.
    pub(super) fast_election_until: Duration,
    pub(super) election_deadline: Duration,
    pub(super) own_pauses: OwnPauses,
    /// Until when this replica leads although no majority has responded, after a pause of its own.
    pub(super) majority_awaited_until: Duration,
    /// Position up to which the log is known to match the present leader's.
    pub(super) verified: LogIndex,
    /// The leader's newest read confirmation round.
    pub(super) newest_round: Round,
    pub(super) writes: Writes,
    pub(super) sync_times: SyncTimes,
    /// Messages that wait for a sync.
    pub(super) held: VecDeque<HeldMessage>,
    pub(super) joining: BTreeMap<ReplicaId, Site>,
    pub(super) removing: BTreeSet<InstanceId>,
    pub(super) out: Vec<Action>,
    stopped: Option<CoreError>,
}

impl Replica {
    /// A replica with the state recovered from its disk.
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
            announced: committed,
            applied: committed,
            memberships,
            snapshot,
            fetching: None,
            role: Role::Follower,
            leader: None,
            candidacy_paused_until: None,
            undecided_vote: None,
            leader_since: None,
            previous_leader_since: None,
            last_leader_contact: None,
            fast_election_until: now + STARTUP_ELECTION_TIMEOUTS * cfg.election_timeout,
            election_deadline: now,
            own_pauses: OwnPauses::since(now),
            majority_awaited_until: now,
            verified: 0,
            newest_round: 0,
            writes: Writes::new(last),
            sync_times: SyncTimes::default(),
            held: VecDeque::new(),
            joining: BTreeMap::new(),
            removing: BTreeSet::new(),
            out: Vec::new(),
            stopped: None,
        };
        if !replica.is_sole_voter() {
            replica.wait_for_leader();
        }
        replica
    }

    /// Whether this replica is the only voter: then it has nobody to wait for.
    fn is_sole_voter(&self) -> bool {
        self.is_voter() && self.membership().voters.len() == 1
    }

    /// Handles one event and returns the actions it calls for.
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
            Event::Found(membership) => self.found_ledger(membership),
            Event::Synced(seq) => self.synced(seq),
            Event::Saved(meta) => self.on_saved(meta),
            Event::Fetched { meta, data } => self.on_fetched(meta, data),
        }
        Ok(())
    }

    fn tick(&mut self) {
        self.allow_for_own_pause();
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_deadline && !self.writes.hard_pending() {
            self.start_pre_vote();
        }
    }

    /// Waits longer for the others after a pause of this process.
    fn allow_for_own_pause(&mut self) {
        let interval = self.cfg.heartbeat_interval;
        let allowance = self.own_pauses.allowance(self.now, interval);
        if allowance.is_zero() {
            return;
        }
        let until = self.now + allowance;
        if self.leads() {
            self.majority_awaited_until = until;
        } else if self.now >= self.election_deadline {
            self.election_deadline = until;
        }
    }

    fn receive(&mut self, envelope: Envelope) -> Result<(), CoreError> {
        let Envelope {
            ledger,
            from,
            to,
            message,
        } = envelope;
        // A message to a disk that this instance had before must not reach this one: the old disk's
        // vote and acknowledgements are lost with it.
        let other_ledger = ledger != 0 && self.ledger() != 0 && ledger != self.ledger();
        if to != self.id || other_ledger {
            return Ok(());
        }
        match message {
            Message::AskVote { term, last, trial } => self.on_vote_request(from, term, last, trial),
            Message::Vote {
                term,
                trial,
                granted,
            } => self.on_vote(from, term, trial, granted),
            Message::Append {
                term,
                prev,
                entries,
                committed,
                round,
            } => return self.on_append(from, term, prev, entries, committed, round),
            Message::Ack {
                term,
                matched,
                missing,
                round,
            } => self.on_ack(from, term, matched, missing, round),
            Message::Offer { term, meta, round } => {
                return self.on_offer(from, term, *meta, round);
            }
        }
        Ok(())
    }

    /// Identifier of the disk.
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

    /// Whether this replica leads and has committed an entry of its term, so that it knows all
    /// entries that earlier leaders have committed.
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(lead) if self.committed >= lead.first)
    }

    /// The leader, as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Whether this replica leads, or had contact with the leader within the election timeout.
    pub fn is_connected(&self) -> bool {
        self.leads() || self.has_recent_leader_contact()
    }

    /// Whether this replica is connected, as a leader to a majority, and holds all that is known to be committed
    /// in the present term.
    ///
    /// A replica that hears the leader may lack entries, and a new leader may not know yet that an entry is
    /// committed: until it has committed one of its own term, neither it nor its followers can tell.
    pub fn is_current(&self) -> bool {
        let hears_ledger = if self.leads() {
            self.majority_responds()
        } else {
            self.has_recent_leader_contact()
        };
        let term = self.log.term_at(self.committed);
        hears_ledger && self.committed >= self.announced && term == Some(self.hard.term)
    }

    /// Whether this replica has to ask for membership.
    ///
    /// A leader that is cut off may add a new disk; that entry never commits, the next leader does
    /// not know it, and the replica would wait for ever. So it asks again whenever it has no
    /// contact with a leader, until it is a voter.
    pub fn needs_to_join(&self) -> bool {
        !self.is_voter() && !self.is_connected()
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

    /// The entry at a position, if it is still held.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The membership as of the newest entry, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// The membership as of this committed position.
    pub fn membership_at(&self, index: LogIndex) -> Option<&Membership> {
        let mut newest_first = self.memberships.iter().rev();
        let found = newest_first.find(|(at, _)| *at <= index);
        found.map(|(_, membership)| membership)
    }

    pub(super) fn ledger(&self) -> u64 {
        self.membership().ledger
    }

    /// Whether this replica is a voter, as of its newest entry.
    pub fn is_voter(&self) -> bool {
        self.membership().voters.contains_key(&self.id)
    }

    pub(super) fn has_recent_leader_contact(&self) -> bool {
        let limit = self.cfg.election_timeout;
        self.last_leader_contact
            .is_some_and(|contact| self.now < contact + limit)
    }

    /// Restarts the election timer, with a random timeout.
    ///
    /// When all replicas lose power and restart together, a full election timeout would delay
    /// grants and routing tables by half a second, although there is no leader to wait for. A
    /// replica that has just started therefore waits only for the time of two heartbeats, in which
    /// a live leader would have reached it. Replicas with recent leader contact refuse the
    /// pre-vote, so a single restart changes nothing.
    pub(super) fn wait_for_leader(&mut self) {
        let factor = self.rng.random_range(1.0..2.0);
        let syncs = (ELECTION_SYNCS * self.sync_times.expected(self.now)).min(MAX_SYNC_ALLOWANCE);
        let timeout = if self.now < self.fast_election_until {
            2 * self.cfg.heartbeat_interval
        } else {
            self.cfg.election_timeout
        };
        self.election_deadline = self.now + syncs + timeout.mul_f64(factor);
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

    /// Hands out the newly committed entries.
    pub(super) fn apply(&mut self) {
        let entries = self.log.slice(self.applied + 1, self.committed, usize::MAX);
        if let Some(last) = entries.last() {
            self.applied = last.id.index;
            self.out.push(Action::Apply(entries));
        }
    }
}
