//! Tokens that one budget's grants hold for an outage of the ledger, beyond what the next batch
//! needs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_policy::outage_grant::{
    FleetBalance, GrantReturn, OutageDemand, Scarcity, demand_lifetime, return_down_to,
    tokens_to_return,
};
use anvil_wire::msg::BudgetBalance;
use anvil_world::command::{GrantBatch, GrantBatchAnswer};
use anvil_world::prelude::*;

use super::budget_grants::BudgetGrants;
use super::sizing::needed_for;
use super::{GrantAccount, OpenGrant};

/// Free tokens are not returned for this time after a grant has arrived, so that the requests that
/// wait for it can reserve them. Five times what a request takes to wake up on a slow processor.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// How much of one budget a router holds for an outage, and why not more.
#[derive(Debug, Default)]
pub(super) struct OutageCover {
    demand: OutageDemand,
    balance: FleetBalance,
    scarcity: Scarcity,
    /// Tokens to be free; `None` if only the next batch's need is held.
    hold: Option<Tokens>,
    last_opened: Option<Now>,
    /// Whether the budget was scarce at the last call of [`GrantAccount::take_scarcity_changes`].
    was_scarce: bool,
}

/// A budget became scarce, or isn't any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScarcityChange {
    /// The budget.
    pub budget: BudgetId,
    /// Whether it is scarce: its grants are short.
    pub is_scarce: bool,
    /// Tokens free in this router's grants.
    pub free: Tokens,
}

/// What a router holds of all budgets together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CoverStatus {
    /// Tokens free in all grants.
    pub free: Tokens,
    /// Budgets whose grants are to outlast an outage of the ledger.
    pub covered: u64,
    /// Budgets that are scarce.
    pub scarce: u64,
}

/// Demand since the last full batch.
#[derive(Debug)]
pub(super) struct AddedDemand {
    pub(super) charged: Tokens,
    pub(super) requests: u64,
    /// Upper bound of the largest request.
    pub(super) largest: Tokens,
}

impl OutageCover {
    /// Tokens that are to be free for an outage, and the largest request's bound.
    pub(super) fn hold(&self) -> Option<(Tokens, Tokens)> {
        Some((self.hold?, self.demand.bound()))
    }
}

impl GrantAccount {
    /// Whether tokens may be held for an outage.
    pub fn covers_outages(&self) -> bool {
        self.policy.outage_horizon.is_some()
    }

    /// The budgets, in order, whose balances are needed to decide what is held for an outage: those that had
    /// a request recently.
    pub fn budgets_in_demand(&self, now: Now) -> Vec<BudgetId> {
        let Some(horizon) = self.policy.outage_horizon else {
            return Vec::new();
        };
        let lifetime = demand_lifetime(horizon);
        let budgets = self.budgets.load();
        let in_demand = budgets
            .values()
            .filter(|grants| now < grants.demand.last_request() + lifetime);
        in_demand.map(|grants| grants.budget.clone()).collect()
    }

    /// Records balances that the ledger reported. Budgets without a recent one have no tokens held
    /// for an outage.
    pub fn record_balances(&self, now: Now, balances: &BTreeMap<BudgetId, BudgetBalance>) {
        let Some(horizon) = self.policy.outage_horizon else {
            return;
        };
        let budgets = self.budgets.load();
        for (id, balance) in balances {
            if let Some(budget_grants) = budgets.get(id) {
                let mut cover = budget_grants.outage_cover();
                cover
                    .balance
                    .record(horizon, now, balance.left, balance.billed);
            }
        }
    }

    /// Sets the number of routers that draw on the budgets. The largest one counts: a router that
    /// is not listed for a while may still hold tokens.
    pub fn set_routers(&self, routers: u32) {
        self.routers.fetch_max(routers, Ordering::Relaxed);
    }

    /// Holds only what the next batch needs from now on: before a planned stop, so that little is
    /// lost if the process is killed before its last request has ended.
    pub fn end_outage_cover(&self) {
        self.cover_ended.store(true, Ordering::Release);
    }

