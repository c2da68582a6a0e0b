//! The batches of reports and grant requests that a grant account exchanges with the ledger, one at
//! a time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_policy::outage_grant::{GrantReturn, missing_tokens, tokens_to_request};
use anvil_world::command::{
    Denial, GrantBatch, GrantBatchAnswer, GrantRefusal, GrantReport, GrantRequest,
};
use anvil_world::prelude::*;

use super::account::{GrantAccount, NO_BATCH_PENDING, millis};
use super::budget_grants::{BudgetGrants, LedgerRefusal};
use super::outage_cover::AddedDemand;
use super::sizing::needed_for;
use super::{MoneyError, OpenGrant};

/// A grant is renewed when its free tokens would last for less than the horizon divided by this.
const RENEWAL_DIVISOR: u32 = 3;

/// The batch in flight, and what was reported before.
#[derive(Debug, Default)]
pub(super) struct BatchState {
    seq: BatchSeq,
    sent_at: Option<Now>,
    last_full_at: Now,
    pending: Option<GrantBatch>,
    /// The settled and returned tokens of each open grant, as known to the ledger.
    reported: std::collections::BTreeMap<GrantId, (Tokens, Tokens)>,
}

impl GrantAccount {
    /// The batch to be sent now, if one is due.
    ///
    /// An unanswered batch is returned again unchanged, with the same number: the ledger applies it
    /// once, so a lost answer opens no second grant.
    pub fn next_batch(&self, now: Now) -> Option<GrantBatch> {
        if self.is_fenced() {
            return None;
        }
        let mut batches = self.lock_batches();
        // An urgent batch is sent sooner: if the first request on a budget waited for the next
        // regular batch to ask for a grant, its first token would take up to a second, where 25 ms
        // are usual.
        // At a planned stop the grants have to be back before the process ends.
        let is_urgent = self.is_urgent() || self.stopping.load(Ordering::Acquire);
        let every = if batches.pending.is_none() && is_urgent {
            self.policy.urgent_batch_interval
        } else {
            self.policy.batch_interval
        };
        if batches.sent_at.is_some_and(|at| now < at + every) {
            return None;
        }
        if batches.pending.is_none() {
            batches.pending = self.compose(now, &mut batches);
        }
        if batches.pending.is_some() {
            batches.sent_at = Some(now);
            self.unanswered_since
                .fetch_min(millis(now), Ordering::AcqRel);
        }
        batches.pending.clone()
    }

    /// Applies the answer to a batch. Late and duplicate answers have no effect.
    pub fn apply_answer(&self, now: Now, answer: &GrantBatchAnswer) -> Result<(), MoneyError> {
        let mut batches = self.lock_batches();
        self.record_answer_at(now);
        let Some(batch) = batches.pending.take_if(|batch| batch.seq == answer.seq) else {
            return Ok(());
        };
        self.record_scarcity(now, &batch, answer);
        for report in &batch.reports {
            let amounts = (report.settled, report.returned);
            batches.reported.insert(report.grant, amounts);
        }
        for id in &answer.closed {
            batches.reported.remove(id);
            self.for_each_budget(|budget_grants| budget_grants.remove(*id));
        }
        self.recall(&answer.recalled);
        for refusal in &answer.refused {
            self.record_refusal(now, refusal);
        }
        for grant in &answer.opened {
            let still_short = answer.refused.iter().any(|r| r.budget == grant.budget);
            self.add_grant(&mut batches, grant, still_short)?;
        }
        let oldest = batches.reported.first_key_value();
        let oldest = oldest.map_or(0, |(id, _)| *id);
        self.oldest_open_grant.store(oldest, Ordering::Release);
        drop(batches);
        self.notify_changed();
        Ok(())
    }

    /// Handles the ledger's refusal of a whole batch. Returns whether this incarnation is over.
    pub fn apply_denial(&self, now: Now, denial: &Denial) -> bool {
        self.record_answer_at(now);
        match denial {
            // Otherwise a router that was declared lost while it was frozen would continue to
            // reserve from grants that are being closed by evidence.
            Denial::Fenced | Denial::OldIncarnation => self.fence(),
            // The batch was applied long ago and its answer is lost. Any grant it opened stays
            // unused until this router leaves.
            _ => self.lock_batches().pending = None,
        }
        self.is_fenced()
    }

    /// Fences this incarnation of the router: nothing can be reserved any more.
    pub fn fence(&self) {
        self.fenced.store(true, Ordering::Release);
        self.notify_changed();
    }

