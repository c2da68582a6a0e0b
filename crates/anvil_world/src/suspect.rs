//! A request under which endpoints crashed and which none has answered since.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// Weight from which on a request is kept from endpoints: three crashes before its run had any output. One or two may
/// have come from another reason, or from a neighbour that was waiting as well.
pub const HELD_FROM: u32 = 6;
/// For how long it is kept from them after the last crash.
pub const HELD_FOR: Duration = Duration::from_hours(1);
/// For how long crashes are remembered after the last one. Within this time a single further one is enough.
pub const REMEMBERED_FOR: Duration = Duration::from_hours(24);

/// How far a request's run had come when its endpoint crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashedRun {
    /// It had some output, so its beginning had crashed nothing.
    AfterOutput,
    /// No output of it was seen.
    BeforeOutput,
}

impl CrashedRun {
    /// How much it speaks against the request.
    pub fn weight(self) -> u32 {
        match self {
            Self::AfterOutput => 1,
            Self::BeforeOutput => 2,
        }
    }
}

/// What is known of such a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Endpoints that crashed under it, each in one life; no more than it takes to hold it.
    pub endpoints: BTreeMap<InstanceId, CrashedRun>,
    /// When the last one did, by the ledger's clock.
    pub since: SystemTime,
}

impl Suspect {
    /// Nothing crashed yet.
    pub fn new(since: SystemTime) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            since,
        }
    }

    /// An endpoint crashed under it. Returns whether that is news.
    pub fn crashed(&mut self, endpoint: &InstanceId, run: CrashedRun, at: SystemTime) -> bool {
        if self
            .endpoints
            .get(endpoint)
            .is_some_and(|known| *known >= run)
        {
            return false;
        }
        self.since = self.since.max(at);
        if self.weight() < HELD_FROM {
            self.endpoints.insert(endpoint.clone(), run);
        }
        true
    }

    /// How much speaks against it.
    pub fn weight(&self) -> u32 {
        self.endpoints.values().map(|run| run.weight()).sum()
    }

    /// For how much longer it is kept from endpoints; nothing where it may go to them.
    pub fn held_for(&self, now: SystemTime) -> Duration {
        if self.weight() < HELD_FROM {
            return Duration::ZERO;
        }
        HELD_FOR.saturating_sub(self.age(now))
    }

    /// Whether its crashes are too long ago to be remembered.
    pub fn is_over(&self, now: SystemTime) -> bool {
        self.age(now) >= REMEMBERED_FOR
    }

    fn age(&self, now: SystemTime) -> Duration {
        // A clock behind the ledger's has waited for nothing yet.
        now.duration_since(self.since).unwrap_or_default()
    }
}
