//! What a purse and the ledger tell each other: one batch at a time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_world::command::{
    Denial, GrantAsk, GrantBatch, GrantBatchAnswer, GrantRefusal, GrantReport,
};
use anvil_world::prelude::*;

use super::held::{Held, Verdict};
use super::purse::{ANSWERED, Purse, millis};
use super::sizing::needed_for;
use super::{MoneyError, OpenGrant};

/// A grant is renewed when what is free would last less than this part of the horizon.
const RENEW_PART: u32 = 3;

/// The batch under way and what was reported before.
#[derive(Debug, Default)]
pub(super) struct Batches {
    seq: BatchSeq,
    sent_at: Option<Now>,
    folded_at: Now,
    pending: Option<GrantBatch>,
    /// What the ledger is known to have of each open grant.
    reported: std::collections::BTreeMap<GrantId, (Tokens, Tokens)>,
}

impl Purse {
    /// The batch to be sent now, if one is due.
    ///
    /// An unanswered batch is given again unchanged, under its number: the ledger applies it
    /// once, so a lost answer opens no second grant.
    pub fn batch(&self, now: Now) -> Option<GrantBatch> {
        if self.is_fenced() {
            return None;
        }
        let mut batches = self.lock();
        // Failure: the first request on a budget waits for the next second to ask for a grant. It
        // shows as a first token after up to a second where the rest takes 25 ms.
        let every = if batches.pending.is_none() && self.is_urgent() {
            self.policy.urgent_every
        } else {
            self.policy.batch_every
        };
        if batches.sent_at.is_some_and(|at| now < at + every) {
            return None;
        }
        if batches.pending.is_none() {
            batches.pending = self.compose(now, &mut batches);
        }
        if batches.pending.is_some() {
            batches.sent_at = Some(now);
            self.unanswered.fetch_min(millis(now), Ordering::AcqRel);
        }
        batches.pending.clone()
    }

    /// Takes in the answer to a batch. Late and doubled answers change nothing.
    pub fn answered(&self, now: Now, answer: &GrantBatchAnswer) -> Result<(), MoneyError> {
        let mut batches = self.lock();
        self.heard_at(now);
        let Some(batch) = batches.pending.take_if(|batch| batch.seq == answer.seq) else {
            return Ok(());
        };
        for report in &batch.reports {
            let told = (report.settled, report.returned);
            batches.reported.insert(report.grant, told);
        }
        for id in &answer.closed {
            batches.reported.remove(id);
            self.each_held(|held| held.remove(*id));
        }
        self.recall(&answer.recalled);
        for refusal in &answer.refused {
            self.note(now, refusal);
        }
        for grant in &answer.opened {
            let short = answer.refused.iter().any(|r| r.budget == grant.budget);
            self.take_in(&mut batches, grant, short)?;
        }
        let oldest = batches.reported.first_key_value();
        let oldest = oldest.map_or(0, |(id, _)| *id);
        self.oldest.store(oldest, Ordering::Release);
        drop(batches);
        self.wake();
        Ok(())
    }

    /// Takes in that the ledger refused a whole batch. Returns whether this life is over.
    pub fn denied(&self, now: Now, denial: &Denial) -> bool {
        self.heard_at(now);
        match denial {
            // Guards against a router that was declared lost while it was frozen: it would go
            // on reserving out of grants that are being closed by evidence.
            Denial::Fenced | Denial::OldIncarnation => self.fence(),
            // The first answer is too long ago: the batch was applied, its answer is lost. What
            // it opened stays idle until this router leaves.
            _ => self.lock().pending = None,
        }
        self.is_fenced()
    }

    /// This life of the router was fenced: nothing is reserved any more.
    pub fn fence(&self) {
        self.fenced.store(true, Ordering::Release);
        self.wake();
    }

    /// The planned stop: every grant is given back as soon as nothing runs under it.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether no grant is left: all is settled, reported and given back.
    pub fn is_empty(&self) -> bool {
        let budgets = self.budgets.load();
        budgets.values().all(|held| held.grants.load().is_empty())
    }

    fn heard_at(&self, now: Now) {
        self.heard.fetch_max(millis(now), Ordering::AcqRel);
        self.unanswered.store(ANSWERED, Ordering::Release);
    }

