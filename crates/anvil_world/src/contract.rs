//! Payment contracts: prepaid budgets, grants out of them, prices, and the split among payers.

mod budget;
mod grant;
mod price;
mod split;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use budget::Budget;
pub use grant::{Grant, GrantState};
pub use price::{Price, Usage};
pub use split::Split;

use crate::ids::{BudgetId, GrantId, Tokens};

/// An operation that a budget, grant or split does not allow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(visibility(pub))]
pub enum ContractError {
    /// The budget has fewer tokens left than requested.
    #[snafu(display("budget exhausted: {budget} has {left} tokens left, {asked} requested"))]
    Exhausted {
        /// The budget.
        budget: BudgetId,
        /// Tokens left.
        left: Tokens,
        /// Tokens requested.
        asked: Tokens,
    },
    /// The charge exceeds its grant.
    #[snafu(display("charge exceeds grant: grant {grant} has {amount} tokens, {charged} charged"))]
    OverGrant {
        /// The grant.
        grant: GrantId,
        /// Its amount, in tokens.
        amount: Tokens,
        /// Tokens charged.
        charged: Tokens,
    },
    /// The grant is closed or was never open.
    #[snafu(display("grant {grant} is not open"))]
    NoGrant {
        /// The grant.
        grant: GrantId,
    },
    /// A sum overflows 64 bits.
    #[snafu(display("token amount overflow: the sum does not fit in 64 bits"))]
    Overflow,
    /// A split without payers, with a duplicate payer or with a weight of 0.
    #[snafu(display("a split needs distinct payers with weights above 0"))]
    BadSplit,
}
