//! Contracts: what is prepaid, what work costs, and who pays which part.

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

/// A contract that would be broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(visibility(pub))]
pub enum ContractError {
    /// The budget has less left than was asked for.
    #[snafu(display("budget {budget} has {left} tokens left, {asked} asked"))]
    Exhausted {
        /// The budget.
        budget: BudgetId,
        /// What is left, in tokens.
        left: Tokens,
        /// What was asked, in tokens.
        asked: Tokens,
    },
    /// A charge above the grant it is made under.
    #[snafu(display("grant {grant} holds {amount} tokens, {charged} charged"))]
    OverGrant {
        /// The grant.
        grant: GrantId,
        /// Its amount, in tokens.
        amount: Tokens,
        /// What was charged, in tokens.
        charged: Tokens,
    },
    /// The grant is closed or was never open.
    #[snafu(display("grant {grant} is not open"))]
    NoGrant {
        /// The grant.
        grant: GrantId,
    },
    /// A sum that does not fit 64 bits.
    #[snafu(display("the amount does not fit in 64 bits"))]
    Overflow,
    /// A split without payers, with a payer twice or with a weight of nothing.
    #[snafu(display("a split needs distinct payers with weights above 0"))]
    BadSplit,
}
