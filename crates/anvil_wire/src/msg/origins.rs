//! Calls between routers about the software versions at which streams began.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Call;

/// A call from one router to another about streams.
pub struct OriginCall;

impl Call for OriginCall {
    const PATH: &'static str = "/stream-origins";
    type Req = OriginRequest;
    type Resp = OriginReply;
}

/// Where one stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Hash of the stream's organisation and first attempt.
    pub key: u128,
    /// The service that runs it.
    pub service: ServiceId,
    /// The software version that runs it.
    pub version: SoftwareVersion,
    /// Number of the attempt at an endpoint that this is from; the highest one is right.
    pub attempt: u32,
    /// For how much longer its client may take it up.
    pub keep: Duration,
}

/// A request to a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginRequest {
    /// Stores these origins. Reply: `Stored`.
    Tell(Vec<StreamOrigin>),
    /// Reads where a stream began. Reply: `Known`.
    Ask {
        /// The stream; `None` if its client didn't name it.
        key: Option<u128>,
        /// The service that runs it.
        service: ServiceId,
        /// How far back the service's versions matter.
        span: Duration,
    },
}

/// Versions of a service that a router's lists named within a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVersions {
    /// All of them.
    pub all: BTreeSet<SoftwareVersion>,
    /// Those that have been listed for long enough to be known to all routers. `None` from a router whose
    /// own lists don't cover the whole time.
    pub settled: Option<BTreeSet<SoftwareVersion>>,
}

/// A reply of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginReply {
    /// The origins are stored.
    Stored,
    /// What the router knows.
    Known {
        /// Where the stream began, if it is known.
        origin: Option<StreamOrigin>,
        /// Versions of the service that lists named within the span.
        versions: ListedVersions,
    },
}
