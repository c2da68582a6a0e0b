//! Commands that maintain the records of suspect contents.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{ContentDigest, InstanceId};
use crate::suspect::CrashedRun;

/// An endpoint crashed while requests with these contents were in flight on it. A crash reported by several routers
/// counts once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCrash {
    /// The endpoint, in the incarnation that crashed.
    pub endpoint: InstanceId,
    /// The contents, and how far the runs of their requests had got.
    pub contents: Vec<(ContentDigest, CrashedRun)>,
    /// When the leader proposed it.
    pub at: SystemTime,
}

/// Endpoints have answered requests with these contents, so they did not cause the crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearSuspects {
    /// The contents.
    pub contents: Vec<ContentDigest>,
}
