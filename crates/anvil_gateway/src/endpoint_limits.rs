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
const REPORT_REFRESH_AFTER: Duration = Duration::from_mins(2);

/// Limits learned from the ledger, and those still to be reported.
#[derive(Default)]
pub struct EndpointLimits {
    from_ledger: ArcSwap<BTreeMap<InstanceId, EndpointLimit>>,
    /// Limits that the ledger has not accepted yet; the latest one of each endpoint.
    pending: Mutex<BTreeMap<InstanceId, Option<RateLimit>>>,
    report_wanted: Notify,
}

impl EndpointLimits {
    fn pending(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Option<RateLimit>>> {
        // Sound after a panic elsewhere: each entry is valid by itself.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queue_report(&self, endpoint: &InstanceId, limit: Option<RateLimit>) {
        self.pending().insert(endpoint.clone(), limit);
        self.report_wanted.notify_one();
    }

    fn is_known_to_ledger(&self, endpoint: &InstanceId, limit: Option<RateLimit>) -> bool {
        let from_ledger = self.from_ledger.load();
        let Some(known) = from_ledger.get(endpoint) else {
            return limit.is_none();
        };
        let age = SystemTime::now().duration_since(known.at);
        limit == Some(known.limit) && age.unwrap_or_default() < REPORT_REFRESH_AFTER
    }

    fn next_report(&self) -> Option<Command> {
        let pending = self.pending();
        let (endpoint, limit) = pending.first_key_value()?;
        Some(Command::ReportLimit(ReportLimit {
            endpoint: endpoint.clone(),
            limit: *limit,
            // The ledger's leader sets the time.
            at: UNIX_EPOCH,
        }))
    }

    fn mark_accepted(&self, report: &Command) {
        let Command::ReportLimit(accepted) = report else {
            return;
        };
        let mut pending = self.pending();
        // The endpoint may have announced another limit in the meantime.
        if pending.get(&accepted.endpoint) == Some(&accepted.limit) {
            pending.remove(&accepted.endpoint);
        }
    }
}

impl Gateway {
    /// Applies the limit in a response to a request that was sent at `sent_at`.
    pub fn apply_announced_limit(
        &self,
        endpoint: &Endpoint,
        sent_at: Now,
        announced: AnnouncedLimit,
    ) {
        let announced = match announced {
            AnnouncedLimit::None => None,
            AnnouncedLimit::Rate(limit) => Some(limit),
            // The previous limit stays in force.
            AnnouncedLimit::Unreadable => return self.metrics.count(metrics::LIMITS_UNREADABLE),
        };
        endpoint.apply_announced_limit(self.lifecycle.now(), sent_at, announced, &self.log);
        let limit = endpoint.limit();
        let is_in_force = limit == announced;
        if is_in_force && !self.endpoint_limits.is_known_to_ledger(&endpoint.id, limit) {
            self.endpoint_limits.queue_report(&endpoint.id, limit);
        }
    }

    /// Applies the limits reported by the ledger.
    pub fn apply_ledger_limits(&self, reported: &BTreeMap<InstanceId, EndpointLimit>) {
        let previous = self.endpoint_limits.from_ledger.load_full();
        if *previous == *reported {
            return;
        }
        self.endpoint_limits
            .from_ledger
            .store(Arc::new(reported.clone()));
        let limit_of = |all: &BTreeMap<InstanceId, EndpointLimit>, endpoint: &InstanceId| {
            all.get(endpoint).map(|reported| reported.limit)
        };
        let all = previous.keys().chain(reported.keys());
        for endpoint in all {
            let limit = limit_of(reported, endpoint);
            if limit != limit_of(&previous, endpoint) {
                self.apply_ledger_limit(endpoint, limit);
            }
        }
    }

    /// Applies the ledger's limits to endpoints that have just been listed.
    pub fn apply_limits_to_added(&self, added: &[InstanceId]) {
        let from_ledger = self.endpoint_limits.from_ledger.load();
        for endpoint in added {
            if let Some(limit) = from_ledger.get(endpoint) {
                self.apply_ledger_limit(endpoint, Some(limit.limit));
            }
        }
    }

    fn apply_ledger_limit(&self, endpoint: &InstanceId, limit: Option<RateLimit>) {
        if let Some(endpoint) = self.directory.find(endpoint) {
            endpoint.apply_reported_limit(self.lifecycle.now(), limit, &self.log);
        }
    }
}

/// Reports limits to the ledger for as long as the process runs.
pub async fn run(gw: &Gateway) {
    let limits = &gw.endpoint_limits;
    let next_report = || limits.next_report();
    let mark_accepted = |report: &Command| limits.mark_accepted(report);
    reports::run(gw, &limits.report_wanted, next_report, mark_accepted).await;
}
