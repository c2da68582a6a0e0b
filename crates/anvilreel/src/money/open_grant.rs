//! One grant on the path of a request: two atomics.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use anvil_world::prelude::*;

use super::MoneyError;

/// Set in `taken` when no more may be reserved.
const CLOSED: u64 = 1 << 63;

/// A grant that is spent from. Reserving and settling take no lock.
#[derive(Debug)]
pub struct OpenGrant {
    /// Its number.
    pub id: GrantId,
    /// The budget it comes out of.
    pub budget: BudgetId,
    /// How many tokens in all.
    pub amount: Tokens,
    /// Settled and reserved together, in tokens, with [`CLOSED`] in the top bit.
    taken: AtomicU64,
    settled: AtomicU64,
    /// Given back to the ledger, in tokens: counted in `taken`, never free again.
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

    /// Tokens settled so far: what is reported to the ledger.
    pub fn settled(&self) -> Tokens {
        self.settled.load(Ordering::Acquire)
    }

    /// Tokens given back to the ledger so far.
    pub fn returned(&self) -> Tokens {
        self.returned.load(Ordering::Acquire)
    }

    /// Tokens settled, given back or reserved.
    pub fn taken(&self) -> Tokens {
        self.taken.load(Ordering::Acquire) & !CLOSED
    }

    /// Tokens reserved and not settled.
    pub fn reserved(&self) -> Tokens {
        // `taken` is read last: the others never pass it, so the difference can't wrap.
        let gone = self.settled() + self.returned();
        self.taken().saturating_sub(gone)
    }

    /// Tokens still free in this grant; none once it is closed or recalled.
    pub fn free(&self) -> Tokens {
        if self.is_recalled() || self.is_closed() {
            return 0;
        }
        self.amount.saturating_sub(self.taken())
    }

    /// Whether no more may be reserved.
    pub fn is_closed(&self) -> bool {
        self.taken.load(Ordering::Acquire) & CLOSED != 0
    }

    /// Whether the ledger wants the rest back.
    pub fn is_recalled(&self) -> bool {
        self.recalled.load(Ordering::Acquire)
    }

    /// Gives back what is free now. Taken first and counted as given back after that, so that no
    /// token is both reserved and given back.
    pub(super) fn give_back(&self) {
        let mut free = 0;
        let fill = |taken: u64| {
            free = self.amount.saturating_sub(taken);
            (taken & CLOSED == 0 && free > 0).then_some(self.amount)
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

    /// Reserves, if so much is free. Failure guarded against: two requests that both see the
    /// same free tokens; it would show as a grant spent above its amount. The compare-and-swap
    /// lets only one of them have them.
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
    /// settled at the reservation and told.
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
        self.check()
    }

    /// The invariant, checked at every step, in release too.
    pub(super) fn check(&self) -> Result<(), MoneyError> {
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

    /// Closes the grant if nothing is reserved. Closed, it stays so.
    pub(super) fn close_if_idle(&self) -> bool {
        let gone = self.settled() + self.returned();
        let closed = gone | CLOSED;
        self.is_closed()
            || self
                .taken
                .compare_exchange(gone, closed, Ordering::AcqRel, Ordering::Acquire)
                .is_ok()
    }
}
