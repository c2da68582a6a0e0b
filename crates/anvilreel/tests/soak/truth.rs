//! The ground truth: what ran, what was charged for which key, and which exchanges reported
//! that nothing ran.
//!
//! It is recorded by the simulation itself, independently of the state machines under test, and
//! compared with their results at the end.

use std::collections::{BTreeMap, BTreeSet};

use anvil_world::prelude::*;

use super::callers::Caller;

/// What really happened in a run.
#[derive(Debug, Default)]
pub struct GroundTruth {
    /// Violated invariants found while the simulation ran.
    pub violations: Vec<String>,
    /// Number of engine runs, by key.
    pub runs_started: BTreeMap<RequestKey, u64>,
    /// Number of engine runs, by the exchange that started them: router, its incarnation, exchange.
    pub starts_by_exchange: BTreeMap<(usize, Incarnation, u64), u64>,
    /// Exchanges that ended with the outcome "not run".
    pub reported_not_run: BTreeSet<(usize, Incarnation, u64)>,
    /// Tokens charged for a key, by grant. A charge that is reported by the router and by a sidecar's
    /// evidence counts once: the ledger merges the two by maximum.
    charges: BTreeMap<RequestKey, BTreeMap<GrantId, Tokens>>,
    /// Settlements of routers in order, by grant.
    settled: BTreeMap<GrantId, Vec<(RequestKey, Tokens)>>,
    /// Tokens of each grant that routers reported to the ledger as settled. A router that was fenced
    /// may have settled more; that is not charged, as it never reached the ledger.
    pub reported: BTreeMap<GrantId, Tokens>,
    /// Sidecar incarnations that ran each key.
    pub ran_on: BTreeMap<RequestKey, BTreeSet<(usize, Incarnation)>>,
    /// Sidecar incarnations that were killed or declared lost, with the answers that they kept.
    pub lost_incarnations: BTreeSet<(usize, Incarnation)>,
    /// Keys charged again, or not at all, after a sidecar that ran them was lost.
    pub lost_with_sidecar: BTreeSet<RequestKey>,
    /// Non-idempotent keys of which more than one attempt was in doubt and charged.
    pub charged_in_doubt: BTreeSet<RequestKey>,
    /// Keys whose runs were started under each grant.
    pub keys_by_grant: BTreeMap<GrantId, BTreeSet<RequestKey>>,
    /// Grants that an operator wrote off. A run may begin under such a grant afterwards, if its router
    /// and a sidecar were only partitioned (seed 252 shows this). The operator takes this risk, see
    /// docs/operators/budgets.md.
    pub written_off_grants: BTreeSet<GrantId>,
    /// Keys started under a grant that was written off.
    pub written_off_keys: BTreeSet<RequestKey>,
}

impl GroundTruth {
    pub fn record_violation(&mut self, what: String) {
        self.violations.push(what);
    }

    pub fn record_settlement(&mut self, key: &RequestKey, grant: GrantId, tokens: Tokens) {
        let settled = self.settled.entry(grant).or_default();
        settled.push((key.clone(), tokens));
    }

    pub fn record_report(&mut self, grant: GrantId, settled: Tokens) {
        let known = self.reported.entry(grant).or_default();
        *known = (*known).max(settled);
    }

    /// Turns the settlements that were reported into charges.
    fn charge_reported(&mut self) {
        for (grant, settled) in std::mem::take(&mut self.settled) {
            let mut left = self.reported.get(&grant).copied().unwrap_or_default();
            for (key, tokens) in settled {
                if tokens > left {
                    break;
                }
                left -= tokens;
                self.record_charge(&key, grant, tokens);
            }
        }
    }

    pub fn record_charge(&mut self, key: &RequestKey, grant: GrantId, tokens: Tokens) {
        let grants = self.charges.entry(key.clone()).or_default();
        let known = grants.entry(grant).or_default();
        *known = (*known).max(tokens);
    }

    pub fn charged_for(&self, key: &RequestKey) -> Tokens {
        self.charges
            .get(key)
            .map_or(0, |grants| grants.values().sum())
    }

    /// Checks what must hold at the end of a run. `charged` is charged and credited tokens by budget.
    pub fn check(
        &mut self,
        callers: &[Caller],
        charged: &BTreeMap<BudgetId, (Tokens, Tokens)>,
    ) -> Result<(), String> {
        self.charge_reported();
        for (budget, (charged, credited)) in charged {
            if charged > credited {
                return Err(format!(
                    "overspend: {budget} charged {charged} of {credited}"
                ));
            }
        }
        for exchange in &self.reported_not_run {
            if self.starts_by_exchange.contains_key(exchange) {
                return Err(format!("reported as not run, but ran: {exchange:?}"));
            }
        }
        callers
            .iter()
            .try_for_each(|caller| self.check_caller(caller))
    }

    /// Number of lost sidecar incarnations that ran a key.
    fn lost_incarnations_of(&self, key: &RequestKey) -> usize {
        let incarnations = self.ran_on.get(key).into_iter().flatten();
        incarnations
            .filter(|incarnation| self.lost_incarnations.contains(incarnation))
            .count()
    }

    fn check_caller(&mut self, caller: &Caller) -> Result<(), String> {
        let key = &caller.key;
        let runs = self.runs_started.get(key).copied().unwrap_or_default();
        if caller.at_most_once && runs > 1 {
            return Err(format!("{runs} runs of the non-idempotent {key:?}"));
        }
        let charged = self.charged_for(key);
        let full_cost = caller.full_cost();
        // See docs/PROOFS.md, "what is not proved": an answer is kept by one sidecar only. If it is
        // lost with the sidecar after it was charged, a retry runs and is charged again; and what a
        // sidecar delivers after it was wrongly declared lost is charged to nobody.
        let lost = self.lost_incarnations_of(key);
        let repeated = full_cost * Tokens::try_from(lost).unwrap_or(0);
        let must_be_charged = caller.completed && !self.written_off_keys.contains(key);
        let is_exact = charged <= full_cost && (!must_be_charged || charged == full_cost);
        if !is_exact && lost > 0 && !caller.at_most_once && charged <= full_cost + repeated {
            self.lost_with_sidecar.insert(key.clone());
            return Ok(());
        }
        // See docs/PROOFS.md: each attempt of a non-idempotent key that ended in doubt is charged.
        let unknown_outcomes = Tokens::from(caller.unknown_outcomes);
        if caller.at_most_once && charged > full_cost && charged <= full_cost * unknown_outcomes {
            self.charged_in_doubt.insert(key.clone());
            return Ok(());
        }
        if charged > full_cost {
            let charges_by_grant = self.charges.get(key);
            return Err(format!(
                "{key:?} charged {charged}, its complete answer costs {full_cost}: {charges_by_grant:?}"
            ));
        }
        // A non-idempotent call in doubt is charged as if it ran: the caller gets the outcome "unknown".
        let in_doubt = caller.unknown_outcomes > 0;
        if runs == 0 && charged > 0 && !(caller.at_most_once && in_doubt) {
            return Err(format!("{key:?} never ran and was charged {charged}"));
        }
        if must_be_charged && charged != full_cost {
            return Err(format!(
                "{key:?} got its complete answer, charged {charged} of {full_cost}"
            ));
        }
        Ok(())
    }
}
