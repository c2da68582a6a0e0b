//! The claims that one router keeps for its peers.

use std::collections::{BTreeMap, BTreeSet};

use anvil_wire::msg::{HolderLife, PlacedClaim, RouterReply, RouterRequest};
use anvil_world::prelude::*;

/// Most claims kept: at the design size 30,000 requests a second for five minutes, twice, over
/// 500 routers are 36,000; the rest is for days when few routers are left.
const MOST: usize = 200_000;

#[derive(Debug, Clone)]
struct Kept {
    claim: PlacedClaim,
    until: Now,
}

/// Kept claims, by key and by the time they may be forgotten.
#[derive(Debug, Default)]
pub struct ClaimBook {
    by_key: BTreeMap<RequestKey, Kept>,
    by_time: BTreeSet<(Now, RequestKey)>,
    leaving: bool,
}

impl ClaimBook {
    /// Answers one request of a peer or of this router itself.
    ///
    /// `vouch` tells whether this router may vouch for a claim that is put, see
    /// [`super::Tenure::vouches`].
    pub fn handle(
        &mut self,
        now: Now,
        req: RouterRequest,
        vouch: impl FnOnce(&RequestKey, &[HolderLife]) -> bool,
    ) -> RouterReply {
        self.expire(now);
        match req {
            RouterRequest::Get(key) => RouterReply::Claim(self.get(&key).cloned()),
            RouterRequest::Put(claim) => self.put(now, claim),
            RouterRequest::PutAs { claim, holders } => {
                let vouches = vouch(&claim.key, &holders);
                let stands = self.put(now, claim);
                if vouches {
                    stands
                } else {
                    RouterReply::Leaving
                }
            }
            RouterRequest::Replace { old, new } => self.replace(now, &old, new),
            RouterRequest::HandOver(claims) => self.take_over(now, claims),
        }
    }

    /// The planned stop: nothing new is kept. Returns all claims, for each to be handed over to
    /// the router that holds its key from now on.
    pub fn leave(&mut self, now: Now) -> Vec<PlacedClaim> {
        self.expire(now);
        self.leaving = true;
        let left = |kept: &Kept| PlacedClaim {
            keep: kept.until.saturating_sub(now),
            ..kept.claim.clone()
        };
        self.by_key.values().map(left).collect()
    }

    /// Claims kept, for metrics.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    fn get(&self, key: &RequestKey) -> Option<&PlacedClaim> {
        self.by_key.get(key).map(|kept| &kept.claim)
    }

    /// The first claim of a key stands.
    fn put(&mut self, now: Now, claim: PlacedClaim) -> RouterReply {
        if let Some(first) = self.get(&claim.key) {
            return RouterReply::Claim(Some(first.clone()));
        }
        if self.leaving || self.by_key.len() >= MOST {
            return RouterReply::Leaving;
        }
        self.keep(now, claim.clone());
        RouterReply::Claim(Some(claim))
    }

    /// Replaces a claim whose sidecar is lost, unless another router was first.
    fn replace(&mut self, now: Now, old: &InstanceId, new: PlacedClaim) -> RouterReply {
        let stands = self
            .get(&new.key)
            .is_some_and(|claim| claim.sidecar != *old);
        if stands || self.leaving {
            return RouterReply::Claim(self.get(&new.key).cloned());
        }
        self.forget(&new.key);
        self.put(now, new)
    }

    fn take_over(&mut self, now: Now, claims: Vec<PlacedClaim>) -> RouterReply {
        if self.leaving {
            return RouterReply::Leaving;
        }
        for claim in claims {
            self.put(now, claim);
        }
        RouterReply::Kept
    }

    fn keep(&mut self, now: Now, claim: PlacedClaim) {
        let until = now + claim.keep;
        let key = claim.key.clone();
        self.by_time.insert((until, key.clone()));
        self.by_key.insert(key, Kept { claim, until });
    }

    fn forget(&mut self, key: &RequestKey) {
        if let Some(kept) = self.by_key.remove(key) {
            self.by_time.remove(&(kept.until, key.clone()));
        }
    }

    fn expire(&mut self, now: Now) {
        while let Some((until, _)) = self.by_time.first()
            && *until <= now
        {
            if let Some((_, key)) = self.by_time.pop_first() {
                self.by_key.remove(&key);
            }
        }
    }
}
