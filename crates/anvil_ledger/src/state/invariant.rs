//! What must hold after every apply.

use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// An invariant that was broken. The replica that sees one stops and says so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum InvariantError {
    /// `billed + open grants <= credited` does not hold.
    #[snafu(display(
        "budget {budget}: billed {billed} and {outstanding} granted of {credited} credited"
    ))]
    Budget {
        /// The budget.
        budget: BudgetId,
        /// Tokens paid in.
        credited: Tokens,
        /// Tokens charged.
        billed: Tokens,
        /// Tokens in open grants.
        outstanding: Tokens,
    },
    /// Commands were not applied one after the other.
    #[snafu(display("index {index} applied after {applied}"))]
    Order {
        /// The last index.
        applied: LogIndex,
        /// The one that came.
        index: LogIndex,
    },
    /// A revision fell.
    #[snafu(display("{path}: revision {new} after {old}"))]
    Revision {
        /// The document.
        path: TreePath,
        /// What stood.
        old: Revision,
        /// What came.
        new: Revision,
    },
}
