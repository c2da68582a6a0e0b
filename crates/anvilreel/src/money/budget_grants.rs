//! The grants, demand and shortages of one budget at one router.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvil_world::prelude::*;
use arc_swap::ArcSwap;

use super::OpenGrant;
use super::demand::Demand;
use super::outage_cover::OutageCover;

/// The ledger's last refusal of a grant request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LedgerRefusal {
    pub(super) at: Now,
    /// When the first refusal of the current unbroken series arrived.
    pub(super) unbroken_since: Now,
    pub(super) left: Tokens,
    pub(super) outstanding: Tokens,
}

/// One budget's grants and demand at this router.
#[derive(Debug)]
pub(super) struct BudgetGrants {
    pub(super) budget: BudgetId,
    pub(super) demand: Demand,
    /// In the order of their ids; the whole list is replaced when a grant is added or removed.
    pub(super) grants: ArcSwap<Vec<Arc<OpenGrant>>>,
    pub(super) last_refusal: ArcSwap<Option<LedgerRefusal>>,
    /// Largest request that could not be reserved since the last batch, in tokens.
    pub(super) largest_shortage: AtomicU64,
    /// The smallest such request; `u64::MAX` for none.
    pub(super) smallest_shortage: AtomicU64,
    /// Used only by the task that exchanges batches, and for metrics.
    outage_cover: Mutex<OutageCover>,
}

impl BudgetGrants {
    pub(super) fn new(budget: BudgetId) -> Self {
        Self {
            budget,
            demand: Demand::default(),
            grants: ArcSwap::default(),
            last_refusal: ArcSwap::default(),
            largest_shortage: AtomicU64::new(0),
            smallest_shortage: AtomicU64::new(u64::MAX),
            outage_cover: Mutex::default(),
        }
    }

    pub(super) fn outage_cover(&self) -> MutexGuard<'_, OutageCover> {
        // A panic leaves at most one average too low, so a poisoned lock can be used.
        self.outage_cover
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Free tokens of each grant, oldest first.
    pub(super) fn free_by_grant(&self) -> Vec<Tokens> {
        self.grants
            .load()
            .iter()
            .map(|grant| grant.free())
            .collect()
    }

    /// Reserves from the first grant that has enough free tokens. Older grants come first, so that
    /// they are used up and closed.
    pub(super) fn reserve(&self, tokens: Tokens) -> Option<Arc<OpenGrant>> {
        let grants = self.grants.load();
        grants.iter().find(|grant| grant.reserve(tokens)).cloned()
    }

    /// Whether a request could not be reserved since the last batch.
    pub(super) fn has_shortage(&self) -> bool {
        self.largest_shortage
            .load(std::sync::atomic::Ordering::Acquire)
            > 0
    }

    /// Tokens free in all grants.
    pub(super) fn free(&self) -> Tokens {
        self.grants.load().iter().map(|grant| grant.free()).sum()
    }

    /// Tokens reserved in all grants.
    pub(super) fn reserved(&self) -> Tokens {
        self.grants.load().iter().map(|g| g.reserved()).sum()
    }

    /// Adds a grant. Must be called only while the batches' lock is held.
    pub(super) fn add(&self, grant: OpenGrant) {
        let mut grants = Vec::clone(&self.grants.load());
        if grants.iter().all(|known| known.id != grant.id) {
            grants.push(Arc::new(grant));
            self.grants.store(Arc::new(grants));
        }
    }

    /// Removes a grant. Must be called only while the batches' lock is held.
    pub(super) fn remove(&self, id: GrantId) {
        let mut grants = Vec::clone(&self.grants.load());
        grants.retain(|grant| grant.id != id);
        self.grants.store(Arc::new(grants));
    }
}
