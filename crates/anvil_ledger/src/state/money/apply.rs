//! Applies the commands of routers and operators to budgets and grants.

use std::collections::BTreeSet;

use anvil_world::command::{Denial, EntityKind, GrantBatch, GrantBatchAnswer, TopUp, WriteOff};
use anvil_world::prelude::*;

use super::LastBatch;
use crate::state::State;
use crate::state::operator_change::{AppliedChange, OperatorChange};

impl State {
    pub(in crate::state) fn grant_batch(
        &mut self,
        index: LogIndex,
        batch: &GrantBatch,
    ) -> Result<Answer, Denial> {
        self.check_incarnation(batch)?;
        if let Some(answer) = self.resent_answer(batch)? {
            return Ok(Answer::Grants(answer));
        }
        self.money.check_reports(batch)?;
        if self.is_new_incarnation(batch) {
            self.fence_older(index, &batch.router, batch.incarnation);
        }
        let affected = self.affected_budgets(batch);
        let answer = self.apply_batch(batch, &affected);
        for budget in &affected {
            self.check_budget(budget);
        }
        let last = LastBatch {
            incarnation: batch.incarnation,
            answer: answer.clone(),
        };
        self.money.last_batch.insert(batch.router.clone(), last);
        Ok(Answer::Grants(answer))
    }

    /// The answer to a batch that is already applied, if it is the router's newest one.
    pub fn answer_to_applied_batch(&self, batch: &GrantBatch) -> Option<GrantBatchAnswer> {
        self.check_incarnation(batch).ok()?;
        self.resent_answer(batch).ok()?
    }

    /// Guards against a router that was frozen, fenced and replaced, then resumes and sends a batch
    /// it had prepared: it would open a grant that nobody closes.
    fn check_incarnation(&self, batch: &GrantBatch) -> Result<(), Denial> {
        if self.members.is_fenced(&batch.router, batch.incarnation) {
            return Err(Denial::Fenced);
        }
        let newer = |known: Incarnation| known > batch.incarnation;
        let member = self.members().get(&batch.router);
        let replaced = member.is_some_and(|member| newer(member.instance.incarnation));
        let last = self.money.last_batch.get(&batch.router);
        if replaced || last.is_some_and(|last| newer(last.incarnation)) {
            return Err(Denial::OldIncarnation);
        }
        Ok(())
    }

    /// Whether this is the first batch of a router's incarnation: only then can an older
    /// incarnation have open grants that are not fenced.
    fn is_new_incarnation(&self, batch: &GrantBatch) -> bool {
        let last = self.money.last_batch.get(&batch.router);
        last.is_none_or(|last| last.incarnation != batch.incarnation)
    }

    fn resent_answer(&self, batch: &GrantBatch) -> Result<Option<GrantBatchAnswer>, Denial> {
        let last = self.money.last_batch.get(&batch.router);
        let Some(last) = last.filter(|last| last.incarnation == batch.incarnation) else {
            return Ok(None);
        };
        if batch.seq < last.answer.seq {
            return Err(Denial::OldBatch);
        }
        let same = batch.seq == last.answer.seq;
        Ok(same.then(|| last.answer.clone()))
    }

    fn apply_batch(
        &mut self,
        batch: &GrantBatch,
        affected: &BTreeSet<BudgetId>,
    ) -> GrantBatchAnswer {
        let mut answer = GrantBatchAnswer {
            seq: batch.seq,
            ..GrantBatchAnswer::default()
        };
        for report in &batch.reports {
            answer.closed.extend(self.money.apply_report(report));
        }
        for budget in affected {
            self.money.lower_to_target(budget);
        }
        for grant_request in &batch.asks {
            match self.money.open_grant(batch, grant_request) {
                Ok(grant) => answer.opened.push(grant),
                Err(refusal) => answer.refused.push(refusal),
            }
        }
        let recalled = self.money.recalled.get(&batch.router);
        answer.recalled = recalled.into_iter().flatten().copied().collect();
        answer
    }

    fn affected_budgets(&self, batch: &GrantBatch) -> BTreeSet<BudgetId> {
        let reported = batch.reports.iter();
        let reported = reported.filter_map(|report| self.money.budget_of.get(&report.grant));
        let asked = batch.asks.iter().map(|grant_request| &grant_request.budget);
        reported.chain(asked).cloned().collect()
    }

    pub(in crate::state) fn close_grant(
        &mut self,
        id: GrantId,
        charged: Tokens,
    ) -> Result<Answer, Denial> {
        // Settling takes the maximum, so evidence below the router's own report changes nothing.
        let closed = self.money.close_fenced(id, |_| charged)?;
        self.check_budget(&closed.budget);
        let left = self.budget(&closed.budget).map_or(0, Budget::left);
        Ok(Answer::Closed(left))
    }

    pub(in crate::state) fn top_up(&mut self, top_up: &TopUp) -> Result<Answer, Denial> {
        let content = format!("top-up {} {}", top_up.budget, top_up.amount);
        let operator_change = OperatorChange {
            id: &top_up.id,
            operator: &top_up.operator,
            at: top_up.at,
            content: content.as_bytes(),
        };
        self.apply_once(&operator_change, |state| {
            state.credit(&top_up.budget, top_up.amount)
        })
    }

    fn credit(&mut self, id: &BudgetId, amount: Tokens) -> Result<AppliedChange, Denial> {
        let budget = self.money.budgets.get_mut(id);
        let budget = budget.ok_or_else(|| Denial::Unknown {
            what: EntityKind::Budget,
            name: id.to_string(),
        })?;
        let before = budget.credited;
        budget.credit(amount)?;
        let after = budget.credited;
        self.check_budget(id);
        Ok(AppliedChange {
            subject: format!("budgets/{id}"),
            revision: self.version(),
            before: Some(format!("credited = {before}").into()),
            after: Some(format!("credited = {after}").into()),
        })
    }

    pub(in crate::state) fn write_off(&mut self, write_off: &WriteOff) -> Result<Answer, Denial> {
        let content = format!("write-off {} {}", write_off.grant, write_off.bill);
        let operator_change = OperatorChange {
            id: &write_off.id,
            operator: &write_off.operator,
            at: write_off.at,
            content: content.as_bytes(),
        };
        self.apply_once(&operator_change, |state| {
            state.close_written_off(write_off.grant, write_off.bill)
        })
    }

    fn close_written_off(&mut self, grant: GrantId, bill: Tokens) -> Result<AppliedChange, Denial> {
        let mut before = 0;
        let closed = self.money.close_fenced(grant, |grant| {
            before = grant.outstanding();
            grant.settled.saturating_add(bill)
        })?;
        self.check_budget(&closed.budget);
        Ok(AppliedChange {
            subject: format!("budgets/{}/grants/{}", closed.budget, closed.id),
            revision: self.version(),
            before: Some(format!("outstanding = {before}").into()),
            after: Some(format!("billed = {bill}").into()),
        })
    }

    fn check_budget(&mut self, id: &BudgetId) {
        if let Err(e) = self.money.check(id) {
            self.record_violation(e);
        }
    }
}
