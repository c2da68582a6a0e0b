//! The ground truth: what ran, what was billed for which key, what callers got.

use std::collections::{BTreeMap, BTreeSet};

use anvil_world::prelude::*;

use super::callers::Caller;

/// What really happened, as no part of the product sees it.
#[derive(Debug, Default)]
pub struct Truth {
    pub violations: Vec<String>,
    /// Engine runs begun, by key.
    pub begun: BTreeMap<RequestKey, u64>,
    /// Engine runs begun, by the exchange whose start began it.
    pub begun_by: BTreeMap<(usize, Incarnation, u64), u64>,
    /// Exchanges that told their caller "not run".
    pub told_not_run: BTreeSet<(usize, Incarnation, u64)>,
    /// What was billed for a key, by grant. The same grant billed by its router and by evidence
    /// is one bill: the ledger merges the two by maximum.
    bills: BTreeMap<RequestKey, BTreeMap<GrantId, Tokens>>,
    /// What routers settled, in order, by grant.
    settled: BTreeMap<GrantId, Vec<(RequestKey, Tokens)>>,
    /// What the ledger took as settled of each grant. A router that was fenced meanwhile may
    /// have settled more: that is no bill, for nobody heard of it.
    pub reported: BTreeMap<GrantId, Tokens>,
    /// Which lives of sidecars ran each key.
    pub ran_at: BTreeMap<RequestKey, BTreeSet<(usize, Incarnation)>>,
    /// Lives of sidecars that were killed or declared lost, with the answers they kept.
    pub lost_lives: BTreeSet<(usize, Incarnation)>,
    /// Keys billed again, or not at all, after a sidecar that ran them was lost.
    pub lost_with_sidecar: BTreeSet<RequestKey>,
    /// Non-idempotent keys of which more than one try was in doubt and billed.
    pub doubts_billed: BTreeSet<RequestKey>,
    /// Which keys were begun under which grant.
    pub under: BTreeMap<GrantId, BTreeSet<RequestKey>>,
    /// Grants that an operator gave up. Seed 252: one of a router and a sidecar that were only
    /// cut off, and a run began under it after that. It is the operator's risk, see
    /// docs/operators/budgets.md.
    pub given_up: BTreeSet<GrantId>,
    /// Keys begun under a grant that only an operator could close.
    pub written_off: BTreeSet<RequestKey>,
}

impl Truth {
    pub fn violate(&mut self, what: String) {
        self.violations.push(what);
    }

    pub fn settle(&mut self, key: &RequestKey, grant: GrantId, tokens: Tokens) {
        let settled = self.settled.entry(grant).or_default();
        settled.push((key.clone(), tokens));
    }

    pub fn report(&mut self, grant: GrantId, settled: Tokens) {
        let known = self.reported.entry(grant).or_default();
        *known = (*known).max(settled);
    }

    /// Turns what was reported into bills.
    fn bill_reported(&mut self) {
        for (grant, settled) in std::mem::take(&mut self.settled) {
            let mut left = self.reported.get(&grant).copied().unwrap_or_default();
            for (key, tokens) in settled {
                if tokens > left {
                    break;
                }
                left -= tokens;
                self.bill(&key, grant, tokens);
            }
        }
    }

    pub fn bill(&mut self, key: &RequestKey, grant: GrantId, tokens: Tokens) {
        let grants = self.bills.entry(key.clone()).or_default();
        let known = grants.entry(grant).or_default();
        *known = (*known).max(tokens);
    }

    pub fn billed_for(&self, key: &RequestKey) -> Tokens {
        self.bills
            .get(key)
            .map_or(0, |grants| grants.values().sum())
    }

    /// What must hold when all is over.
    pub fn check(
        &mut self,
        callers: &[Caller],
        billed: &BTreeMap<BudgetId, (Tokens, Tokens)>,
    ) -> Result<(), String> {
        self.bill_reported();
        for (budget, (billed, credited)) in billed {
            if billed > credited {
                return Err(format!("overspend: {budget} billed {billed} of {credited}"));
            }
        }
        for exchange in &self.told_not_run {
            if self.begun_by.contains_key(exchange) {
                return Err(format!("told not run, but ran: {exchange:?}"));
            }
        }
        callers
            .iter()
            .try_for_each(|caller| self.check_caller(caller))
    }

    /// How many lost lives of sidecars ran a key.
    fn lost_lives_of(&self, key: &RequestKey) -> usize {
        let lives = self.ran_at.get(key).into_iter().flatten();
        lives.filter(|life| self.lost_lives.contains(life)).count()
    }

    fn check_caller(&mut self, caller: &Caller) -> Result<(), String> {
        let key = &caller.key;
        let runs = self.begun.get(key).copied().unwrap_or_default();
        if caller.once && runs > 1 {
            return Err(format!("{runs} runs of the non-idempotent {key:?}"));
        }
        let billed = self.billed_for(key);
        let most = caller.full_cost();
        // See docs/PROOFS.md, "what is not proved": an answer is kept by one sidecar only. Lost
        // with it after it was billed, it is run and billed again for the caller who comes back;
        // and what a sidecar gives that was declared lost while it lives is billed to nobody.
        let lost = self.lost_lives_of(key);
        let again = most * Tokens::try_from(lost).unwrap_or(0);
        let whole = caller.got_whole && !self.written_off.contains(key);
        let strict = billed <= most && (!whole || billed == most);
        if !strict && lost > 0 && !caller.once && billed <= most + again {
            self.lost_with_sidecar.insert(key.clone());
            return Ok(());
        }
        // See docs/PROOFS.md: each try of a non-idempotent key that ended in doubt is billed.
        let doubts = Tokens::from(caller.doubts);
        if caller.once && billed > most && billed <= most * doubts {
            self.doubts_billed.insert(key.clone());
            return Ok(());
        }
        if billed > most {
            let bills = self.bills.get(key);
            return Err(format!(
                "{key:?} billed {billed}, its whole answer costs {most}: {bills:?}"
            ));
        }
        // A non-idempotent call in doubt is billed as if it ran: the customer is told "unknown".
        let in_doubt = caller.doubts > 0;
        if runs == 0 && billed > 0 && !(caller.once && in_doubt) {
            return Err(format!("{key:?} never ran and was billed {billed}"));
        }
        if whole && billed != most {
            return Err(format!("{key:?} got its answer, billed {billed} of {most}"));
        }
        Ok(())
    }
}
