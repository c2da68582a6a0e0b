//! Claims of non-idempotent requests: one sidecar runs a request, also when it is retried.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::{Claim, ClaimRecord, ClaimState, Denial, EntityKind, SettleClaim};
use anvil_world::document::FleetDocument;
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

/// Claims by request key, kept for as long as a retry may arrive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Claims {
    keep: Duration,
    clock: SystemTime,
    by_key: BTreeMap<RequestKey, (Claim, ClaimState)>,
    by_time: BTreeSet<(SystemTime, RequestKey)>,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            keep: FleetDocument::default().keep_claims,
            clock: UNIX_EPOCH,
            by_key: BTreeMap::new(),
            by_time: BTreeSet::new(),
        }
    }
}

impl Claims {
    pub(super) fn set_keep(&mut self, keep: Duration) {
        self.keep = keep;
    }

    /// Claims a key, or returns the claim that holds it already.
    pub(super) fn claim(&mut self, claim: &Claim) -> ClaimRecord {
        self.clock = self.clock.max(claim.at);
        self.expire();
        if let Some(first) = self.get(&claim.key) {
            return answer_to(claim, first);
        }
        self.by_time.insert((claim.at, claim.key.clone()));
        let kept = (claim.clone(), ClaimState::Open);
        self.by_key.insert(claim.key.clone(), kept);
        ClaimRecord {
            claim: claim.clone(),
            state: ClaimState::Open,
            fresh: true,
        }
    }

    /// Records the outcome of a claim. `NotRun` removes the claim, so that a retry may run.
    pub(super) fn settle(&mut self, settle: &SettleClaim) -> Result<Answer, Denial> {
        let Some((claim, state)) = self.by_key.get_mut(&settle.key) else {
            return Err(Denial::Unknown {
                what: EntityKind::Claim,
                name: settle.key.id.to_string(),
            });
        };
        // The first known outcome stands: a late "not run" must not release a key whose request has
        // completed. An outcome of another claim than the present one is ignored.
        if *state != ClaimState::Open || claim.id != settle.id {
            return Ok(Answer::Done);
        }
        if matches!(settle.outcome, Outcome::NotRun(_)) {
            let at = claim.at;
            self.by_key.remove(&settle.key);
            self.by_time.remove(&(at, settle.key.clone()));
        } else {
            *state = ClaimState::Settled(settle.outcome.clone());
        }
        Ok(Answer::Done)
    }

    pub(super) fn get(&self, key: &RequestKey) -> Option<ClaimRecord> {
        let (claim, state) = self.by_key.get(key)?;
        Some(ClaimRecord {
            claim: claim.clone(),
            state: state.clone(),
            fresh: false,
        })
    }

    fn expire(&mut self) {
        let oldest = self.clock.checked_sub(self.keep).unwrap_or(UNIX_EPOCH);
        while let Some((at, _)) = self.by_time.first()
            && *at < oldest
        {
            if let Some((_, key)) = self.by_time.pop_first() {
                self.by_key.remove(&key);
            }
        }
    }
}

/// The present claim, as the answer to a later one. A resent claim is still fresh: its first answer
/// was lost, and no other claimant has received an answer that it holds the claim.
fn answer_to(claim: &Claim, first: ClaimRecord) -> ClaimRecord {
    let resent = first.claim.id == claim.id && first.state == ClaimState::Open;
    ClaimRecord {
        fresh: resent,
        ..first
    }
}
