//! Budgets and grants.
//!
//! Routers may be cut off from the ledger and from each other while callers spend tokens, so no
//! clock or connection can protect a budget. Instead every token is reserved here for one router
//! before that router spends it, and `billed + open grants <= credited` is checked at every apply.

mod apply;

use std::collections::{BTreeMap, BTreeSet};

use anvil_world::command::{
    Denial, EntityKind, GrantBatch, GrantBatchAnswer, GrantRefusal, GrantReport, GrantRequest,
};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use super::InvariantError;

/// A grant is at most this fraction of what is left in the budget, unless the request needs more
/// to be of any use. It keeps the first router that asks from taking what others need next; see
/// docs/design/02-money.md.
const GRANT_SHARE_DIVISOR: Tokens = 4;

/// Answer to the last batch of a router, for the case that the batch is resent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LastBatch {
    incarnation: Incarnation,
    answer: GrantBatchAnswer,
}

/// Budgets with their open grants, indexed by grant and by router.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Money {
    budgets: BTreeMap<BudgetId, Budget>,
    budget_of: BTreeMap<GrantId, BudgetId>,
    by_router: BTreeMap<InstanceId, BTreeSet<GrantId>>,
    /// Recalled grants by router. Every answer to a batch lists them, so they must not be searched
    /// for among all grants of the router.
    recalled: BTreeMap<InstanceId, BTreeSet<GrantId>>,
    last_batch: BTreeMap<InstanceId, LastBatch>,
    /// Target credit of each budget that was lowered below what is billed and granted already.
    lowering: BTreeMap<BudgetId, Tokens>,
    last_grant: GrantId,
}

impl Money {
    pub(super) fn ensure_budget(&mut self, id: &BudgetId) {
        self.budgets.entry(id.clone()).or_default();
    }

    /// Sets the total credit of a budget.
    ///
    /// If an operator lowers a budget below what is billed and in open grants, routers would go on
    /// spending the grants. They are recalled at once, and the credit falls to its target as they
    /// are closed. Granted tokens stay covered meanwhile, so the invariant holds throughout.
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

    /// Lowers the credit of a budget towards its target, as far as its open grants allow.
    pub(super) fn lower_to_target(&mut self, id: &BudgetId) {
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
                let _ = budget.set_state(id, GrantState::Fenced);
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
        if budget.invariant_holds() {
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

    fn budget_of_grant(&mut self, grant: GrantId) -> Result<&mut Budget, Denial> {
        let budget = self.budget_of.get(&grant);
        let budget = budget.and_then(|id| self.budgets.get_mut(id));
        budget.ok_or_else(|| Denial::Unknown {
            what: EntityKind::Grant,
            name: grant.to_string(),
        })
    }

    /// Settles a fenced grant at its final charge and closes it.
    fn close_fenced(
        &mut self,
        id: GrantId,
        charge: impl FnOnce(&Grant) -> Tokens,
    ) -> Result<Grant, Denial> {
        let budget = self.budget_of_grant(id)?;
        let grant = budget.open.get(&id);
        let grant = grant.ok_or(ContractError::NoGrant { grant: id })?;
        if grant.state != GrantState::Fenced {
            return Err(Denial::NotFenced { grant: id });
        }
        let charged = charge(grant);
        budget.settle(id, charged)?;
        let closed = budget.close(id)?;
        self.unlink(&closed);
        Ok(closed)
    }

    fn unlink(&mut self, grant: &Grant) {
        self.budget_of.remove(&grant.id);
        remove_from(&mut self.by_router, &grant.router, grant.id);
        remove_from(&mut self.recalled, &grant.router, grant.id);
    }

    /// Recalls all open grants of a budget.
    ///
    /// Near the end of a budget the remaining tokens lie unspent in some routers' grants. Without a
    /// recall, a router with callers would refuse them although tokens are left.
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

    /// Guards against a report that charges more than was granted. Every report is checked before
    /// the first one is applied, so that a faulty router can't have half a batch applied.
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

    /// Applies one report. Returns the grant's number if the report closes it.
    fn apply_report(&mut self, report: &GrantReport) -> Option<GrantId> {
        let budget = self.budget_of_grant(report.grant).ok()?;
        budget.settle(report.grant, report.settled).ok()?;
        budget.return_tokens(report.grant, report.returned).ok()?;
        if !report.close {
            return None;
        }
        let closed = budget.close(report.grant).ok()?;
        self.unlink(&closed);
        Some(closed.id)
    }

    /// Opens a grant for a request, or refuses it and recalls unspent grants.
    fn open_grant(
        &mut self,
        batch: &GrantBatch,
        grant_request: &GrantRequest,
    ) -> Result<Grant, GrantRefusal> {
        let Some(budget) = self.budgets.get_mut(&grant_request.budget) else {
            return Err(GrantRefusal {
                budget: grant_request.budget.clone(),
                left: 0,
                outstanding: 0,
            });
        };
        let left = budget.left();
        let least = grant_request.least.max(1);
        if left < least {
            let outstanding = budget.outstanding();
            self.recall(&grant_request.budget);
            return Err(GrantRefusal {
                budget: grant_request.budget.clone(),
                left,
                outstanding,
            });
        }
        let grant = Grant {
            id: self.last_grant + 1,
            budget: grant_request.budget.clone(),
            router: batch.router.clone(),
            incarnation: batch.incarnation,
            amount: grant_request
                .wanted
                .min(left / GRANT_SHARE_DIVISOR)
                .max(least),
            settled: 0,
            returned: 0,
            state: GrantState::Open,
        };
        let opened = budget.open(&grant_request.budget, grant.clone());
        // `least` was compared with `left` above, so this can't fail.
        opened.map_err(|_| GrantRefusal {
            budget: grant_request.budget.clone(),
            left,
            outstanding: 0,
        })?;
        self.last_grant = grant.id;
        self.budget_of
            .insert(grant.id, grant_request.budget.clone());
        let held = self.by_router.entry(batch.router.clone()).or_default();
        held.insert(grant.id);
        Ok(grant)
    }
}

fn remove_from(
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
