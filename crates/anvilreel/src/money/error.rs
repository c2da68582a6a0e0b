//! Broken invariants of money.

use anvil_world::prelude::*;
use snafu::Snafu;

/// An invariant that does not hold. Never ignored: the purse stops reserving and says why.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MoneyError {
    /// `settled + reserved <= amount` is broken.
    #[snafu(display("grant {grant} of {amount} tokens has {taken} settled and reserved"))]
    GrantOverdrawn {
        /// The grant.
        grant: GrantId,
        /// Its amount, in tokens.
        amount: Tokens,
        /// Settled and reserved, in tokens.
        taken: Tokens,
    },
    /// A settlement above what was reserved for it.
    #[snafu(display("grant {grant}: a cost of {cost} tokens on a reservation of {reserved}"))]
    OverReservation {
        /// The grant.
        grant: GrantId,
        /// What was reserved, in tokens.
        reserved: Tokens,
        /// What it cost, in tokens.
        cost: Tokens,
    },
    /// The ledger granted something that belongs to another router or life.
    #[snafu(display("grant {grant} is another router's"))]
    NotOurs {
        /// The grant.
        grant: GrantId,
    },
}
