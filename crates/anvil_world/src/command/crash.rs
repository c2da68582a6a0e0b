//! Requests under which endpoints crash.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, RequestDigest};
use crate::suspect::CrashedRun;

/// An endpoint crashed under these requests. The same crash counts once, whoever tells of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCrash {
    /// The endpoint, in the life that crashed.
    pub endpoint: InstanceId,
    /// The requests, and how far their runs had come.
    pub requests: Vec<(RequestDigest, CrashedRun)>,
    /// When the leader took it.
    pub at: SystemTime,
}

/// Endpoints have answered these requests, so they are not what the crashes came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearSuspects {
    /// The requests.
    pub requests: Vec<RequestDigest>,
}
