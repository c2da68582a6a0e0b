//! What replicas tell each other.

use anvil_world::ids::{LogIndex, Term};
use serde::{Deserialize, Serialize};

use super::{Entry, EntryId, LedgerId, ReplicaId, Round, SnapshotMeta};

/// A message with its way. One addressed to another disk than the receiver's is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Which ledger; 0 from a replica that has joined none yet.
    pub ledger: LedgerId,
    /// Who sent it.
    pub from: ReplicaId,
    /// Whose it is.
    pub to: ReplicaId,
    /// What it says.
    pub message: Message,
}

/// What one replica tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me (`trial`), or: vote for me.
    AskVote {
        /// The term I stand for.
        term: Term,
        /// My last entry.
        last: EntryId,
        /// Whether this only asks; it changes nothing at the receiver.
        trial: bool,
    },
    /// Answer to `AskVote`.
    Vote {
        /// The term that was asked about, or the receiver's own newer one.
        term: Term,
        /// Whether the question was a trial.
        trial: bool,
        /// Yes or no.
        granted: bool,
    },
    /// The leader's entries; without entries, a sign of life.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one sent.
        prev: EntryId,
        /// What follows it.
        entries: Vec<Entry>,
        /// Newest committed position.
        committed: LogIndex,
        /// Newest confirmation round.
        round: Round,
    },
    /// Answer to `Append` and `Offer`.
    Ack {
        /// The receiver's term.
        term: Term,
        /// Up to where its disk holds the leader's log.
        matched: LogIndex,
        /// Where the leader should try, when `prev` was not there.
        missing: Option<LogIndex>,
        /// The confirmation round it has seen.
        round: Round,
    },
    /// The entries that you lack are gone; fetch this snapshot from me.
    Offer {
        /// The leader's term.
        term: Term,
        /// What it stands for.
        meta: Box<SnapshotMeta>,
        /// Newest confirmation round.
        round: Round,
    },
}

impl Message {
    /// The term it speaks of.
    pub fn term(&self) -> Term {
        match self {
            Self::AskVote { term, .. }
            | Self::Vote { term, .. }
            | Self::Append { term, .. }
            | Self::Ack { term, .. }
            | Self::Offer { term, .. } => *term,
        }
    }
}
