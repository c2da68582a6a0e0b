//! Software versions of services, and of streams.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceId, SoftwareVersion};

/// A router reports the versions of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersions {
    /// The service.
    pub service: ServiceId,
    /// Versions that are listed.
    pub listed: BTreeSet<SoftwareVersion>,
    /// Versions that have not been listed for longer than a stream lasts.
    pub ended: BTreeSet<SoftwareVersion>,
}

/// A router reports at which versions streams run, once their clients hold events of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordOrigins {
    /// The streams, by service and version.
    pub groups: Vec<OriginGroup>,
    /// When the leader proposed it.
    pub at: SystemTime,
}

/// Streams that began at one version of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginGroup {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub version: SoftwareVersion,
    /// For how much longer the last of their clients may take its stream up.
    pub keep: Duration,
    /// Hashes of the organisation and the first attempt of each stream.
    pub streams: Vec<u128>,
}
