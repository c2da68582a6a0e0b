//! Limits that endpoints name.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, RateLimit};

/// An endpoint has named a limit, or names none any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NameLimit {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// What it takes from all routers together.
    pub limit: Option<RateLimit>,
    /// When the leader took it.
    pub at: SystemTime,
}