    /// Budgets that have become scarce, or ended to be so, since the last call.
    pub fn take_scarcity_changes(&self, now: Now) -> Vec<ScarcityChange> {
        if self.policy.outage_horizon.is_none() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for budget_grants in self.budgets.load().values() {
            let mut cover = budget_grants.outage_cover();
            let is_scarce = cover.scarcity.is_scarce(now);
            if is_scarce != cover.was_scarce {
                cover.was_scarce = is_scarce;
                changes.push(ScarcityChange {
                    budget: budget_grants.budget.clone(),
                    is_scarce,
                    free: budget_grants.free(),
                });
            }
        }
        changes
    }

    /// What is held of all budgets together.
    pub fn cover_status(&self, now: Now) -> CoverStatus {
        let mut status = CoverStatus::default();
        for budget_grants in self.budgets.load().values() {
            let cover = budget_grants.outage_cover();
            status.free += budget_grants.free();
            status.covered += u64::from(cover.hold.is_some());
            status.scarce += u64::from(cover.scarcity.is_scarce(now));
        }
        status
    }

    /// Adds what was charged since the last full batch, and decides what the budget's grants hold.
    pub(super) fn update_outage_cover(
        &self,
        now: Now,
        budget_grants: &BudgetGrants,
        elapsed: Duration,
        added: &AddedDemand,
    ) {
        let Some(horizon) = self.policy.outage_horizon else {
            return;
        };
        let mut cover = budget_grants.outage_cover();
        cover.demand.update(
            horizon,
            elapsed,
            added.charged,
            added.requests,
            added.largest,
        );
        let routers = self.routers.load(Ordering::Relaxed);
        let limits = cover.balance.limits(now, horizon, routers);
        let may_cover = routers > 0
            && !cover.scarcity.is_scarce(now)
            && !self.cover_ended.load(Ordering::Acquire);
        cover.hold = limits.filter(|_| may_cover).and_then(|limits| {
            let hold = cover.demand.tokens_to_hold(&limits)?;
            Some(hold.max(needed_for(budget_grants.demand.rate(), self.horizon())))
        });
    }

    /// What to return of each grant of the budget, in the order of its grants; `None` if the rules
    /// for short grants decide alone.
    pub(super) fn surplus_returns(
        &self,
        now: Now,
        budget_grants: &BudgetGrants,
        grants: &[Arc<OpenGrant>],
    ) -> Option<Vec<GrantReturn>> {
        self.policy.outage_horizon?;
        let cover = budget_grants.outage_cover();
        let is_settling = cover.last_opened.is_some_and(|at| now < at + SETTLING_TIME);
        if is_settling {
            return None;
        }
        let free: Vec<_> = grants.iter().map(|grant| grant.free()).collect();
        let Some((hold, bound)) = cover.hold() else {
            // As much as short grants hold at most: one that was just renewed, and the rest before
            // it.
            let short = needed_for(budget_grants.demand.rate(), self.horizon());
            let keep = short + short / 3 + budget_grants.demand.largest();
            return Some(return_down_to(keep, &free));
        };
        Some(tokens_to_return(hold, bound, &free))
    }

    /// Records what an answer shows about the budgets of the batch that it answers.
    pub(super) fn record_scarcity(&self, now: Now, batch: &GrantBatch, answer: &GrantBatchAnswer) {
        if self.policy.outage_horizon.is_none() {
            return;
        }
        for budget_grants in self.budgets.load().values() {
            let budget = &budget_grants.budget;
            let opened = answer.opened.iter().filter(|grant| grant.budget == *budget);
            let (count, amount) = opened.fold((0, 0), |(count, amount), grant| {
                (count + 1, amount + grant.amount)
            });
            let requests = batch.asks.iter().filter(|ask| ask.budget == *budget);
            let requested: Tokens = requests.map(|ask| ask.wanted).sum();
            let grants = budget_grants.grants.load();
            let is_recalled = grants
                .iter()
                .any(|grant| !grant.is_recalled() && answer.recalled.contains(&grant.id));
            let is_refused = answer.refused.iter().any(|r| r.budget == *budget);
            let mut cover = budget_grants.outage_cover();
            if count > 0 {
                cover.last_opened = Some(now);
                cover.scarcity.record_grant(now, requested, amount);
            }
            if is_recalled || is_refused {
                cover.scarcity.record_shortage(now);
            }
            if cover.scarcity.is_scarce(now) {
                cover.hold = None;
            }
        }
    }
}
