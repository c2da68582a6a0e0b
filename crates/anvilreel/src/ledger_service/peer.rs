//! Requests between replicas.

use anvil_ledger::core::{Envelope, LedgerId, ReplicaId, Site, SnapshotMeta};
use anvil_wire::Call;
use anvil_world::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A call from one replica to another.
pub struct PeerCall;

impl Call for PeerCall {
    const PATH: &'static str = "/peer";
    type Req = PeerRequest;
    type Resp = PeerReply;
}

/// Request from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests the replica's identity. Reply: `Hello`.
    Hello,
    /// Subscribes to the replica's messages. Replies: `Envelopes`, until the call is dropped.
    Listen {
        /// Identifier of the caller's disk.
        id: ReplicaId,
    },
    /// Asks to be added as a learner. Reply: `Joining` or `NotLeader`.
    Join {
        /// Identifier of the caller's disk.
        id: ReplicaId,
        /// The caller's instance and address.
        site: Site,
    },
    /// Removes this instance's replica for good. Reply: `Removing` or `NotLeader`.
    Remove(InstanceId),
    /// Requests the newest snapshot. Replies: `Snapshot`, then `Chunk`s.
    Fetch,
    /// Requests which commands the replica applies. Reply: `CommandKinds`.
    CommandKinds,
    /// Requests whether the replica may found a ledger. Reply: `MayFound`.
    MayFound,
}

/// Identity of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Identifier of its disk.
    pub id: ReplicaId,
    /// Its instance.
    pub instance: InstanceId,
    /// The ledger it belongs to; 0 if its disk is empty.
    pub ledger: LedgerId,
}

/// Reply of a replica to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Identity of the replica.
    Hello(Hello),
    /// Messages of the core, in order.
    Envelopes(Vec<Envelope>),
    /// The leader will add the caller.
    Joining,
    /// The leader will remove the instance as soon as that is safe.
    Removing,
    /// Another replica leads.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
    },
    /// Position and membership of the snapshot whose chunks follow.
    Snapshot(SnapshotMeta),
    /// Part of the snapshot's data.
    Chunk(Bytes),
    /// There is no readable snapshot, or the replica task has ended.
    Nothing,
    /// Number of kinds of commands that the replica applies.
    CommandKinds(u32),
    /// Whether the process was started to found a ledger, and not to join one.
    MayFound(bool),
}
