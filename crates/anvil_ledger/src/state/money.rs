//! Budgets and grants.
//!
//! Failure: routers are cut off from the ledger and from each other while callers spend. No
//! clock and no connection protects a budget then. What does: every token was set aside for one
//! router, here, before that router spent it, and `billed + open grants <= credited` is checked
//! at every apply.

mod apply;

use std::collections::{BTreeMap, BTreeSet};

use anvil_world::command::{
    Denial, GrantAsk, GrantBatch, GrantBatchAnswer, GrantRefusal, GrantReport, Noun,
};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use super::InvariantError;

/// One ask gets at most this part of what is left, unless less would be of no use. It keeps the
/// first router that asks from taking what the others need next; see docs/design/02-money.md.
const SHARE_OF_REST: Tokens = 4;

/// The last batch of a router, for answering a resent one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LastBatch {
    incarnation: Incarnation,
    answer: GrantBatchAnswer,
}

/// Budgets with their open grants, and who holds which.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Money {
    budgets: BTreeMap<BudgetId, Budget>,
    budget_of: BTreeMap<GrantId, BudgetId>,
    by_router: BTreeMap<InstanceId, BTreeSet<GrantId>>,
    /// Recalled grants by router: every batch's answer names them, so they must not be searched
    /// for among all that a router holds.
    recalled: BTreeMap<InstanceId, BTreeSet<GrantId>>,
    last_batch: BTreeMap<InstanceId, LastBatch>,
    /// Budgets that are to be worth less than what is billed and granted already.
    lowering: BTreeMap<BudgetId, Tokens>,
    last_grant: GrantId,
}

impl Money {
    pub(super) fn declare(&mut self, id: &BudgetId) {
        self.budgets.entry(id.clone()).or_default();
    }

    /// Sets what a budget is worth in all.
    ///
    /// Failure: an operator lowers a budget below what routers hold in open grants, and they go on
    /// spending it. The grants are called back at once, and the budget sinks to its new worth as
    /// they come in; what is granted stays covered meanwhile, so the invariant holds throughout.
    pub(super) fn set_credited(&mut self, id: &BudgetId, credited: Tokens) {
        self.lowering.remove(id);
        let budget = self.budgets.entry(id.clone()).or_default();
        let used = budget.billed.saturating_add(budget.outstanding());
        budget.credited = credited.max(used);
        if used > credited {
            self.lowering.insert(id.clone(), credited);
            self.recall(id);
        }
    }

    /// Lets a lowered budget sink as far as its open grants allow by now.
    pub(super) fn sink(&mut self, id: &BudgetId) {
        if let Some(credited) = self.lowering.get(id).copied() {
            self.set_credited(id, credited);
        }
    }

    pub(super) fn budget(&self, id: &str) -> Option<&Budget> {
        self.budgets.get(id)
    }

