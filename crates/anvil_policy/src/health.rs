//! Joins what is measured of a pool's endpoints and writes it into their shares and limits.
//!
//! A router keeps one [`Health`] for each pool under a lock: [`Health::report`] for each load
//! report, [`Health::observe`] after each try, [`Health::tick`] once a second and when the pool
//! was swapped. What requests read on their way are only the atomics of
//! [`EndpointState`].

use std::collections::BTreeMap;

use anvil_world::prelude::*;

use crate::choice::Pool;
use crate::ejection::{self, EjectionRule, Record, Try};
use crate::endpoint::{EndpointState, LoadReport};
use crate::limit::{Latency, Limit, LimitRule};

/// Rules of a pool's health.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HealthRule {
    /// Slow and failing endpoints.
    pub ejection: EjectionRule,
    /// Runs an endpoint is given.
    pub limit: LimitRule,
    /// Whether load reports are made about one interval before they arrive. Counts of a sidecar
    /// don't lag, those that an engine makes of itself do.
    pub reports_lag: bool,
    /// How many routers share the endpoints; each may always have its part of half the
    /// limit.
    pub routers: u32,
}

/// How one try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The endpoint answered.
    Answered(Latency),
    /// The endpoint failed or could not be reached. Not for a caller who left, and not for a
    /// request that the endpoint rightly refused.
    Failed,
}

#[derive(Debug, Clone)]
struct Watched {
    record: Record,
    limit: Limit,
}

/// What is measured of one pool's endpoints.
#[derive(Debug, Clone, Default)]
pub struct Health {
    rule: HealthRule,
    endpoints: BTreeMap<InstanceId, Watched>,
}

impl Health {
    /// With these rules.
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

    /// Takes in a report of an endpoint's load: its pressure, and what that says of its limit.
    pub fn report(&mut self, now: Now, endpoint: &EndpointState, load: &LoadReport) {
        endpoint.report(load, self.rule.reports_lag);
        if let Some(watched) = self.endpoints.get_mut(&endpoint.id) {
            let pressure = endpoint.pressure();
            watched.limit.heard(&self.rule.limit, now, load, pressure);
            endpoint.set_limit(watched.limit.value());
        }
    }

    /// Takes in the end of a try. Errors act at once.
    pub fn observe(&mut self, now: Now, endpoint: &EndpointState, ended: &Ended) {
        let Some(watched) = self.endpoints.get_mut(&endpoint.id) else {
            return;
        };
        let ended = match ended {
            Ended::Failed => Try::Failed,
            Ended::Answered(latency) => Try::Answered(latency.first + latency.between),
        };
        let rule = &self.rule.ejection;
        let failed_before = watched.record.fails(rule);
        watched.record.observe(now, ended);
        if watched.record.fails(rule) && !failed_before {
            // Through the same bound as the tick, or an error burst here could close the pool.
            // Once, not with each error: every judgement halves the shares of slow endpoints.
            self.judge(now);
            self.write(endpoint);
        }
    }

    /// Judges all endpoints and moves their shares. Endpoints that the pool no longer has are
    /// forgotten.
    pub fn tick(&mut self, now: Now, pool: &Pool) {
        self.endpoints.retain(|id, _| pool.get(id).is_some());
        for endpoint in pool.endpoints() {
            if !self.endpoints.contains_key(&endpoint.id) {
                self.watch(now, endpoint);
            }
        }
        self.judge(now);
        for endpoint in pool.endpoints() {
            self.write(endpoint);
        }
    }

    fn judge(&mut self, now: Now) {
        let records = self
            .endpoints
            .values_mut()
            .map(|watched| &mut watched.record);
        let mut records: Vec<&mut Record> = records.collect();
        ejection::judge(&self.rule.ejection, now, &mut records);
    }

    fn write(&self, endpoint: &EndpointState) {
        let Some(watched) = self.endpoints.get(&endpoint.id) else {
            return;
        };
        endpoint.set_share(watched.record.target());
        endpoint.set_limit(watched.limit.value());
        endpoint.set_routers(self.rule.routers);
    }

    fn watch(&mut self, now: Now, endpoint: &EndpointState) {
        let watched = Watched {
            record: Record::default(),
            limit: Limit::new(&self.rule.limit, now, endpoint.slots()),
        };
        self.endpoints.insert(endpoint.id.clone(), watched);
    }
}
