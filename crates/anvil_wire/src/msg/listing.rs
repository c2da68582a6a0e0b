//! What a router tells its siblings of the platform's list of endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Call;

/// Question and answer about the list of endpoints.
pub struct ListCall;

impl Call for ListCall {
    const PATH: &'static str = "/list";
    type Req = ListAsk;
    type Resp = ListReply;
}

/// A digest of a list's content; 0 for none.
pub type ListVersion = u64;

/// One endpoint on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The endpoint in its present life.
    pub id: InstanceId,
    /// What it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands.
    pub zone: ZoneId,
    /// Requests that it works on side by side.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
}

/// A router asks for a list newer than its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListAsk {
    /// What the asker holds.
    pub have: ListVersion,
    /// Answer as soon as a list is held that was read at most this long before the question. With zero
    /// the asker has found its list wrong, and wants it read anew.
    pub read_within: Duration,
    /// Answer after this time at the latest, with what is held then.
    pub wait: Duration,
}

/// What a router holds of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReply {
    /// Longest time since it was read.
    pub age: Duration,
    /// For how long the question was held, by the answering router's clock.
    pub held_for: Duration,
    /// What changed.
    pub news: ListNews,
}

/// How the answering router's list differs from the asker's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListNews {
    /// Nothing was ever read.
    Nothing,
    /// In nothing.
    Same,
    /// In these endpoints.
    Changes {
        /// The list that they lead to.
        version: ListVersion,
        /// Endpoints that came or changed.
        listed: Vec<Listed>,
        /// Endpoints that are not on it any more.
        gone: Vec<InstanceId>,
    },
    /// The asker's list is not known any more; this is the whole one.
    Whole {
        /// Which list it is.
        version: ListVersion,
        /// All endpoints.
        listed: Vec<Listed>,
    },
}
