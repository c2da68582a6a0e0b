//! What the log is made of.

use anvil_world::ids::{LogIndex, Term};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Membership, ReplicaId};

/// Term and position. Ordered as logs are compared in elections: by term, then by position.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EntryId {
    /// Term of the leader that made it.
    pub term: Term,
    /// Position, from 1; 0 stands before the first entry.
    pub index: LogIndex,
}

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits one to learn what is committed.
    Blank,
    /// An opaque command.
    Data(Bytes),
    /// Who votes from here on.
    Membership(Membership),
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub id: EntryId,
    /// What it holds.
    pub payload: Payload,
}

impl Entry {
    /// About how many bytes it takes in a message.
    pub fn weight(&self) -> usize {
        const FRAME: usize = 32;
        match &self.payload {
            Payload::Blank => FRAME,
            Payload::Data(data) => FRAME + data.len(),
            Payload::Membership(membership) => FRAME + 64 * membership.len(),
        }
    }
}

/// What a replica must never forget, besides its entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term it has seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// What a snapshot stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The last entry it covers.
    pub last: EntryId,
    /// Who votes at that entry.
    pub membership: Membership,
}
