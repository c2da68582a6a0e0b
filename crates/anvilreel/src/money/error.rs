//! Violated invariants of the grant account.

use anvil_world::prelude::*;
use snafu::Snafu;

/// A violated invariant. It is never ignored: the account makes no further reservations and reports
/// why.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MoneyError {
    /// `settled + reserved <= amount` does not hold.
    #[snafu(display(
        "grant overdrawn: {taken} tokens settled and reserved of grant {grant} with {amount}"
    ))]
    GrantOverdrawn {
        /// The grant.
        grant: GrantId,
        /// Its amount, in tokens.
        amount: Tokens,
        /// Settled and reserved, in tokens.
        taken: Tokens,
    },
    /// A settlement above the reserved amount.
    #[snafu(display(
        "cost exceeds the reservation: {cost} tokens settled, {reserved} reserved of grant {grant}"
    ))]
    OverReservation {
        /// The grant.
        grant: GrantId,
        /// What was reserved, in tokens.
        reserved: Tokens,
        /// What it cost, in tokens.
        cost: Tokens,
    },
    /// The ledger's answer contains a grant of another router or incarnation.
    #[snafu(display("grant of another router: {grant}"))]
    NotOurs {
        /// The grant.
        grant: GrantId,
    },
}
