//! Limits that endpoints announce.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, RateLimit};

/// An endpoint has announced a limit, or announces none any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportLimit {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// What it takes from all routers together.
    pub limit: Option<RateLimit>,
    /// When the leader took it.
    pub at: SystemTime,
}
