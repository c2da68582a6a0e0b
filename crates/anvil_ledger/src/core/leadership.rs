//! What a leader keeps of its followers and readers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use anvil_world::ids::LogIndex;

use super::{ReplicaId, RequestId, Round};

/// What a leader knows of one replica.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Up to where its disk holds the leader's log.
    pub matched: LogIndex,
    /// The next entry to send.
    pub next: LogIndex,
    /// Whether `next` is a guess: then one message at a time.
    pub probing: bool,
    /// When it last answered in this term.
    pub heard: Duration,
    /// The newest confirmation round it answered.
    pub round: Round,
}

/// A read that waits for its round.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRead {
    pub id: RequestId,
    /// The round that confirms it: the first one that begins after it came.
    pub round: Round,
    /// The position from which on it may be answered.
    pub index: LogIndex,
}

#[derive(Debug)]
pub(super) struct Leadership {
    pub progress: BTreeMap<ReplicaId, Progress>,
    /// The first entry of this term.
    pub first: LogIndex,
    pub next_heartbeat: Duration,
    /// An entry that was not committed when it was last looked, and since when it has been waited for.
    pub waiting: Option<(LogIndex, Duration)>,
    /// How long the last entries in a row waited that were slow; zero after one that wasn't.
    pub slow_for: Duration,
    pub round: Round,
    pub reads: VecDeque<WaitingRead>,
    /// Reads from before the first entry of this term was committed.
    pub early: Vec<RequestId>,
}

impl Leadership {
    pub fn new(replicas: impl Iterator<Item = ReplicaId>, first: LogIndex, now: Duration) -> Self {
        let mut lead = Self {
            progress: BTreeMap::new(),
            first,
            next_heartbeat: now,
            waiting: None,
            slow_for: Duration::ZERO,
            round: 0,
            reads: VecDeque::new(),
            early: Vec::new(),
        };
        for id in replicas {
            lead.welcome(id, first, now);
        }
        lead
    }

    /// An entry was committed after this wait, where one was waited for.
    pub fn committed_after(&mut self, waited: Option<Duration>, slow: Duration) {
        match waited {
            Some(waited) if waited >= slow => self.slow_for += waited,
            Some(_) => self.slow_for = Duration::ZERO,
            None => {}
        }
    }

    /// Starts keeping track of a replica.
    pub fn welcome(&mut self, id: ReplicaId, next: LogIndex, now: Duration) {
        self.progress.entry(id).or_insert(Progress {
            matched: 0,
            next,
            probing: true,
            heard: now,
            round: 0,
        });
    }
}
