//! A global view of the run: what is spent and which requests are in flight.
//!
//! A refusal is false when budget and capacity were available by this view. It covers every
//! request of the run, which no router's view does.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_world::prelude::*;

use super::scenario::{FaultKind, Scenario};

/// Up to this percentage of busy slots of a service, a refusal for lack of capacity is false.
const MAX_BUSY_PERCENT: u64 = 90;
/// Time after the end of a fault during which the endpoint does not count as capacity.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub(super) struct GlobalView {
    scenario: Scenario,
    accounts: Vec<Account>,
    in_flight: BTreeMap<ServiceId, InFlightCount>,
}

#[derive(Debug, Default)]
struct Account {
    credited: u64,
    spent: AtomicU64,
    reserved: AtomicU64,
}

/// Number of requests in flight for one service.
type InFlightCount = AtomicU64;

/// A request in flight: the organisation and service it counts for, and its maximum cost.
#[derive(Debug, Clone)]
pub(super) struct OpenRequest {
    pub organisation: u32,
    pub service: ServiceId,
    pub max_cost: Tokens,
}

impl GlobalView {
    pub fn new(scenario: &Scenario) -> Self {
        let account = |_| Account {
            credited: scenario.callers.budget,
            ..Account::default()
        };
        let services = scenario.endpoints.iter();
        Self {
            scenario: scenario.clone(),
            accounts: (0..scenario.callers.organisations).map(account).collect(),
            in_flight: services
                .map(|g| (g.service.clone(), InFlightCount::default()))
                .collect(),
        }
    }

    /// Counts a request that is sent.
    pub fn request_started(&self, request: &OpenRequest) {
        self.account(request)
            .reserved
            .fetch_add(request.max_cost, Ordering::Relaxed);
        if let Some(in_flight) = self.in_flight.get(&request.service) {
            in_flight.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a request that has ended at this cost.
    pub fn request_ended(&self, request: &OpenRequest, cost: Tokens) {
        let account = self.account(request);
        account.spent.fetch_add(cost, Ordering::Relaxed);
        account
            .reserved
            .fetch_sub(request.max_cost, Ordering::Relaxed);
        if let Some(in_flight) = self.in_flight.get(&request.service) {
            in_flight.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Whether a refusal of this type is false. The request must still be counted as in flight.
    pub fn is_false_refusal(&self, request: &OpenRequest, kind: &str, now: Duration) -> bool {
        match kind {
            "budget_exhausted" => self.has_budget(request),
            "overloaded" | "deadline_too_close" => self.has_capacity(request, now),
            "leaving" | "no_endpoint" | "ledger_unreachable" | "settings_stale" => {
                self.has_budget(request) && self.has_capacity(request, now)
            }
            // The router found the request invalid, and no scenario sends invalid requests.
            _ => true,
        }
    }

    fn has_budget(&self, request: &OpenRequest) -> bool {
        let account = self.account(request);
        let spent = account.spent.load(Ordering::Relaxed);
        let reserved = account.reserved.load(Ordering::Relaxed);
        spent + reserved <= account.credited
    }

    fn has_capacity(&self, request: &OpenRequest, now: Duration) -> bool {
        let Some(in_flight) = self.in_flight.get(&request.service) else {
            return false;
        };
        let in_flight = in_flight.load(Ordering::Relaxed);
        in_flight * 100 <= self.slots(&request.service, now) * MAX_BUSY_PERCENT
    }

    /// Slots of a service's endpoints that have no fault.
    fn slots(&self, service: &str, now: Duration) -> u64 {
        let endpoints = self.scenario.endpoint_list().into_iter().enumerate();
        let healthy = endpoints.filter(|(index, (group, zone))| {
            group.service.as_ref() == service && !self.is_faulty(*index, zone, now)
        });
        healthy.map(|(_, (group, _))| u64::from(group.slots)).sum()
    }

    fn is_faulty(&self, index: usize, zone: &Zone, now: Duration) -> bool {
        let faults = self.scenario.faults.iter();
        let mut active = faults.filter(|f| f.at <= now && now < f.until + RECOVERY_TIME);
        active.any(|fault| match fault.kind {
            FaultKind::Slow | FaultKind::Failing | FaultKind::EndpointLost => {
                fault.index as usize == index
            }
            FaultKind::ZoneLost => self.scenario.zone(fault.index as usize) == *zone,
            FaultKind::RouterLost | FaultKind::LedgerLost => false,
        })
    }

    /// Cost of all complete responses for each organisation.
    pub fn spent(&self) -> Vec<Tokens> {
        let accounts = self.accounts.iter();
        accounts.map(|a| a.spent.load(Ordering::Relaxed)).collect()
    }

    fn account(&self, request: &OpenRequest) -> &Account {
        &self.accounts[request.organisation as usize]
    }
}
