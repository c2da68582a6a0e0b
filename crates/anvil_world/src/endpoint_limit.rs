//! What a limited endpoint takes from all routers together.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::RateLimit;

/// A limit that an endpoint announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// Requests that it takes.
    pub limit: RateLimit,
    /// When a router last told of it, by the ledger's clock.
    pub at: SystemTime,
}
