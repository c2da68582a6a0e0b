//! Claims of non-idempotent requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::{Claim, ClaimRecord, ClaimState, Denial, Noun, SettleClaim};
use anvil_world::document::FleetDocument;
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

/// Which sidecar runs which key, for as long as a retry may come.
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

    /// Claims a key, or tells who claimed it first.
    pub(super) fn claim(&mut self, claim: &Claim) -> ClaimRecord {
        self.clock = self.clock.max(claim.at);
        self.forget();
        if let Some(first) = self.get(&claim.key) {
            return as_seen_by(claim, first);
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

    /// Notes a claim's end. `NotRun` takes the claim away, so that a retry may run.
    pub(super) fn settle(&mut self, settle: &SettleClaim) -> Result<Answer, Denial> {
        let Some((claim, state)) = self.by_key.get_mut(&settle.key) else {
            return Err(Denial::Unknown {
                what: Noun::Claim,
                name: settle.key.id.to_string(),
            });
        };
        // The first known end stands: a late "not run" must not free a key that completed.
        // The end of another claim than the one that stands says nothing about it.
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

    fn forget(&mut self) {
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

/// The first claim, as it answers a later one. A resent claim is still fresh: its first answer
/// was lost on the way, and nobody else was told that it is theirs.
fn as_seen_by(claim: &Claim, first: ClaimRecord) -> ClaimRecord {
    let resent = first.claim.id == claim.id && first.state == ClaimState::Open;
    ClaimRecord {
        fresh: resent,
        ..first
    }
}
