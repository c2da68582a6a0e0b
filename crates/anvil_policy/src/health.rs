//! Tracks the measurements of a pool's endpoints and sets their shares and limits.
//!
//! *Load pattern:* endpoints that become slow, fail, saturate, leave or return while requests are
//! sent to them; see [`crate::ejection`] and [`crate::limit`], which this module joins.
//!
//! *Without it:* each request would have to take a lock and evaluate the measurements itself.
//!
//! *Mechanism:* a router keeps one [`Health`] for each pool under a lock. It calls
//! [`Health::report`] for each load report, [`Health::observe`] after each attempt, and
//! [`Health::tick`] once a second and when the pool was swapped. Requests read only the atomics of
//! [`EndpointState`].

use std::collections::BTreeMap;

use anvil_world::prelude::*;

use crate::choice::Pool;
use crate::ejection::{self, AnswerStats, EjectionRule, Observation};
use crate::endpoint::{EndpointState, LoadReport};
use crate::limit::{Latency, Limit, LimitRule};

/// Settings of a pool's health.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HealthRule {
    /// Thresholds of ejection.
    pub ejection: EjectionRule,
    /// Limits on the runs of an endpoint.
    pub limit: LimitRule,
    /// Whether load reports are made about one interval before they arrive. Counts made by a
    /// sidecar don't lag; those that an engine makes itself do.
    pub reports_lag: bool,
    /// Number of routers that share the endpoints; each may always use its part of half the limit.
    pub routers: u32,
}

/// Result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint answered.
    Answered(Latency),
    /// The endpoint failed or could not be reached. Not to be used when the caller disconnected or
    /// when the endpoint was right to refuse the request.
    Failed,
}

#[derive(Debug, Clone)]
struct EndpointHealth {
    stats: AnswerStats,
    limit: Limit,
}

/// Measurements of one pool's endpoints.
#[derive(Debug, Clone, Default)]
pub struct Health {
    rule: HealthRule,
    endpoints: BTreeMap<InstanceId, EndpointHealth>,
}

impl Health {
    /// Creates an empty state with these settings.
    pub fn new(rule: HealthRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// Sets how many routers share the endpoints.
    pub fn set_routers(&mut self, routers: u32) {
        self.rule.routers = routers;
    }

    /// Applies a load report to the endpoint's estimated load and to its limit.
    pub fn report(&mut self, now: Now, endpoint: &EndpointState, load: &LoadReport) {
        endpoint.report(load, self.rule.reports_lag);
        if let Some(tracked) = self.endpoints.get_mut(&endpoint.id) {
            let estimated_load = endpoint.estimated_load();
            tracked
                .limit
                .apply_report(&self.rule.limit, now, load, estimated_load);
            endpoint.set_limit(tracked.limit.value());
        }
    }

    /// Applies the result of an attempt. Errors take effect at once.
    pub fn observe(&mut self, now: Now, endpoint: &EndpointState, ended: &AttemptResult) {
        let Some(tracked) = self.endpoints.get_mut(&endpoint.id) else {
            return;
        };
        let ended = match ended {
            AttemptResult::Failed => Observation::Failed,
            AttemptResult::Answered(latency) => {
                Observation::Answered(latency.first_token + latency.token_gap)
            }
        };
        let rule = &self.rule.ejection;
        let failed_before = tracked.stats.is_failing(rule);
        tracked.stats.observe(now, ended);
        if tracked.stats.is_failing(rule) && !failed_before {
            // Goes through the same bound as the tick, or a burst of errors could eject the whole
            // pool here. Runs once and not for each error, because every evaluation halves the
            // shares of slow endpoints.
            self.evaluate(now);
            self.apply_to(endpoint);
        }
    }

    /// Evaluates all endpoints and updates their shares. Endpoints that are no longer in the pool
    /// are removed.
    pub fn tick(&mut self, now: Now, pool: &Pool) {
        self.endpoints.retain(|id, _| pool.get(id).is_some());
        for endpoint in pool.endpoints() {
            if !self.endpoints.contains_key(&endpoint.id) {
                self.track(now, endpoint);
            }
        }
        self.evaluate(now);
        for endpoint in pool.endpoints() {
            self.apply_to(endpoint);
        }
    }

    fn evaluate(&mut self, now: Now) {
        let all_stats = self
            .endpoints
            .values_mut()
            .map(|tracked| &mut tracked.stats);
        let mut all_stats: Vec<&mut AnswerStats> = all_stats.collect();
        ejection::evaluate(&self.rule.ejection, now, &mut all_stats);
    }

    fn apply_to(&self, endpoint: &EndpointState) {
        let Some(tracked) = self.endpoints.get(&endpoint.id) else {
            return;
        };
        endpoint.set_share(tracked.stats.target_share());
        endpoint.set_limit(tracked.limit.value());
        endpoint.set_routers(self.rule.routers);
    }

    fn track(&mut self, now: Now, endpoint: &EndpointState) {
        let tracked = EndpointHealth {
            stats: AnswerStats::default(),
            limit: Limit::new(&self.rule.limit, now, endpoint.slots()),
        };
        self.endpoints.insert(endpoint.id.clone(), tracked);
    }
}
