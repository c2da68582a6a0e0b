//! Contents that are in quarantine, and orders that lift quarantines.

use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::command::{LiftQuarantine, QuarantineTarget};
use anvil_world::content;
use anvil_world::prelude::*;
use serde::Serialize;

use super::change::{change_everywhere, new_change_id};
use super::{Client, CommittedChange, OperatorError};

/// A content in quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuarantinedContent {
    /// Its digest, as the log has it.
    pub content: String,
    /// Whether requests share it; otherwise it is a whole request.
    pub shared: bool,
    /// Endpoints that crashed under it.
    pub endpoints: Vec<InstanceId>,
    /// Seconds until the quarantine ends.
    pub seconds_left: u64,
}

impl fmt::Display for QuarantinedContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.shared {
            "shared content"
        } else {
            "request"
        };
        write!(
            f,
            "quarantine: {kind} {} for {} s, after crashes of {}",
            self.content,
            self.seconds_left,
            self.endpoints.join(", ")
        )
    }
}

impl QuarantinedContent {
    fn new(digest: ContentDigest, suspect: &SuspectContent, now: SystemTime) -> Option<Self> {
        let shared = content::is_shared(digest);
        let left = if shared {
            suspect.shared_quarantine_remaining(now)
        } else {
            suspect.quarantine_remaining(now)
        };
        (!left.is_zero()).then(|| Self {
            content: content::to_hex(digest),
            shared,
            endpoints: suspect.endpoints().cloned().collect(),
            seconds_left: left.as_secs(),
        })
    }
}

/// Reads which contents are in quarantine; `None` if the leader doesn't know the question.
pub(super) async fn quarantined(client: &Client) -> Option<Vec<QuarantinedContent>> {
    let QueryAnswer::Suspects(suspects) = client.query_new(Query::Suspects).await? else {
        return None;
    };
    let now = SystemTime::now();
    let all = suspects.iter();
    let quarantined =
        all.filter_map(|(content, suspect)| QuarantinedContent::new(*content, suspect, now));
    Some(quarantined.collect())
}

/// Lifts the quarantines of a content or of a service, then waits until that is in force everywhere or
/// the client's timeout has passed. Idempotent: under the same id an order is applied only once.
pub async fn lift_quarantine(
    client: &Client,
    target: QuarantineTarget,
    reason: Arc<str>,
    id: Option<ChangeId>,
) -> Result<CommittedChange, OperatorError> {
    let id = id.unwrap_or_else(new_change_id);
    let lift = LiftQuarantine {
        id: id.clone(),
        operator: client.operator().clone(),
        target,
        contents: Vec::new(),
        reason,
        at: SystemTime::now(),
    };
    change_everywhere(client, &id, Command::LiftQuarantine(lift)).await
}
