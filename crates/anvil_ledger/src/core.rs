//! The replicated log: leader election, replication, membership changes and snapshots in the manner
//! of Raft, without I/O.
//!
//! A [`Replica`] is fed [`Event`]s and returns [`Action`]s for its caller to carry out. Time is
//! passed in and randomness is seeded, so that a randomised run replays from its seed. The contents
//! of entries are opaque here.
//!
//! * [`entry`]: log entries, hard state, snapshot metadata. [`membership`]: voters and learners.
//! * [`message`]: messages between replicas. [`event`]: inputs and outputs of a replica.
//! * [`replica`]: the state machine; elections, replication, reads, membership changes and
//!   snapshots are in the files beside it.

mod election;
pub mod entry;
mod error;
pub mod event;
mod follower;
mod leader;
mod leadership;
mod log;
pub mod membership;
mod membership_change;
pub mod message;
mod own_pauses;
mod read;
pub mod replica;
mod snapshot;
mod sync_times;
mod write;

pub use entry::{Entry, EntryId, HardState, Payload, SnapshotMeta};
pub use error::CoreError;
pub use event::{Action, Event, Proposal, Refused, Write};
pub use membership::{Membership, Site};
pub use message::{Envelope, Message};
pub use replica::{CoreSettings, Replica, Restored};

/// Random identifier of a replica's disk, drawn when its data folder is created and never reused:
/// an instance with an emptied disk is a new replica, so it can't cast the old replica's vote a
/// second time.
pub type ReplicaId = u64;
/// Random identifier of a ledger, drawn when it is founded.
pub type LedgerId = u64;
/// Sequence number of a replica's disk writes.
pub type WriteSeq = u64;
/// Number that the caller assigns to a proposal or a read.
pub type RequestId = u64;
/// Sequence number of a leader's read confirmation rounds.
pub type Round = u64;