    /// Once a second a batch speaks of every budget; in between only of those that lack, so that
    /// an urgent ask costs its own bytes and not everybody's reports.
    fn compose(&self, now: Now, batches: &mut Batches) -> Option<GrantBatch> {
        let since = now.saturating_sub(batches.folded_at);
        let whole = since >= self.policy.batch_every || self.stopping.load(Ordering::Acquire);
        if whole {
            batches.folded_at = now;
        }
        self.urgent.store(false, Ordering::Release);
        let mut reports = Vec::new();
        let mut asks = Vec::new();
        self.each_held(|held| {
            if whole {
                // A rate over less than a second would take one request for a flood.
                held.demand.fold(since, self.policy.smooth_over);
            } else if !held.lacks() {
                return;
            }
            let wanted = self.asks(now, held);
            let close = self.closable(now, held, wanted.last());
            for grant in held.grants.load().iter() {
                let goes = close.contains(&grant.id);
                let close = goes && grant.close_if_idle();
                if goes && !close {
                    grant.give_back();
                }
                reports.push(GrantReport {
                    grant: grant.id,
                    settled: grant.settled(),
                    returned: grant.returned(),
                    close: close || grant.is_closed(),
                });
            }
            asks.extend(wanted);
        });
        let told =
            |r: &GrantReport| batches.reported.get(&r.grant) == Some(&(r.settled, r.returned));
        reports.retain(|r| r.close || !told(r));
        // Closes first: they bring money back for others.
        reports.sort_by_key(|report| !report.close);
        reports.truncate(self.policy.max_reports);
        asks.truncate(self.policy.max_asks);
        if reports.is_empty() && asks.is_empty() && !self.is_due(now) {
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

    /// An empty batch now and then keeps "heard lately" true while there is nothing to say.
    fn is_due(&self, now: Now) -> bool {
        let heard = self.heard.load(Ordering::Acquire);
        let since = now.saturating_sub(Duration::from_millis(heard));
        since >= self.policy.patience / 2 && !self.budgets.load().is_empty()
    }

    /// Asks for a budget whose free tokens would not last, or that requests lacked; the one with
    /// the smallest `least` last.
    ///
    /// Failure: near the end of a budget one large request lacks more than is left, and small
    /// ones that would fit wait behind it. So the largest and the smallest are asked for each.
    fn asks(&self, now: Now, held: &Held) -> Vec<GrantAsk> {
        let lacking = held.lacking.swap(0, Ordering::AcqRel);
        let lacking_least = held.lacking_least.swap(u64::MAX, Ordering::AcqRel);
        if self.stopping.load(Ordering::Acquire) {
            return Vec::new();
        }
        let rate = held.demand.rate();
        let largest = held.demand.largest().max(lacking);
        let idle = now > held.demand.last() + self.policy.idle;
        let whole = self.horizon();
        let expected = held.demand.expected_within(whole);
        let is_sparse = expected < self.policy.least_expected;
        let horizon = if is_sparse { Duration::ZERO } else { whole };
        let spare = self.policy.spare_requests;
        let ahead = needed_for(rate, horizon / RENEW_PART).saturating_add(spare * largest);
        let enough = held.free() >= ahead || idle;
        // A budget that has just been said to be used up is asked for only on demand.
        let verdict = **held.verdict.load();
        let told = verdict.is_some_and(|v| now < v.at + self.policy.verdict_holds);
        if lacking == 0 && (enough || told) {
            return Vec::new();
        }
        let horizon = needed_for(rate, horizon);
        let of = |least: Tokens, ahead: Tokens| GrantAsk {
            budget: held.budget.clone(),
            wanted: ahead.saturating_add(least.saturating_mul(spare)).max(least),
            least,
        };
        if lacking > lacking_least {
            // The demand ahead is asked for once; the small request's ask covers that one.
            return vec![of(lacking, horizon), of(lacking_least, 0)];
        }
        vec![of(if lacking > 0 { lacking } else { largest }, horizon)]
    }

    /// Grants of a budget that should go back: recalled, used up, idle, or too small for what is
    /// lacking, so that the ledger can put their rest and its own into one grant.
    fn closable(&self, now: Now, held: &Held, ask: Option<&GrantAsk>) -> BTreeSet<GrantId> {
        let stopping = self.stopping.load(Ordering::Acquire);
        let idle = now > held.demand.last() + self.policy.idle;
        let largest = held.demand.largest();
        let grants = held.grants.load();
        let newest = grants.last().map(|grant| grant.id);
        let goes = |grant: &&Arc<OpenGrant>| {
            let too_small = ask.is_some_and(|ask| grant.free() < ask.least);
            let used_up = grant.free() < largest && Some(grant.id) != newest;
            stopping || idle || grant.is_recalled() || too_small || used_up
        };
        grants.iter().filter(goes).map(|grant| grant.id).collect()
    }

    fn recall(&self, recalled: &[GrantId]) {
        self.each_held(|held| {
            for grant in held.grants.load().iter() {
                if recalled.contains(&grant.id) {
                    grant.recall();
                }
            }
        });
    }

    fn note(&self, now: Now, refusal: &GrantRefusal) {
        let budgets = self.budgets.load();
        let Some(held) = budgets.get(&refusal.budget) else {
            return;
        };
        let before = **held.verdict.load();
        let unbroken = before.filter(|before| now < before.at + self.policy.row_within);
        held.verdict.store(Arc::new(Some(Verdict {
            at: now,
            since: unbroken.map_or(now, |before| before.since),
            left: refusal.left,
            outstanding: refusal.outstanding,
        })));
    }

    /// Takes in a new grant. `short` tells that a larger ask for its budget got nothing, so that
    /// the ledger's "no" still stands.
    fn take_in(&self, batches: &mut Batches, grant: &Grant, short: bool) -> Result<(), MoneyError> {
        let ours = grant.router == self.router && grant.incarnation == self.incarnation;
        if !ours {
            return Err(MoneyError::NotOurs { grant: grant.id });
        }
        let budgets = self.budgets.load();
        let Some(held) = budgets.get(&grant.budget) else {
            return Ok(());
        };
        let told = (grant.settled, grant.returned);
        batches.reported.insert(grant.id, told);
        held.add(OpenGrant::new(grant));
        if !short {
            held.verdict.store(Arc::new(None));
        }
        Ok(())
    }

    fn each_held(&self, mut f: impl FnMut(&Held)) {
        for held in self.budgets.load().values() {
            f(held);
        }
    }
}
