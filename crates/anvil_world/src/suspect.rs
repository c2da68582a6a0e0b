//! A request under which endpoints crashed and which none has answered since.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// Endpoints that must have crashed under a request before it is kept from all others. One or two may have
/// crashed for another reason, or under a neighbour.
pub const CRASHES_TO_HOLD: usize = 3;
/// For how long a request is kept from endpoints after the last crash under it.
pub const HELD_FOR: Duration = Duration::from_hours(1);

/// What is known of such a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Endpoints that crashed under it, each in one life; no more than [`CRASHES_TO_HOLD`].
    pub endpoints: BTreeSet<InstanceId>,
    /// When the last one did, by the ledger's clock.
    pub since: SystemTime,
}

impl Suspect {
    /// Nothing crashed yet.
    pub fn new(since: SystemTime) -> Self {
        Self {
            endpoints: BTreeSet::new(),
            since,
        }
    }

    /// An endpoint crashed under it. Returns whether that is news.
    pub fn crashed(&mut self, endpoint: &InstanceId, at: SystemTime) -> bool {
        if self.endpoints.contains(endpoint) {
            return false;
        }
        self.since = self.since.max(at);
        if self.is_held() {
            return true;
        }
        self.endpoints.insert(endpoint.clone())
    }

    /// Whether it is kept from endpoints.
    pub fn is_held(&self) -> bool {
        self.endpoints.len() >= CRASHES_TO_HOLD
    }

    /// How much longer it is suspected; nothing when that is over.
    pub fn left(&self, now: SystemTime) -> Duration {
        // A clock behind the ledger's has waited for nothing yet.
        let age = now.duration_since(self.since).unwrap_or_default();
        HELD_FOR.saturating_sub(age)
    }
}
