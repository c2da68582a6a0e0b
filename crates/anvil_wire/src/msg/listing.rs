//! Calls between routers that share the platform's list of endpoints.
//!
//! A router that has read the list passes on to others how it differs from theirs.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Call;

/// A call from one router to another, for its copy of the endpoint list.
pub struct ListCall;

impl Call for ListCall {
    // Builds whose entries lack the warm-up serve `/list`, those whose entries lack the version
    // `/endpoints`. They don't understand each other's lists, so each kind has its own reader in a zone.
    const PATH: &'static str = "/endpoints-by-version";
    type Req = ListRequest;
    type Resp = ListReply;
}

/// Digest of the content of an endpoint list; 0 for no list.
pub type ListDigest = u64;

/// One endpoint on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Id of the endpoint in its current incarnation.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Requests it works on concurrently.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Whether it is still warming up after a start.
    pub warming_up: bool,
}

/// A router's request for a list newer than its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRequest {
    /// Digest of the sender's list.
    pub have: ListDigest,
    /// Maximum age of the list, counted back from this request: the reply is sent as soon as such a list
    /// is available. With zero the sender has found its list to be wrong and wants it read again.
    pub read_within: Duration,
    /// Maximum time until the reply, which then has the list available by that time.
    pub wait: Duration,
}

/// The replying router's list, as the difference from the sender's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReply {
    /// Maximum time since the list was read.
    pub age: Duration,
    /// How long the reply was delayed, by the replying router's clock.
    pub held_for: Duration,
    /// The difference.
    pub news: ListUpdate,
}

/// How the replying router's list differs from the list of the router that sent the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdate {
    /// No list has been read yet.
    Nothing,
    /// The lists are equal.
    Same,
    /// The lists differ in these endpoints.
    Changes {
        /// Digest of the list after these changes.
        version: ListDigest,
        /// New and changed endpoints.
        listed: Vec<ListedEndpoint>,
        /// Endpoints that are no longer listed.
        gone: Vec<InstanceId>,
    },
    /// The other router's list is no longer known here; this is the complete list.
    Whole {
        /// Digest of the list.
        version: ListDigest,
        /// All endpoints.
        listed: Vec<ListedEndpoint>,
    },
}
