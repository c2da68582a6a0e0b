//! What goes into a replica and what comes out.

use std::time::Duration;

use anvil_world::ids::{InstanceId, LogIndex};
use bytes::Bytes;

use super::{
    CoreError, Entry, EntryId, Envelope, HardState, Membership, ReplicaId, RequestId, Site,
    SnapshotMeta, WriteSeq,
};

/// A command that someone wants in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Under which the shell knows it.
    pub id: RequestId,
    /// The command.
    pub data: Bytes,
}

/// What happens to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Another replica says something.
    Message(Envelope),
    /// Put these into the log, with one write.
    Propose(Vec<Proposal>),
    /// Confirm that this replica still leads.
    Read(RequestId),
    /// A replica with an empty disk wants to belong to the ledger, or one that belongs to it is
    /// reached at another address now.
    Join {
        /// Its disk.
        id: ReplicaId,
        /// Where it runs.
        site: Site,
    },
    /// An operator takes an instance's replica out for good.
    Remove(InstanceId),
    /// Begin a ledger with these voters. Only for a replica that belongs to none.
    Found(Membership),
    /// All writes up to this one are synced.
    Synced(WriteSeq),
    /// A snapshot of this replica's state is on its disk.
    Saved(SnapshotMeta),
    /// The snapshot asked for by [`Action::Fetch`] is here.
    Fetched {
        /// What it stands for.
        meta: SnapshotMeta,
        /// The state.
        data: Bytes,
    },
}

/// One write to disk. Entries replace whatever the disk holds from the first one's position on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Its number; writes are carried out in order.
    pub seq: WriteSeq,
    /// The new hard state, when it changed.
    pub hard: Option<HardState>,
    /// The entry before the first new one.
    pub prev: EntryId,
    /// New entries, in order.
    pub entries: Vec<Entry>,
}

/// Why a request was not taken; nothing was put into the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Another replica leads.
    NotLeader(ReplicaId),
    /// No leader is known.
    NoLeader,
    /// Too much waits for a majority already.
    Backlog,
}

/// What a replica wants done, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write and sync, then report [`Event::Synced`].
    Write(Write),
    /// Replace log and state by this snapshot, sync, then report [`Event::Synced`].
    Install {
        /// Its number among the writes.
        seq: WriteSeq,
        /// What it stands for.
        meta: SnapshotMeta,
        /// The state.
        data: Bytes,
    },
    /// Tell another replica.
    Send(Envelope),
    /// These are committed: apply them.
    Apply(Vec<Entry>),
    /// A proposal stands in the log at this place; committed only when it comes by in `Apply`.
    Accepted {
        /// Which.
        id: RequestId,
        /// Where.
        entry: EntryId,
    },
    /// A proposal or read was not taken.
    Refused {
        /// Which.
        id: RequestId,
        /// Why.
        why: Refused,
    },
    /// A read may be answered from the state as soon as this position is applied.
    Confirmed {
        /// Which.
        id: RequestId,
        /// From which position on.
        index: LogIndex,
    },
    /// This replica leads no more: what was accepted and not applied is in doubt.
    Deposed,
    /// This replica is about to lead no more: too few voters have answered it lately.
    MajorityLost {
        /// How many have, this replica among them.
        heard: usize,
        /// How many vote.
        voters: usize,
    },
    /// This replica is about to leave the lead to others: an entry waits for a majority for too long.
    Yields {
        /// Its position.
        index: LogIndex,
        /// For how long.
        waited: Duration,
    },
    /// Get this snapshot from that replica and report [`Event::Fetched`].
    Fetch {
        /// From whom.
        from: ReplicaId,
        /// Which.
        meta: SnapshotMeta,
    },
    /// Entries up to this position are needed no more.
    Compact(LogIndex),
    /// An invariant does not hold; the replica does nothing any more.
    Stop(CoreError),
}
