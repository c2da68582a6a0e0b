//! Answers to reads, from the applied state.

use std::time::Duration;

use anvil_ledger::core::Replica;
use anvil_ledger::machine::Machine;
use anvil_wire::msg::{
    AuditFilter, BudgetBalance, BudgetView, LedgerStatus, Query, QueryAnswer, RecordedOrigin,
};
use anvil_world::command::AuditEntry;
use anvil_world::prelude::*;

use super::heartbeats::HeartbeatTracker;

/// Maximum number of budgets in one answer.
const MAX_BUDGETS: u32 = 10_000;
/// Maximum number of audit entries in one answer.
const MAX_AUDIT: u32 = 10_000;

/// State that reads are answered from.
pub struct QueryContext<'a> {
    /// The answering instance.
    pub instance: &'a InstanceId,
    /// Core of the replica.
    pub replica: &'a Replica,
    /// The applied state.
    pub machine: &'a Machine,
    /// Heartbeats received by the leader.
    pub heartbeats: &'a HeartbeatTracker,
    /// Time since the process started.
    pub now: Duration,
}

impl QueryContext<'_> {
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
                let found = state.budget(id).map(|budget| budget_view(id, budget));
                QueryAnswer::Budgets(found.into_iter().collect())
            }
            Query::Budgets { after, limit } => {
                let budgets = state.budgets(after.as_deref());
                let limit = bounded_count(*limit, MAX_BUDGETS);
                QueryAnswer::Budgets(
                    budgets
                        .take(limit)
                        .map(|(id, b)| budget_view(id, b))
                        .collect(),
                )
            }
            Query::Audit(filter) => QueryAnswer::Audit(self.audit(filter)),
            Query::InForce(version) => {
                let rollout = self
                    .heartbeats
                    .version_rollout(*version, self.now, self.machine);
                QueryAnswer::InForce(rollout)
            }
            Query::Claim(key) => QueryAnswer::Claim(state.claim(key)),
            Query::Fencing(sidecar) => QueryAnswer::Fencing(state.fencing(sidecar)),
            Query::Members => QueryAnswer::Members(state.members().clone()),
            Query::Suspects => {
                let announced = self.machine.suspects.announced();
                QueryAnswer::Suspects(announced.map(|(c, s)| (c, s.clone())).collect())
            }
            Query::Shares => QueryAnswer::Shares(self.machine.shares.clone()),
            Query::StreamOrigin(key) => {
                let origin = self.machine.stream_origins.get(*key);
                QueryAnswer::StreamOrigin(origin.map(|(service, version)| RecordedOrigin {
                    service: service.clone(),
                    version: version.clone(),
                }))
            }
            Query::Balances(ids) => {
                let balances = ids.iter().filter_map(|id| {
                    let budget = state.budget(id)?;
                    let balance = BudgetBalance {
                        left: budget.left(),
                        billed: budget.billed,
                    };
                    Some((id.clone(), balance))
                });
                QueryAnswer::Balances(balances.collect())
            }
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
        let found = self
            .machine
            .state
            .audit(bounded_count(limit, MAX_AUDIT), wanted);
        found.into_iter().cloned().collect()
    }
}

fn bounded_count(requested: u32, max: u32) -> usize {
    usize::try_from(requested.min(max)).unwrap_or(usize::MAX)
}

fn budget_view(id: &BudgetId, budget: &Budget) -> BudgetView {
    BudgetView {
        id: id.clone(),
        budget: budget.clone(),
    }
}
