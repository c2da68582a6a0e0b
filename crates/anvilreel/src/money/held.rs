//! Everything a router holds of one budget.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use anvil_world::prelude::*;
use arc_swap::ArcSwap;

use super::OpenGrant;
use super::demand::Demand;

/// What the ledger last said to an ask that got nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Verdict {
    pub(super) at: Now,
    /// When the first one came of the refusals that have followed each other since without a break.
    pub(super) since: Now,
    pub(super) left: Tokens,
    pub(super) outstanding: Tokens,
}

/// One budget's grants and demand at this router.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) budget: BudgetId,
    pub(super) demand: Demand,
    /// In the order of their numbers; replaced whole when a grant comes or goes.
    pub(super) grants: ArcSwap<Vec<Arc<OpenGrant>>>,
    pub(super) verdict: ArcSwap<Option<Verdict>>,
    /// Largest request that found too little since the last batch, in tokens.
    pub(super) lacking: AtomicU64,
    /// The smallest one; `u64::MAX` for none.
    pub(super) lacking_least: AtomicU64,
}

impl Held {
    pub(super) fn new(budget: BudgetId) -> Self {
        Self {
            budget,
            demand: Demand::default(),
            grants: ArcSwap::default(),
            verdict: ArcSwap::default(),
            lacking: AtomicU64::new(0),
            lacking_least: AtomicU64::new(u64::MAX),
        }
    }

    /// Reserves out of the first grant that has so much free. Old grants come first, so that
    /// they are used up and closed.
    pub(super) fn reserve(&self, tokens: Tokens) -> Option<Arc<OpenGrant>> {
        let grants = self.grants.load();
        grants.iter().find(|grant| grant.reserve(tokens)).cloned()
    }

    /// Whether a request found too little since the last batch.
    pub(super) fn lacks(&self) -> bool {
        self.lacking.load(std::sync::atomic::Ordering::Acquire) > 0
    }

    /// Tokens free in all grants.
    pub(super) fn free(&self) -> Tokens {
        self.grants.load().iter().map(|grant| grant.free()).sum()
    }

    /// Tokens reserved in all grants.
    pub(super) fn reserved(&self) -> Tokens {
        self.grants.load().iter().map(|g| g.reserved()).sum()
    }

    /// Takes in a grant. Call only while the batches' lock is held.
    pub(super) fn add(&self, grant: OpenGrant) {
        let mut grants = Vec::clone(&self.grants.load());
        if grants.iter().all(|known| known.id != grant.id) {
            grants.push(Arc::new(grant));
            self.grants.store(Arc::new(grants));
        }
    }

    /// Drops a grant. Call only while the batches' lock is held.
    pub(super) fn remove(&self, id: GrantId) {
        let mut grants = Vec::clone(&self.grants.load());
        grants.retain(|grant| grant.id != id);
        self.grants.store(Arc::new(grants));
    }
}
