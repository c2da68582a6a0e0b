//! Rate limits announced by endpoints, learned from responses or from the ledger.
//!
//! The first gateway that receives a limit, or notices its end, reports it to the ledger, which
//! announces it to all others. [`anvil_policy::rate_share`] decides how much of it each gateway may
//! use.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::ReportLimit;
use anvil_world::endpoint_limit::EndpointLimit;
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::dialect::AnnouncedLimit;
use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::metrics;
use crate::reports;

/// Age from which on the ledger's record of a limit is refreshed, so that it does not expire.
const TOLD_AGAIN: Duration = Duration::from_mins(2);

/// Limits learned from the ledger, and those still to be reported.
#[derive(Default)]
pub struct EndpointLimits {
    told: ArcSwap<BTreeMap<InstanceId, EndpointLimit>>,
    /// Limits that the ledger has not accepted yet; the latest one of each endpoint.
    untold: Mutex<BTreeMap<InstanceId, Option<RateLimit>>>,
    wanted: Notify,
}

impl EndpointLimits {
    fn untold(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Option<RateLimit>>> {
        // Sound after a panic elsewhere: each entry is valid by itself.
        self.untold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self, endpoint: &InstanceId, limit: Option<RateLimit>) {
        self.untold().insert(endpoint.clone(), limit);
        self.wanted.notify_one();
    }

    fn is_told(&self, endpoint: &InstanceId, limit: Option<RateLimit>) -> bool {
        let told = self.told.load();
        let Some(told) = told.get(endpoint) else {
            return limit.is_none();
        };
        let age = SystemTime::now().duration_since(told.at);
        limit == Some(told.limit) && age.unwrap_or_default() < TOLD_AGAIN
    }

    fn next_report(&self) -> Option<Command> {
        let untold = self.untold();
        let (endpoint, limit) = untold.first_key_value()?;
        Some(Command::ReportLimit(ReportLimit {
            endpoint: endpoint.clone(),
            limit: *limit,
            // The ledger's leader sets the time.
            at: UNIX_EPOCH,
        }))
    }

    fn was_taken(&self, report: &Command) {
        let Command::ReportLimit(taken) = report else {
            return;
        };
        let mut untold = self.untold();
        // The endpoint may have announced another limit in the meantime.
        if untold.get(&taken.endpoint) == Some(&taken.limit) {
            untold.remove(&taken.endpoint);
        }
    }
}

impl Gateway {
    /// Applies the limit in a response to a request that was sent at `sent`.
    pub fn limit_heard(&self, endpoint: &Endpoint, sent: Now, word: AnnouncedLimit) {
        let word = match word {
            AnnouncedLimit::None => None,
            AnnouncedLimit::Rate(limit) => Some(limit),
            // The previous limit stays in force.
            AnnouncedLimit::Unreadable => return self.metrics.count(metrics::LIMITS_UNREADABLE),
        };
        endpoint.limit_heard(self.life.now(), sent, word, &self.log);
        let limit = endpoint.limit();
        let heard_so = limit == word;
        if heard_so && !self.endpoint_limits.is_told(&endpoint.id, limit) {
            self.endpoint_limits.tell(&endpoint.id, limit);
        }
    }

    /// Applies the limits reported by the ledger.
    pub fn take_limits(&self, told: &BTreeMap<InstanceId, EndpointLimit>) {
        let before = self.endpoint_limits.told.load_full();
        if *before == *told {
            return;
        }
        self.endpoint_limits.told.store(Arc::new(told.clone()));
        let limit_of = |all: &BTreeMap<InstanceId, EndpointLimit>, endpoint: &InstanceId| {
            all.get(endpoint).map(|told| told.limit)
        };
        let all = before.keys().chain(told.keys());
        for endpoint in all {
            let limit = limit_of(told, endpoint);
            if limit != limit_of(&before, endpoint) {
                self.limit_told(endpoint, limit);
            }
        }
    }

    /// Applies the ledger's limits to endpoints that have just been listed.
    pub fn limits_of_new(&self, came: &[InstanceId]) {
        let told = self.endpoint_limits.told.load();
        for endpoint in came {
            if let Some(limit) = told.get(endpoint) {
                self.limit_told(endpoint, Some(limit.limit));
            }
        }
    }

    fn limit_told(&self, endpoint: &InstanceId, limit: Option<RateLimit>) {
        if let Some(endpoint) = self.directory.find(endpoint) {
            endpoint.limit_told(self.life.now(), limit, &self.log);
        }
    }
}

/// Reports limits to the ledger for as long as the process runs.
pub async fn run(gw: &Gateway) {
    let limits = &gw.endpoint_limits;
    let next = || limits.next_report();
    let taken = |report: &Command| limits.was_taken(report);
    reports::run(gw, &limits.wanted, next, taken).await;
}
