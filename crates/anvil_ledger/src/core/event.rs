//! Inputs and outputs of a replica.

use std::time::Duration;

use anvil_world::ids::{InstanceId, LogIndex};
use bytes::Bytes;

use super::{
    CoreError, Entry, EntryId, Envelope, HardState, Membership, ReplicaId, RequestId, Site,
    SnapshotMeta, WriteSeq,
};

/// A command to append to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Number by which the caller identifies the proposal.
    pub id: RequestId,
    /// The encoded command.
    pub data: Bytes,
}

/// Input to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message from another replica.
    Message(Envelope),
    /// Append these commands to the log, with one write.
    Propose(Vec<Proposal>),
    /// Confirm that this replica still leads, for a linearizable read.
    Read(RequestId),
    /// A replica with a new disk asks to become a member, or a member has a new address.
    Join {
        /// Identifier of its disk.
        id: ReplicaId,
        /// Instance and address.
        site: Site,
    },
    /// An operator removes an instance's replicas for good.
    Remove(InstanceId),
    /// Found a ledger with these voters. Only for a replica that belongs to none.
    Found(Membership),
    /// All writes up to this one are synced.
    Synced(WriteSeq),
    /// A snapshot of this replica's state is on its disk.
    Saved(SnapshotMeta),
    /// The snapshot requested by [`Action::Fetch`] has been received.
    Fetched {
        /// Position and membership of the snapshot.
        meta: SnapshotMeta,
        /// The encoded state.
        data: Bytes,
    },
}

/// One write to disk. Its entries replace whatever the disk holds from the position of the first
/// one on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Sequence number; writes are carried out in this order.
    pub seq: WriteSeq,
    /// The new hard state, if it changed.
    pub hard: Option<HardState>,
    /// The entry before the first new one.
    pub prev: EntryId,
    /// New entries, in order.
    pub entries: Vec<Entry>,
}

/// Why a request was refused; nothing was appended to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Another replica leads.
    NotLeader(ReplicaId),
    /// No leader is known.
    NoLeader,
    /// Too many entries wait for a majority already.
    Backlog,
}

/// Output of a replica, to be carried out in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write and sync, then report [`Event::Synced`].
    Write(Write),
    /// Replace log and state by this snapshot, sync, then report [`Event::Synced`].
    Install {
        /// Sequence number among the writes.
        seq: WriteSeq,
        /// Position and membership of the snapshot.
        meta: SnapshotMeta,
        /// The encoded state.
        data: Bytes,
    },
    /// Send a message to another replica.
    Send(Envelope),
    /// These entries are committed: apply them.
    Apply(Vec<Entry>),
    /// A proposal was appended at this position; it is committed only once it appears in `Apply`.
    Accepted {
        /// Number of the proposal.
        id: RequestId,
        /// Its place in the log.
        entry: EntryId,
    },
    /// A proposal or read was refused.
    Refused {
        /// Number of the request.
        id: RequestId,
        /// Reason.
        why: Refused,
    },
    /// A read may be answered from the state as soon as this position is applied.
    Confirmed {
        /// Number of the read.
        id: RequestId,
        /// Position that has to be applied first.
        index: LogIndex,
    },
    /// This replica no longer leads: proposals that were accepted and not applied are in doubt.
    Deposed,
    /// This replica is about to step down: too few voters have responded recently.
    MajorityLost {
        /// Voters that have responded, this replica among them.
        heard: usize,
        /// All voters.
        voters: usize,
    },
    /// This replica is about to hand over leadership: an entry has waited too long for a majority.
    SlowCommit {
        /// Position of the entry.
        index: LogIndex,
        /// How long it has waited.
        waited: Duration,
    },
    /// Fetch this snapshot from another replica, then report [`Event::Fetched`].
    Fetch {
        /// The replica that offers it.
        from: ReplicaId,
        /// Position and membership of the snapshot.
        meta: SnapshotMeta,
    },
    /// Entries up to this position are no longer needed.
    Compact(LogIndex),
    /// An invariant is violated; the replica ignores all further events.
    Stop(CoreError),
}
