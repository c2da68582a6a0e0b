//! State that a replica keeps only while it leads: its followers' progress and waiting reads.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use anvil_world::ids::LogIndex;

use super::{ReplicaId, RequestId, Round};

/// A follower's progress, as far as the leader knows.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Position up to which its disk is known to match the leader's log.
    pub matched: LogIndex,
    /// Position of the next entry to send.
    pub next: LogIndex,
    /// Whether `next` is a guess: then one message at a time is sent.
    pub probing: bool,
    /// When it last answered in this term.
    pub last_response: Duration,
    /// The newest read confirmation round it acknowledged.
    pub round: Round,
}

/// A read that waits for its confirmation round.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRead {
    pub id: RequestId,
    /// The round that confirms it: the first one that begins after the read arrived.
    pub round: Round,
    /// Position that has to be applied before the read is answered.
    pub index: LogIndex,
}

#[derive(Debug)]
pub(super) struct Leadership {
    pub progress: BTreeMap<ReplicaId, Progress>,
    /// Position of the first entry of this term.
    pub first: LogIndex,
    pub next_heartbeat: Duration,
    /// Position of an entry that was not committed at an earlier tick, and since when its commit is
    /// awaited.
    pub commit_wait: Option<(LogIndex, Duration)>,
    /// For how long the leader's own disk has lacked that entry.
    pub own_disk_wait: Duration,
    /// Total wait of the most recent slow entries in a row; zero after one that was not slow.
    pub slow_total: Duration,
    pub round: Round,
    pub reads: VecDeque<WaitingRead>,
    /// Reads that arrived before the first entry of this term was committed.
    pub early_reads: Vec<RequestId>,
}

impl Leadership {
    pub fn new(replicas: impl Iterator<Item = ReplicaId>, first: LogIndex, now: Duration) -> Self {
        let mut lead = Self {
            progress: BTreeMap::new(),
            first,
            next_heartbeat: now,
            commit_wait: None,
            own_disk_wait: Duration::ZERO,
            slow_total: Duration::ZERO,
            round: 0,
            reads: VecDeque::new(),
            early_reads: Vec::new(),
        };
        for id in replicas {
            lead.track(id, first, now);
        }
        lead
    }

    /// Records whether the leader's own disk still lacks the awaited entry.
    pub fn record_own_disk(&mut self, durable: LogIndex, now: Duration) {
        if let Some((_, since)) = self.commit_wait.filter(|(index, _)| durable < *index) {
            self.own_disk_wait = now.saturating_sub(since);
        }
    }

    /// Records how long the last awaited entry took to commit, if one was awaited. One for which the leader's
    /// own disk was slow says nothing about its links.
    pub fn record_commit_wait(&mut self, waited: Option<Duration>, slow: Duration) {
        match waited.filter(|_| self.own_disk_wait < slow) {
            Some(waited) if waited >= slow => self.slow_total += waited,
            Some(_) => self.slow_total = Duration::ZERO,
            None => {}
        }
    }

    /// Adds a replica whose progress is unknown.
    pub fn track(&mut self, id: ReplicaId, next: LogIndex, now: Duration) {
        self.progress.entry(id).or_insert(Progress {
            matched: 0,
            next,
            probing: true,
            last_response: now,
            round: 0,
        });
    }
}
