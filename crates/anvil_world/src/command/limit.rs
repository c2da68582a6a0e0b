//! Rate limits that endpoints announce.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, RateLimit};

/// A router reports the rate limit that an endpoint announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportLimit {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// The limit over all routers together; `None` if the endpoint no longer announces one.
    pub limit: Option<RateLimit>,
    /// When the leader proposed it.
    pub at: SystemTime,
}
