//! Log entries, and the state that a replica persists beside them.

use anvil_world::ids::{LogIndex, Term};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Membership, ReplicaId};

/// Term and log position. The order is that of Raft's log comparison: by term, then by position.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EntryId {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Log position, from 1; 0 stands for the position before the first entry.
    pub index: LogIndex,
}

/// Contents of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation; a new leader commits one, because entries of older terms are committed only
    /// below an entry of its own term.
    Blank,
    /// An opaque command.
    Data(Bytes),
    /// The membership in force from this entry on.
    Membership(Membership),
}

/// One log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and position.
    pub id: EntryId,
    /// Contents.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in a message, in bytes.
    pub fn weight(&self) -> usize {
        const FRAME: usize = 32;
        match &self.payload {
            Payload::Blank => FRAME,
            Payload::Data(data) => FRAME + data.len(),
            Payload::Membership(membership) => FRAME + 64 * membership.len(),
        }
    }
}

/// What a replica has to persist besides its entries before it answers anyone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// Candidate that received this replica's vote in that term.
    pub vote: Option<ReplicaId>,
}

/// Log position and membership that a snapshot covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The last entry covered.
    pub last: EntryId,
    /// The membership at that entry.
    pub membership: Membership,
}
