//! Rate limits that endpoints announce, over the requests of all routers together.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::RateLimit;

/// The rate limit that an endpoint announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// Maximum request rate.
    pub limit: RateLimit,
    /// When a router last reported it, by the ledger's clock.
    pub at: SystemTime,
}
