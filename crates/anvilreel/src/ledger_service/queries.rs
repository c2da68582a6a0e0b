//! Answers to reads, out of the applied state.

use std::time::Duration;

use anvil_ledger::core::Replica;
use anvil_ledger::machine::Machine;
use anvil_wire::msg::{AuditFilter, BudgetView, LedgerStatus, Query, QueryAnswer};
use anvil_world::command::AuditEntry;
use anvil_world::prelude::*;

use super::heartbeats::Signs;

/// Most budgets in one answer.
const MAX_BUDGETS: u32 = 10_000;
/// Most lines of the audit trail in one answer.
const MAX_AUDIT: u32 = 10_000;

/// What a read looks at.
pub struct View<'a> {
    /// Who answers.
    pub instance: &'a InstanceId,
    /// The log.
    pub replica: &'a Replica,
    /// The applied state.
    pub machine: &'a Machine,
    /// Who was heard of.
    pub signs: &'a Signs,
    /// Time since the process started.
    pub now: Duration,
}

impl View<'_> {
    /// Answers a confirmed read.
    pub fn answer(&self, query: &Query) -> QueryAnswer {
        let state = &self.machine.state;
        match query {
            Query::Status => QueryAnswer::Status(self.status()),
            Query::Tree(prefix) => {
                let all = state.tree().iter();
                let wanted = all.filter(|(path, _)| path.to_string().starts_with(&**prefix));
                QueryAnswer::Tree(wanted.map(|(p, e)| (p.clone(), e.clone())).collect())
            }
            Query::Budget(id) => {
                let found = state.budget(id).map(|budget| view(id, budget));
                QueryAnswer::Budgets(found.into_iter().collect())
            }
            Query::Budgets { after, limit } => {
                let budgets = state.budgets(after.as_deref());
                let limit = count(*limit, MAX_BUDGETS);
                QueryAnswer::Budgets(budgets.take(limit).map(|(id, b)| view(id, b)).collect())
            }
            Query::Audit(filter) => QueryAnswer::Audit(self.audit(filter)),
            Query::InForce(version) => {
                let spread = self.signs.in_force(*version, self.now, self.machine);
                QueryAnswer::InForce(spread)
            }
            Query::Claim(key) => QueryAnswer::Claim(state.claim(key)),
            Query::Fencing(sidecar) => QueryAnswer::Fencing(state.fencing(sidecar)),
            Query::Members => QueryAnswer::Members(state.members().clone()),
        }
    }

    fn status(&self) -> LedgerStatus {
        let membership = self.replica.membership();
        let names = |sites: &std::collections::BTreeMap<_, anvil_ledger::core::Site>| {
            sites.values().map(|site| site.instance.clone()).collect()
        };
        LedgerStatus {
            replica: self.instance.clone(),
            term: self.replica.term(),
            committed: self.replica.committed(),
            version: self.machine.state.version(),
            voters: names(&membership.voters),
            learners: names(&membership.learners),
        }
    }

    fn audit(&self, filter: &AuditFilter) -> Vec<AuditEntry> {
        let wanted = |entry: &AuditEntry| {
            let subject = filter.subject.as_deref().unwrap_or_default();
            let by = filter.operator.as_ref();
            entry.revision > filter.after
                && entry.subject.starts_with(subject)
                && by.is_none_or(|operator| *operator == entry.operator)
        };
        let limit = if filter.limit == 0 {
            MAX_AUDIT
        } else {
            filter.limit
        };
        let found = self.machine.state.audit(count(limit, MAX_AUDIT), wanted);
        found.into_iter().cloned().collect()
    }
}

fn count(asked: u32, most: u32) -> usize {
    usize::try_from(asked.min(most)).unwrap_or(usize::MAX)
}

fn view(id: &BudgetId, budget: &Budget) -> BudgetView {
    BudgetView {
        id: id.clone(),
        budget: budget.clone(),
    }
}
