//! Commands that maintain the records of suspect requests.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, RequestDigest};
use crate::suspect::CrashedRun;

/// An endpoint crashed while these requests were in flight on it. A crash reported by several routers
/// counts once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCrash {
    /// The endpoint, in the incarnation that crashed.
    pub endpoint: InstanceId,
    /// The requests, and how far their runs had got.
    pub requests: Vec<(RequestDigest, CrashedRun)>,
    /// When the leader proposed it.
    pub at: SystemTime,
}

/// Endpoints have answered these requests, so they did not cause the crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearSuspects {
    /// The requests.
    pub requests: Vec<RequestDigest>,
}