    pub(super) fn budgets(
        &self,
        after: Option<&str>,
    ) -> impl Iterator<Item = (&BudgetId, &Budget)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        self.budgets.range::<str, _>((from, Unbounded))
    }

    pub(super) fn grants_of(&self, router: &str) -> impl Iterator<Item = &Grant> {
        let ids = self.by_router.get(router).into_iter().flatten();
        ids.filter_map(|id| self.grant(*id))
    }

    pub(super) fn fenced_grants(&self) -> impl Iterator<Item = &Grant> {
        let grants = self.budget_of.keys().filter_map(|id| self.grant(*id));
        grants.filter(|grant| grant.state == GrantState::Fenced)
    }

    pub(super) fn fence(&mut self, router: &str, upto: Incarnation) {
        let held: Vec<_> = self
            .grants_of(router)
            .filter(|grant| grant.incarnation <= upto)
            .map(|grant| (grant.id, grant.budget.clone()))
            .collect();
        for (id, budget) in held {
            if let Some(recalled) = self.recalled.get_mut(router) {
                recalled.remove(&id);
            }
            if let Some(budget) = self.budgets.get_mut(&budget) {
                // The grant was just found open, so marking it can't fail.
                let _ = budget.mark(id, GrantState::Fenced);
            }
        }
    }

    pub(super) fn check_all(&self) -> Result<(), InvariantError> {
        self.budgets.keys().try_for_each(|id| self.check(id))
    }

    pub(super) fn check(&self, id: &BudgetId) -> Result<(), InvariantError> {
        let Some(budget) = self.budgets.get(id) else {
            return Ok(());
        };
        if budget.holds() {
            return Ok(());
        }
        Err(InvariantError::Budget {
            budget: id.clone(),
            credited: budget.credited,
            billed: budget.billed,
            outstanding: budget.outstanding(),
        })
    }

    fn grant(&self, id: GrantId) -> Option<&Grant> {
        let budget = self.budgets.get(self.budget_of.get(&id)?)?;
        budget.open.get(&id)
    }

    fn open_budget(&mut self, grant: GrantId) -> Result<&mut Budget, Denial> {
        let budget = self.budget_of.get(&grant);
        let budget = budget.and_then(|id| self.budgets.get_mut(id));
        budget.ok_or_else(|| Denial::Unknown {
            what: Noun::Grant,
            name: grant.to_string(),
        })
    }

    /// Settles a fenced grant at its final charge and closes it.
    fn close_fenced(
        &mut self,
        id: GrantId,
        charge: impl FnOnce(&Grant) -> Tokens,
    ) -> Result<Grant, Denial> {
        let budget = self.open_budget(id)?;
        let grant = budget.open.get(&id);
        let grant = grant.ok_or(ContractError::NoGrant { grant: id })?;
        if grant.state != GrantState::Fenced {
            return Err(Denial::NotFenced { grant: id });
        }
        let charged = charge(grant);
        budget.settle(id, charged)?;
        let closed = budget.close(id)?;
        self.forget(&closed);
        Ok(closed)
    }

    fn forget(&mut self, grant: &Grant) {
        self.budget_of.remove(&grant.id);
        take_out(&mut self.by_router, &grant.router, grant.id);
        take_out(&mut self.recalled, &grant.router, grant.id);
    }

    /// Near the end of a budget what is left lies unspent in some router's grant. Calling it back
    /// lets the router that has callers use it; without this they are refused although the money
    /// is there.
    fn recall(&mut self, id: &BudgetId) {
        let Some(budget) = self.budgets.get_mut(id) else {
            return;
        };
        let open = budget.open.values_mut();
        for grant in open.filter(|grant| grant.state == GrantState::Open) {
            grant.state = GrantState::Recalled;
            let recalled = self.recalled.entry(grant.router.clone()).or_default();
            recalled.insert(grant.id);
        }
    }

    /// Guards against a report that charges more than was granted: a faulty router must not
    /// have half of a batch applied, so every report is looked at before the first one counts.
    fn check_reports(&self, batch: &GrantBatch) -> Result<(), Denial> {
        for report in &batch.reports {
            let Some(grant) = self.grant(report.grant) else {
                // Closed before: a resent or reordered report is harmless.
                continue;
            };
            if grant.router != batch.router || grant.incarnation != batch.incarnation {
                return Err(Denial::Fenced);
            }
            if report.settled.saturating_add(report.returned) > grant.amount {
                return Err(Denial::from(ContractError::OverGrant {
                    grant: grant.id,
                    amount: grant.amount,
                    charged: report.settled.saturating_add(report.returned),
                }));
            }
        }
        Ok(())
    }

    /// Takes one report. Returns the grant's number when it is closed by it.
    fn report(&mut self, report: &GrantReport) -> Option<GrantId> {
        let budget = self.open_budget(report.grant).ok()?;
        budget.settle(report.grant, report.settled).ok()?;
        budget.give_back(report.grant, report.returned).ok()?;
        if !report.close {
            return None;
        }
        let closed = budget.close(report.grant).ok()?;
        self.forget(&closed);
        Some(closed.id)
    }

    /// Opens a grant for an ask, or says why not and calls unspent grants back.
    fn ask(&mut self, batch: &GrantBatch, ask: &GrantAsk) -> Result<Grant, GrantRefusal> {
        let Some(budget) = self.budgets.get_mut(&ask.budget) else {
            return Err(GrantRefusal {
                budget: ask.budget.clone(),
                left: 0,
                outstanding: 0,
            });
        };
        let left = budget.left();
        let least = ask.least.max(1);
        if left < least {
            let outstanding = budget.outstanding();
            self.recall(&ask.budget);
            return Err(GrantRefusal {
                budget: ask.budget.clone(),
                left,
                outstanding,
            });
        }
        let grant = Grant {
            id: self.last_grant + 1,
            budget: ask.budget.clone(),
            router: batch.router.clone(),
            incarnation: batch.incarnation,
            amount: ask.wanted.min(left / SHARE_OF_REST).max(least),
            settled: 0,
            returned: 0,
            state: GrantState::Open,
        };
        let opened = budget.open(&ask.budget, grant.clone());
        // `least` was compared with `left` above, so this can't fail.
        opened.map_err(|_| GrantRefusal {
            budget: ask.budget.clone(),
            left,
            outstanding: 0,
        })?;
        self.last_grant = grant.id;
        self.budget_of.insert(grant.id, ask.budget.clone());
        let held = self.by_router.entry(batch.router.clone()).or_default();
        held.insert(grant.id);
        Ok(grant)
    }
}

fn take_out(
    by_router: &mut BTreeMap<InstanceId, BTreeSet<GrantId>>,
    router: &InstanceId,
    grant: GrantId,
) {
    if let Some(grants) = by_router.get_mut(router) {
        grants.remove(&grant);
        if grants.is_empty() {
            by_router.remove(router);
        }
    }
}
