//! Limits that endpoints announced, as reported by routers.
//!
//! An endpoint announces a limit only in its answers, so without this record each of hundreds of
//! routers would send a limited endpoint a request before it learned of the limit. After the limit
//! ends, a router would learn of that only at its next turn, minutes later.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::ReportLimit;
use anvil_world::endpoint_limit::EndpointLimit;
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

/// A limit that no router has reported for this long is removed: its endpoint is gone, or gets no
/// requests.
const MAX_AGE: Duration = Duration::from_mins(10);
/// Maximum number of limits: twice the number of endpoints in the largest fleet. The oldest are
/// evicted first.
const MAX_LIMITS: usize = 16_384;

/// Limits by endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The latest time in any report so far. Leaders' clocks differ; this never falls.
    clock: SystemTime,
    all: BTreeMap<InstanceId, EndpointLimit>,
    by_time: BTreeSet<(SystemTime, InstanceId)>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            clock: UNIX_EPOCH,
            all: BTreeMap::new(),
            by_time: BTreeSet::new(),
        }
    }
}

impl Limits {
    /// Records the limit that an endpoint announced, or that it has none any more. Returns the
    /// endpoints whose limit changed.
    pub fn report(&mut self, report: &ReportLimit) -> BTreeSet<InstanceId> {
        self.clock = self.clock.max(report.at);
        let mut changed = BTreeSet::new();
        if self.remove(&report.endpoint) || report.limit.is_some() {
            changed.insert(report.endpoint.clone());
        }
        if let Some(limit) = report.limit {
            let at = self.clock;
            self.by_time.insert((at, report.endpoint.clone()));
            let limit = EndpointLimit { limit, at };
            self.all.insert(report.endpoint.clone(), limit);
        }
        while let Some(oldest) = self.next_to_evict() {
            self.remove(&oldest);
            changed.insert(oldest);
        }
        changed
    }

    /// All limits by endpoint.
    pub fn all(&self) -> &BTreeMap<InstanceId, EndpointLimit> {
        &self.all
    }

    /// The oldest limit, if it is too old or there are too many.
    fn next_to_evict(&self) -> Option<InstanceId> {
        let (at, endpoint) = self.by_time.first()?;
        let age = self.clock.duration_since(*at).unwrap_or_default();
        (age >= MAX_AGE || self.all.len() > MAX_LIMITS).then(|| endpoint.clone())
    }

    fn remove(&mut self, endpoint: &InstanceId) -> bool {
        let Some(known) = self.all.remove(endpoint) else {
            return false;
        };
        self.by_time.remove(&(known.at, endpoint.clone()));
        true
    }
}
