//! One grant from which requests reserve tokens, without locks.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use anvil_world::prelude::*;

use super::MoneyError;

/// Bit set in `taken` once nothing more may be reserved.
const CLOSED: u64 = 1 << 63;

/// An open grant. Reserving and settling take no lock.
#[derive(Debug)]
pub struct OpenGrant {
    /// The grant's id.
    pub id: GrantId,
    /// The budget it belongs to.
    pub budget: BudgetId,
    /// Its size in tokens.
    pub amount: Tokens,
    /// Tokens settled, returned or reserved, with [`CLOSED`] in the top bit.
    taken: AtomicU64,
    settled: AtomicU64,
    /// Tokens returned to the ledger: included in `taken`, never free again.
    returned: AtomicU64,
    recalled: AtomicBool,
}

impl OpenGrant {
    pub(super) fn new(grant: &Grant) -> Self {
        Self {
            id: grant.id,
            budget: grant.budget.clone(),
            amount: grant.amount.min(CLOSED - 1),
            taken: AtomicU64::new(grant.settled + grant.returned),
            settled: AtomicU64::new(grant.settled),
            returned: AtomicU64::new(grant.returned),
            recalled: AtomicBool::new(grant.state != GrantState::Open),
        }
    }

    /// Tokens settled so far, as reported to the ledger.
    pub fn settled(&self) -> Tokens {
        self.settled.load(Ordering::Acquire)
    }

    /// Tokens returned to the ledger so far.
    pub fn returned(&self) -> Tokens {
        self.returned.load(Ordering::Acquire)
    }

    /// Tokens settled, returned or reserved.
    pub fn taken(&self) -> Tokens {
        self.taken.load(Ordering::Acquire) & !CLOSED
    }

    /// Tokens reserved and not settled.
    pub fn reserved(&self) -> Tokens {
        // `taken` is read last: the other two never exceed it, so the difference can't wrap.
        let settled_and_returned = self.settled() + self.returned();
        self.taken().saturating_sub(settled_and_returned)
    }

    /// Tokens still free in this grant; none once it is closed or recalled.
    pub fn free(&self) -> Tokens {
        if self.is_recalled() || self.is_closed() {
            return 0;
        }
        self.amount.saturating_sub(self.taken())
    }

    /// Whether nothing more may be reserved.
    pub fn is_closed(&self) -> bool {
        self.taken.load(Ordering::Acquire) & CLOSED != 0
    }

    /// Whether the ledger has recalled the rest.
    pub fn is_recalled(&self) -> bool {
        self.recalled.load(Ordering::Acquire)
    }

    /// Returns the tokens that are free now, at most `limit` of them. They are taken first and counted
    /// as returned afterwards, so that no token is both reserved and returned.
    pub(super) fn return_free(&self, limit: Tokens) {
        let mut free = 0;
        let fill = |taken: u64| {
            free = self.amount.saturating_sub(taken).min(limit);
            (taken & CLOSED == 0 && free > 0).then_some(taken + free)
        };
        let filled = self
            .taken
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, fill);
        if filled.is_ok() {
            self.returned.fetch_add(free, Ordering::AcqRel);
        }
    }

    pub(super) fn recall(&self) {
        self.recalled.store(true, Ordering::Release);
    }

    /// Reserves tokens if enough are free.
    ///
    /// Two requests can see the same free tokens; the compare-and-swap lets only one of them have
    /// them, so that the grant is never spent beyond its amount.
    pub(super) fn reserve(&self, tokens: Tokens) -> bool {
        if self.is_recalled() {
            return false;
        }
        let grow = |taken: u64| {
            let after = taken.checked_add(tokens)?;
            (taken & CLOSED == 0 && after <= self.amount).then_some(after)
        };
        self.taken
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, grow)
            .is_ok()
    }

    /// Settles `cost` of `reserved` tokens and frees the rest. A cost above the reservation is
    /// capped at the reservation and reported as an error.
    pub(super) fn settle(&self, reserved: Tokens, cost: Tokens) -> Result<(), MoneyError> {
        let settled = cost.min(reserved);
        // In this order `settled <= taken` holds at every moment.
        self.settled.fetch_add(settled, Ordering::AcqRel);
        self.taken.fetch_sub(reserved - settled, Ordering::AcqRel);
        if cost > reserved {
            return Err(MoneyError::OverReservation {
                grant: self.id,
                reserved,
                cost,
            });
        }
        self.check_invariant()
    }

    /// Checks the invariant at every step, also in release builds.
    pub(super) fn check_invariant(&self) -> Result<(), MoneyError> {
        let taken = self.taken();
        if taken <= self.amount {
            return Ok(());
        }
        Err(MoneyError::GrantOverdrawn {
            grant: self.id,
            amount: self.amount,
            taken,
        })
    }

    /// Closes the grant if nothing is reserved. A closed grant stays closed.
    pub(super) fn close_if_idle(&self) -> bool {
        let settled_and_returned = self.settled() + self.returned();
        let closed = settled_and_returned | CLOSED;
        self.is_closed()
            || self
                .taken
                .compare_exchange(
                    settled_and_returned,
                    closed,
                    Ordering::AcqRel,
                    Ordering::Acquire,
                )
                .is_ok()
    }
}
