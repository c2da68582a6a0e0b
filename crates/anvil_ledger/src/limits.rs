//! Limits that endpoints announced, as the routers heard them.
//!
//! Failure: a limited endpoint announces a limit in its answers, and each router sends it a request before it has
//! heard so; hundreds of routers send hundreds. When the limit is over, a router that is one of hundreds hears so only with
//! its next turn, minutes later.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::ReportLimit;
use anvil_world::endpoint_limit::EndpointLimit;
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

/// A limit that no router has told of for so long is forgotten: its endpoint is gone, or gets no requests.
const KEPT: Duration = Duration::from_mins(10);
/// Limits that are kept: each of the largest fleet's endpoints, twice. The oldest go first.
const MOST: usize = 16_384;

/// Limits by endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The latest time that a limit was announced at. Leaders' clocks differ; this never falls.
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
    /// An endpoint announced one, or none any more. Returns those of which routers have to be told anew.
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
        while let Some(oldest) = self.outdated() {
            self.remove(&oldest);
            changed.insert(oldest);
        }
        changed
    }

    /// All of them.
    pub fn all(&self) -> &BTreeMap<InstanceId, EndpointLimit> {
        &self.all
    }

    /// The oldest one, where it is too old or one too many.
    fn outdated(&self) -> Option<InstanceId> {
        let (at, endpoint) = self.by_time.first()?;
        let age = self.clock.duration_since(*at).unwrap_or_default();
        (age >= KEPT || self.all.len() > MOST).then(|| endpoint.clone())
    }

    fn remove(&mut self, endpoint: &InstanceId) -> bool {
        let Some(known) = self.all.remove(endpoint) else {
            return false;
        };
        self.by_time.remove(&(known.at, endpoint.clone()));
        true
    }
}
