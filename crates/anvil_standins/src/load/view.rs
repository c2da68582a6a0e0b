//! The tool's own view of the whole: what is spent and what is under way.
//!
//! A refusal is false when, by this view, budget and capacity were there. The tool sees every
//! request of the run, which no router does.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_world::prelude::*;

use super::scenario::{FaultKind, Scenario};

/// Percent of a service's slots that may be taken while a refusal for lack of room is false.
const BUSY_PERCENT: u64 = 90;
/// How long an endpoint that came back does not count yet.
const RETURN_TIME: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub(super) struct View {
    scenario: Scenario,
    budgets: Vec<Account>,
    taken: BTreeMap<ServiceId, Taken>,
}

#[derive(Debug, Default)]
struct Account {
    credited: u64,
    spent: AtomicU64,
    bound: AtomicU64,
}

/// Requests under way for one service.
type Taken = AtomicU64;

/// What one request may cost, and where it counts.
#[derive(Debug, Clone)]
pub(super) struct Stake {
    pub organisation: u32,
    pub service: ServiceId,
    pub bound: Tokens,
}

impl View {
    pub fn new(scenario: &Scenario) -> Self {
        let account = |_| Account {
            credited: scenario.callers.budget,
            ..Account::default()
        };
        let services = scenario.endpoints.iter();
        Self {
            scenario: scenario.clone(),
            budgets: (0..scenario.callers.organisations).map(account).collect(),
            taken: services
                .map(|g| (g.service.clone(), Taken::default()))
                .collect(),
        }
    }

    /// A request goes out.
    pub fn enter(&self, stake: &Stake) {
        self.account(stake)
            .bound
            .fetch_add(stake.bound, Ordering::Relaxed);
        if let Some(taken) = self.taken.get(&stake.service) {
            taken.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// It has ended, and cost so much.
    pub fn leave(&self, stake: &Stake, cost: Tokens) {
        let account = self.account(stake);
        account.spent.fetch_add(cost, Ordering::Relaxed);
        account.bound.fetch_sub(stake.bound, Ordering::Relaxed);
        if let Some(taken) = self.taken.get(&stake.service) {
            taken.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Whether a refusal of this kind is false now, while its request still counts.
    pub fn is_false(&self, stake: &Stake, kind: &str, now: Duration) -> bool {
        match kind {
            "budget_exhausted" => self.has_money(stake),
            "overloaded" | "deadline_too_close" => self.has_room(stake, now),
            "leaving" | "no_endpoint" | "ledger_unreachable" | "settings_stale" => {
                self.has_money(stake) && self.has_room(stake, now)
            }
            // The request itself was wrong, which no scenario's are.
            _ => true,
        }
    }

    fn has_money(&self, stake: &Stake) -> bool {
        let account = self.account(stake);
        let spent = account.spent.load(Ordering::Relaxed);
        let bound = account.bound.load(Ordering::Relaxed);
        spent + bound <= account.credited
    }

    fn has_room(&self, stake: &Stake, now: Duration) -> bool {
        let Some(taken) = self.taken.get(&stake.service) else {
            return false;
        };
        let taken = taken.load(Ordering::Relaxed);
        taken * 100 <= self.slots(&stake.service, now) * BUSY_PERCENT
    }

    /// Slots of a service's endpoints that are there and well.
    fn slots(&self, service: &str, now: Duration) -> u64 {
        let endpoints = self.scenario.endpoint_list().into_iter().enumerate();
        let serving = endpoints.filter(|(at, (group, zone))| {
            group.service.as_ref() == service && !self.is_ill(*at, zone, now)
        });
        serving.map(|(_, (group, _))| u64::from(group.slots)).sum()
    }

    fn is_ill(&self, at: usize, zone: &Zone, now: Duration) -> bool {
        let faults = self.scenario.faults.iter();
        let mut held = faults.filter(|f| f.at <= now && now < f.until + RETURN_TIME);
        held.any(|fault| match fault.kind {
            FaultKind::Slow | FaultKind::Failing | FaultKind::EndpointLost => {
                fault.index as usize == at
            }
            FaultKind::ZoneLost => self.scenario.zone(fault.index as usize) == *zone,
            FaultKind::RouterLost | FaultKind::LedgerLost => false,
        })
    }

    /// What was spent by whole answers, for each organisation.
    pub fn spent(&self) -> Vec<Tokens> {
        let accounts = self.budgets.iter();
        accounts.map(|a| a.spent.load(Ordering::Relaxed)).collect()
    }

    fn account(&self, stake: &Stake) -> &Account {
        &self.budgets[stake.organisation as usize]
    }
}