    /// Planned stop: returns every grant as soon as no request uses it.
    pub fn begin_drain(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether no grant is left: all are settled, reported and returned.
    pub fn is_empty(&self) -> bool {
        let budgets = self.budgets.load();
        budgets
            .values()
            .all(|budget_grants| budget_grants.grants.load().is_empty())
    }

    fn record_answer_at(&self, now: Now) {
        self.last_answer.fetch_max(millis(now), Ordering::AcqRel);
        self.unanswered_since
            .store(NO_BATCH_PENDING, Ordering::Release);
    }

    /// Composes the next batch. Once a second it covers every budget; in between only those with a
    /// shortage, so that an urgent request does not carry the reports of all others.
    fn compose(&self, now: Now, batches: &mut BatchState) -> Option<GrantBatch> {
        let since = now.saturating_sub(batches.last_full_at);
        let covers_all =
            since >= self.policy.batch_interval || self.stopping.load(Ordering::Acquire);
        if covers_all {
            batches.last_full_at = now;
        }
        self.urgent.store(false, Ordering::Release);
        let mut reports = Vec::new();
        let mut asks = Vec::new();
        self.for_each_budget(|budget_grants| {
            if covers_all {
                // Measured over less than a second, a single request would look like a burst.
                let demand = &budget_grants.demand;
                let largest = demand.largest();
                let (charged, requests) =
                    demand.update_averages(since, self.policy.smoothing_window);
                let added = AddedDemand {
                    charged,
                    requests,
                    largest,
                };
                self.update_outage_cover(now, budget_grants, since, &added);
            } else if !budget_grants.has_shortage() {
                return;
            }
            let budget_asks = self.grant_asks(now, budget_grants);
            let grants = budget_grants.grants.load();
            let close = self.grants_to_close(now, budget_grants, budget_asks.last());
            let surplus = covers_all.then(|| self.surplus_returns(now, budget_grants, &grants));
            let surplus = surplus.flatten().unwrap_or_default();
            for (i, grant) in grants.iter().enumerate() {
                let returned = surplus.get(i).copied().unwrap_or(GrantReturn::Nothing);
                let should_close = close.contains(&grant.id) || returned == GrantReturn::All;
                let close = should_close && grant.close_if_idle();
                if should_close && !close {
                    grant.return_free(Tokens::MAX);
                }
                if let (GrantReturn::Part(tokens), false) = (returned, should_close) {
                    grant.return_free(tokens);
                }
                reports.push(GrantReport {
                    grant: grant.id,
                    settled: grant.settled(),
                    returned: grant.returned(),
                    close: close || grant.is_closed(),
                });
            }
            asks.extend(budget_asks);
        });
        let already_reported =
            |r: &GrantReport| batches.reported.get(&r.grant) == Some(&(r.settled, r.returned));
        reports.retain(|r| r.close || !already_reported(r));
        // Closed grants first: they return tokens that others can use.
        reports.sort_by_key(|report| !report.close);
        reports.truncate(self.policy.max_reports);
        asks.truncate(self.policy.max_asks);
        if reports.is_empty() && asks.is_empty() && !self.keepalive_due(now) {
            return None;
        }
        batches.seq += 1;
        Some(GrantBatch {
            router: self.router.clone(),
            incarnation: self.incarnation,
            seq: batches.seq,
            reports,
            asks,
        })
    }

    /// Whether an empty batch is due. While there is nothing to report, these keep the time of the
    /// ledger's last answer recent.
    fn keepalive_due(&self, now: Now) -> bool {
        let last_answer = self.last_answer.load(Ordering::Acquire);
        let since = now.saturating_sub(Duration::from_millis(last_answer));
        since >= self.policy.max_ledger_wait / 2 && !self.budgets.load().is_empty()
    }

    /// The grant requests for a budget whose free tokens would not last, or which had a shortage;
    /// the one with the smallest `least` comes last.
    ///
    /// The largest and the smallest shortage are asked for separately. Otherwise, near the end of a
    /// budget, small requests that would fit wait behind one large request that needs more than is
    /// left.
    fn grant_asks(&self, now: Now, budget_grants: &BudgetGrants) -> Vec<GrantRequest> {
        let largest_shortage = budget_grants.largest_shortage.swap(0, Ordering::AcqRel);
        let smallest_shortage = budget_grants
            .smallest_shortage
            .swap(u64::MAX, Ordering::AcqRel);
        if self.stopping.load(Ordering::Acquire) {
            return Vec::new();
        }
        let hold = budget_grants.outage_cover().hold();
        if let Some((hold, bound)) = hold
            && largest_shortage == 0
        {
            return top_up_asks(budget_grants, hold, bound);
        }
        let rate = budget_grants.demand.rate();
        let largest = budget_grants.demand.largest().max(largest_shortage);
        let idle = now > budget_grants.demand.last_request() + self.policy.idle_timeout;
        let full_horizon = self.horizon();
        let expected = budget_grants.demand.expected_within(full_horizon);
        let is_sparse = expected < self.policy.min_expected_requests;
        let horizon = if is_sparse {
            Duration::ZERO
        } else {
            full_horizon
        };
        let spare = self.policy.spare_requests;
        let ahead = needed_for(rate, horizon / RENEWAL_DIVISOR).saturating_add(spare * largest);
        let enough = budget_grants.free() >= ahead || idle;
        // A budget that was just refused is asked for again only on demand.
        let last_refusal = **budget_grants.last_refusal.load();
        let recently_refused =
            last_refusal.is_some_and(|v| now < v.at + self.policy.refusal_lifetime);
        if largest_shortage == 0 && (enough || recently_refused) {
            return Vec::new();
        }
        let horizon = hold.map_or_else(
            || needed_for(rate, horizon),
            |(hold, bound)| missing_tokens(hold, bound, &budget_grants.free_by_grant()),
        );
        let ask_for = |least: Tokens, ahead: Tokens| GrantRequest {
            budget: budget_grants.budget.clone(),
            wanted: ahead.saturating_add(least.saturating_mul(spare)).max(least),
            least,
        };
        if largest_shortage > smallest_shortage {
            // The first request covers the expected demand; the second only the smallest shortage.
            return vec![
                ask_for(largest_shortage, horizon),
                ask_for(smallest_shortage, 0),
            ];
        }
        vec![ask_for(
            if largest_shortage > 0 {
                largest_shortage
            } else {
                largest
            },
            horizon,
        )]
    }

    /// Grants of a budget that should be returned: recalled, used up, idle, or too small for the
    /// shortage, so that the ledger can combine their rest and its own into one grant.
    fn grants_to_close(
        &self,
        now: Now,
        budget_grants: &BudgetGrants,
        grant_request: Option<&GrantRequest>,
    ) -> BTreeSet<GrantId> {
        let stopping = self.stopping.load(Ordering::Acquire);
        let idle = now > budget_grants.demand.last_request() + self.policy.idle_timeout;
        let largest = budget_grants.demand.largest();
        let grants = budget_grants.grants.load();
        let newest = grants.last().map(|grant| grant.id);
        // Rests of grants that outlast an outage go back only once they are replaced: the batch
        // that requests the replacement may be the first one that stays unanswered.
        let outlasts = budget_grants.outage_cover().hold().is_some();
        let should_close = |grant: &&Arc<OpenGrant>| {
            if outlasts {
                return stopping || grant.is_recalled();
            }
            let too_small =
                grant_request.is_some_and(|grant_request| grant.free() < grant_request.least);
            let used_up = grant.free() < largest && Some(grant.id) != newest;
            stopping || idle || grant.is_recalled() || too_small || used_up
        };
        grants
            .iter()
            .filter(should_close)
            .map(|grant| grant.id)
            .collect()
    }

    fn recall(&self, recalled: &[GrantId]) {
        self.for_each_budget(|budget_grants| {
            for grant in budget_grants.grants.load().iter() {
                if recalled.contains(&grant.id) {
                    grant.recall();
                }
            }
        });
    }

    fn record_refusal(&self, now: Now, refusal: &GrantRefusal) {
        let budgets = self.budgets.load();
        let Some(budget_grants) = budgets.get(&refusal.budget) else {
            return;
        };
        let before = **budget_grants.last_refusal.load();
        let unbroken = before.filter(|before| now < before.at + self.policy.max_refusal_gap);
        budget_grants
            .last_refusal
            .store(Arc::new(Some(LedgerRefusal {
                at: now,
                unbroken_since: unbroken.map_or(now, |before| before.unbroken_since),
                left: refusal.left,
                outstanding: refusal.outstanding,
            })));
    }

    /// Adds a new grant. `still_short` means that a larger request for its budget was refused in
    /// the same answer, so that the ledger's refusal remains valid.
    fn add_grant(
        &self,
        batches: &mut BatchState,
        grant: &Grant,
        still_short: bool,
    ) -> Result<(), MoneyError> {
        let ours = grant.router == self.router && grant.incarnation == self.incarnation;
        if !ours {
            return Err(MoneyError::NotOurs { grant: grant.id });
        }
        let budgets = self.budgets.load();
        let Some(budget_grants) = budgets.get(&grant.budget) else {
            return Ok(());
        };
        let amounts = (grant.settled, grant.returned);
        batches.reported.insert(grant.id, amounts);
        budget_grants.add(OpenGrant::new(grant));
        if !still_short {
            budget_grants.last_refusal.store(Arc::new(None));
        }
        Ok(())
    }

    fn for_each_budget(&self, mut f: impl FnMut(&BudgetGrants)) {
        for budget_grants in self.budgets.load().values() {
            f(budget_grants);
        }
    }
}

/// The request that tops up what is held for an outage, if it is due. It is never refused while
/// anything is left: a refusal would recall every router's grants although no request lacks tokens.
fn top_up_asks(budget_grants: &BudgetGrants, hold: Tokens, bound: Tokens) -> Vec<GrantRequest> {
    let wanted = tokens_to_request(hold, bound, &budget_grants.free_by_grant());
    let request = wanted.map(|wanted| GrantRequest {
        budget: budget_grants.budget.clone(),
        wanted,
        least: 1,
    });
    request.into_iter().collect()
}
