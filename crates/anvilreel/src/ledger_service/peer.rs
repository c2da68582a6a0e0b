//! What replicas ask of each other.

use anvil_ledger::core::{Envelope, LedgerId, ReplicaId, Site, SnapshotMeta};
use anvil_wire::Call;
use anvil_world::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Exchange between replicas.
pub struct PeerCall;

impl Call for PeerCall {
    const PATH: &'static str = "/peer";
    type Req = PeerRequest;
    type Resp = PeerReply;
}

/// What one replica asks of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Who are you? Reply: `Hello`.
    Hello,
    /// Send me what you have to tell me, as it comes. Replies: `Envelope`s, until dropped.
    Listen {
        /// The asker's disk.
        id: ReplicaId,
    },
    /// Take me in as a learner. Reply: `Joining` or `NotLeader`.
    Join {
        /// The asker's disk.
        id: ReplicaId,
        /// Where it runs.
        site: Site,
    },
    /// Take this instance's replica out for good. Reply: `Removing` or `NotLeader`.
    Remove(InstanceId),
    /// Your newest snapshot, please. Replies: `Snapshot`, then `Chunk`s.
    Fetch,
}

/// Who a replica is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its disk.
    pub id: ReplicaId,
    /// Its instance.
    pub instance: InstanceId,
    /// The ledger it belongs to, 0 for none: its disk is empty.
    pub ledger: LedgerId,
}

/// What a replica answers another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Who it is.
    Hello(Hello),
    /// Messages of the core, in order.
    Envelopes(Vec<Envelope>),
    /// The leader will take the asker in.
    Joining,
    /// The leader will take the instance out as soon as that is safe.
    Removing,
    /// Another one leads.
    NotLeader {
        /// Its address, where known.
        leader: Option<SocketAddr>,
    },
    /// What the chunks that follow stand for.
    Snapshot(SnapshotMeta),
    /// A part of the state.
    Chunk(Bytes),
    /// There is no snapshot, or the disk has failed.
    Nothing,
}
