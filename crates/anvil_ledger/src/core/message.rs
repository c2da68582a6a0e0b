//! Messages between replicas.

use anvil_world::ids::{LogIndex, Term};
use serde::{Deserialize, Serialize};

use super::{Entry, EntryId, LedgerId, ReplicaId, Round, SnapshotMeta};

/// A message with sender and receiver. A replica drops a message addressed to another disk than its
/// own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's ledger; 0 from a replica that has joined none yet.
    pub ledger: LedgerId,
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Contents.
    pub message: Message,
}

/// Message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A candidate's request for a vote, or for a pre-vote.
    AskVote {
        /// The term that the candidate runs for.
        term: Term,
        /// The candidate's last entry.
        last: EntryId,
        /// Whether this is a pre-vote, which changes no term and no vote at the receiver.
        trial: bool,
    },
    /// Answer to `AskVote`.
    Vote {
        /// The requested term, or the receiver's own newer one.
        term: Term,
        /// Whether this answers a pre-vote.
        trial: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader; without entries it is a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one sent.
        prev: EntryId,
        /// The entries after `prev`.
        entries: Vec<Entry>,
        /// Newest committed position.
        committed: LogIndex,
        /// Newest read confirmation round.
        round: Round,
    },
    /// Answer to `Append` and `Offer`.
    Ack {
        /// The answering replica's term.
        term: Term,
        /// Position up to which the disk of the answering replica is known to match the leader's
        /// log.
        matched: LogIndex,
        /// Position after which the leader should retry, if `prev` was not found.
        missing: Option<LogIndex>,
        /// Newest read confirmation round received.
        round: Round,
    },
    /// The entries that the follower lacks are compacted; it has to fetch this snapshot from the
    /// sender.
    Offer {
        /// The leader's term.
        term: Term,
        /// Position and membership of the snapshot.
        meta: Box<SnapshotMeta>,
        /// Newest read confirmation round.
        round: Round,
    },
}

impl Message {
    /// The term in the message.
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
