//! The claims that one router holds for itself and other routers.

use std::collections::{BTreeMap, BTreeSet};

use anvil_wire::msg::{ClaimHolder, IdempotentClaim, RouterReply, RouterRequest};
use anvil_world::prelude::*;

/// Maximum number of stored claims. At the design size, 30,000 requests a second for five minutes,
/// each held twice, over 500 routers are 36,000; the rest is for times when few routers are left.
const MAX_CLAIMS: usize = 200_000;

#[derive(Debug, Clone)]
struct StoredClaim {
    claim: IdempotentClaim,
    expires_at: Now,
}

/// Stored claims, by key and by the time when they expire.
#[derive(Debug, Default)]
pub struct ClaimStore {
    by_key: BTreeMap<RequestKey, StoredClaim>,
    by_time: BTreeSet<(Now, RequestKey)>,
    leaving: bool,
}

impl ClaimStore {
    /// Answers a request of another router or of this one.
    ///
    /// `may_confirm` decides whether this router may confirm a claim that is put, see
    /// `holder_history`.
    pub fn handle(
        &mut self,
        now: Now,
        req: RouterRequest,
        may_confirm: impl FnOnce(&RequestKey, &[ClaimHolder]) -> bool,
    ) -> RouterReply {
        self.expire(now);
        match req {
            RouterRequest::Get(key) => RouterReply::Claim(self.get(&key).cloned()),
            RouterRequest::Put(claim) => self.put(now, claim),
            RouterRequest::PutAs { claim, holders } => {
                let confirmed = may_confirm(&claim.key, &holders);
                let recorded = self.put(now, claim);
                if confirmed {
                    recorded
                } else {
                    RouterReply::Leaving
                }
            }
            RouterRequest::Replace { old, new } => self.replace(now, &old, new),
            RouterRequest::HandOver(claims) => self.accept_hand_over(now, claims),
        }
    }

    /// Planned stop: accepts no new claims. Returns all stored claims, each to be handed over to
    /// the router that holds its key from now on.
    pub fn drain(&mut self, now: Now) -> Vec<IdempotentClaim> {
        self.expire(now);
        self.leaving = true;
        let with_time_left = |stored: &StoredClaim| IdempotentClaim {
            keep: stored.expires_at.saturating_sub(now),
            ..stored.claim.clone()
        };
        self.by_key.values().map(with_time_left).collect()
    }

    /// Number of stored claims, for metrics.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    fn get(&self, key: &RequestKey) -> Option<&IdempotentClaim> {
        self.by_key.get(key).map(|stored| &stored.claim)
    }

    /// Stores a claim, or returns the one already stored: the first claim of a key is kept.
    fn put(&mut self, now: Now, claim: IdempotentClaim) -> RouterReply {
        if let Some(first) = self.get(&claim.key) {
            return RouterReply::Claim(Some(first.clone()));
        }
        if self.leaving || self.by_key.len() >= MAX_CLAIMS {
            return RouterReply::Leaving;
        }
        self.store_claim(now, claim.clone());
        RouterReply::Claim(Some(claim))
    }

    /// Replaces a claim whose sidecar is lost, unless another router has already replaced it.
    fn replace(&mut self, now: Now, old: &InstanceId, new: IdempotentClaim) -> RouterReply {
        let recorded = self
            .get(&new.key)
            .is_some_and(|claim| claim.sidecar != *old);
        if recorded || self.leaving {
            return RouterReply::Claim(self.get(&new.key).cloned());
        }
        self.forget(&new.key);
        self.put(now, new)
    }

    fn accept_hand_over(&mut self, now: Now, claims: Vec<IdempotentClaim>) -> RouterReply {
        if self.leaving {
            return RouterReply::Leaving;
        }
        for claim in claims {
            self.put(now, claim);
        }
        RouterReply::Kept
    }

    fn store_claim(&mut self, now: Now, claim: IdempotentClaim) {
        let expires_at = now + claim.keep;
        let key = claim.key.clone();
        self.by_time.insert((expires_at, key.clone()));
        self.by_key.insert(key, StoredClaim { claim, expires_at });
    }

    fn forget(&mut self, key: &RequestKey) {
        if let Some(stored) = self.by_key.remove(key) {
            self.by_time.remove(&(stored.expires_at, key.clone()));
        }
    }

    fn expire(&mut self, now: Now) {
        while let Some((expires_at, _)) = self.by_time.first()
            && *expires_at <= now
        {
            if let Some((_, key)) = self.by_time.pop_first() {
                self.by_key.remove(&key);
            }
        }
    }
}
