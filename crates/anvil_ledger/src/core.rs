//! The replicated log, without I/O.
//!
//! A [`Replica`] is fed [`Event`]s and returns [`Action`]s; time is passed in and randomness is
//! seeded, so that a long randomised run replays from its seed. What the entries hold is opaque.
//!
//! * [`entry`]: what the log is made of. [`membership`]: who votes and who catches up.
//! * [`message`]: what replicas tell each other. [`event`]: what goes in and comes out.
//! * [`replica`]: the state machine; elections, replication, reads, membership changes and
//!   snapshots are in the files beside it.

mod change;
mod election;
pub mod entry;
mod error;
pub mod event;
mod follow;
mod lead;
mod leadership;
mod log;
pub mod membership;
pub mod message;
mod read;
pub mod replica;
mod snapshot;
mod write;

pub use entry::{Entry, EntryId, HardState, Payload, SnapshotMeta};
pub use error::CoreError;
pub use event::{Action, Event, Proposal, Refused, Write};
pub use membership::{Membership, Site};
pub use message::{Envelope, Message};
pub use replica::{CoreSettings, Replica, Restored};

/// Random number of a replica's disk, made when the data folder is founded. Never made again:
/// an emptied disk is a new replica, so it can't give the vote of the old one a second time.
pub type ReplicaId = u64;
/// Random number of a ledger, made when it is founded.
pub type LedgerId = u64;
/// Running number of a replica's writes to its disk.
pub type WriteSeq = u64;
/// Number that the shell gives a proposal or a read.
pub type RequestId = u64;
/// Running number of a leader's confirmation rounds.
pub type Round = u64;
