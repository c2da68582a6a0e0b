//! Endpoints that are warming up: what this gateway knows of them, and its part of the rate that
//! they tolerate. [`anvil_policy::warm_up`] decides which ones these are, and
//! [`anvil_policy::rate_share`] how the rate is divided.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_policy::rate_share::{BurstTolerance, Clocks, RateShare, RouterRank};
use anvil_policy::warm_up::{WarmUpRule, WarmUpView, may_take_part};
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvilreel::event;

use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::table::WarmUp;

/// Wait until the next attempt to send to an endpoint that is warming up, while this gateway may not
/// take part.
const UNCOUNTED_WAIT: Duration = Duration::from_secs(1);

/// What is known of one endpoint's warm-up, and this gateway's part of its rate.
#[derive(Debug, Default)]
pub struct EndpointWarmUp {
    view: WarmUpView,
    share: RateShare,
}

/// What decides about requests to endpoints of one service that are warming up.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpTerms {
    /// How its endpoints warm up.
    pub rule: WarmUpRule,
    /// Requests that one of them tolerates meanwhile, from all gateways.
    pub rate: RateLimit,
    /// How far that may be exceeded for a moment.
    pub tolerance: BurstTolerance,
    /// This gateway's position among those that share the rate; `None` if it may not take part.
    pub position: Option<RouterRank>,
}

impl EndpointWarmUp {
    /// Whether it may be warming up.
    pub fn is_warming_up(&self, terms: &WarmUpTerms, now: Now) -> bool {
        self.view.is_warming_up(&terms.rule, now)
    }

    fn time_until_send(&mut self, terms: &WarmUpTerms, at: Clocks, endpoint: &str) -> Duration {
        if !self.is_warming_up(terms, at.now) {
            self.share = RateShare::default();
            return Duration::ZERO;
        }
        if self.share.limit().is_none() {
            self.share = RateShare::default().with_tolerance(terms.tolerance);
        }
        self.share.set_limit(at.now, Some(terms.rate));
        match terms.position {
            Some(position) => self
                .share
                .time_until_send(at, position.at_endpoint(endpoint)),
            None => UNCOUNTED_WAIT,
        }
    }

    fn try_send(&mut self, terms: &WarmUpTerms, at: Clocks, endpoint: &str) -> bool {
        if !self.time_until_send(terms, at, endpoint).is_zero() {
            return false;
        }
        terms
            .position
            .is_none_or(|position| self.share.try_send(at, position.at_endpoint(endpoint)))
    }

    /// What is known of its warm-up.
    pub fn view(&mut self) -> &mut WarmUpView {
        &mut self.view
    }
}

impl Endpoint {
    /// Time until its warm-up allows another request; zero if it does now.
    pub fn warm_up_wait(&self, terms: &WarmUpTerms, at: Clocks) -> Duration {
        self.warm_up().time_until_send(terms, at, &self.id)
    }

    /// Counts a request that is about to be sent. Returns false if its warm-up does not allow it.
    pub fn try_count_in_warm_up(&self, terms: &WarmUpTerms, at: Clocks) -> bool {
        self.warm_up().try_send(terms, at, &self.id)
    }
}

impl Gateway {
    /// What decides about a service's endpoints that are warming up; `None` if its endpoints start
    /// warm.
    pub fn warm_up_terms(&self, service: &str) -> Option<WarmUpTerms> {
        let table = self.table.load();
        let WarmUp { duration, rate } = table.as_ref()?.services.get(service)?.warm_up?;
        let confirmed_ms = self.ledger_confirmed_ms.load(Ordering::Relaxed);
        let confirmation_age = self.now_ms().saturating_sub(confirmed_ms);
        let is_counted = self.is_counted.load(Ordering::Relaxed);
        let takes_part = may_take_part(is_counted, Duration::from_millis(confirmation_age));
        Some(WarmUpTerms {
            rule: WarmUpRule {
                duration,
                list_lag: self.cfg.list.max_lag,
            },
            rate,
            tolerance: self.cfg.warm_up_tolerance,
            position: takes_part.then(|| self.share_position()),
        })
    }

    /// Applies what a list states that was read at `read_at`.
    pub fn apply_listed_warm_up(&self, listed: &[ListedEndpoint], read_at: Now) {
        let listed: BTreeMap<_, _> = listed.iter().map(|l| (&l.id, l.warming_up)).collect();
        let list_lag = self.cfg.list.max_lag;
        for endpoint in self.directory.all_endpoints() {
            if let Some(warming_up) = listed.get(&endpoint.id) {
                self.update_warm_up(&endpoint, |view| {
                    view.record_listed(read_at, list_lag, *warming_up);
                });
            }
        }
    }

    /// Records that no connection to an endpoint could be made.
    pub fn record_unreachable(&self, endpoint: &Endpoint) {
        self.update_warm_up(endpoint, WarmUpView::record_unreachable);
    }

    /// Records that an endpoint may have restarted although no connection to it was refused.
    pub fn suspect_restart(&self, endpoint: &Endpoint) {
        let now = self.lifecycle.now();
        self.update_warm_up(endpoint, |view| view.record_early_close(now));
    }

    /// Records that zones were taken back after an evacuation.
    pub fn record_zones_returned(&self, zones: &BTreeSet<ZoneId>) {
        let now = self.lifecycle.now();
        for endpoint in self.directory.all_endpoints() {
            if zones.contains(&endpoint.zone) {
                self.update_warm_up(&endpoint, |view| view.record_zone_returned(now));
            }
        }
    }

    /// Number of endpoints that may be warming up.
    pub fn count_warming_up(&self) -> u64 {
        let now = self.lifecycle.now();
        let all = self.directory.all_endpoints();
        let warming_up = all.iter().filter(|endpoint| {
            self.warm_up_terms(&endpoint.service)
                .is_some_and(|terms| endpoint.warm_up().is_warming_up(&terms, now))
        });
        warming_up.count() as u64
    }

    fn update_warm_up(&self, endpoint: &Endpoint, update: impl FnOnce(&mut WarmUpView)) {
        let now = self.lifecycle.now();
        let terms = self.warm_up_terms(&endpoint.service);
        let mut warm_up = endpoint.warm_up();
        let may_warm_up = |warm_up: &EndpointWarmUp| {
            terms
                .as_ref()
                .is_some_and(|terms| warm_up.is_warming_up(terms, now))
        };
        let before = may_warm_up(&warm_up);
        update(warm_up.view());
        let after = may_warm_up(&warm_up);
        if before != after {
            event!(
                self.log, events::GATEWAY_ENDPOINT_WARM_UP, "endpoint" => &*endpoint.id,
                "warming_up" => after
            );
        }
    }
}
