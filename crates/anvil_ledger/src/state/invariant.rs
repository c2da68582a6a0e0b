//! Invariants that hold after every apply.

use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A violated invariant. The replica that detects it reports it and stops.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum InvariantError {
    /// `billed + open grants <= credited` does not hold.
    #[snafu(display(
        "budget {budget} overspent: {billed} billed and {outstanding} granted of {credited} credited"
    ))]
    Budget {
        /// The budget.
        budget: BudgetId,
        /// Tokens credited.
        credited: Tokens,
        /// Tokens charged.
        billed: Tokens,
        /// Tokens in open grants.
        outstanding: Tokens,
    },
    /// Commands were not applied in consecutive order.
    #[snafu(display("commands applied out of order: index {index} after {applied}"))]
    Order {
        /// The last index applied.
        applied: LogIndex,
        /// The index that was to be applied next.
        index: LogIndex,
    },
    /// A document's revision did not rise.
    #[snafu(display("revision of {path} did not rise: {new} after {old}"))]
    Revision {
        /// Path of the document.
        path: TreePath,
        /// Its revision before the change.
        old: Revision,
        /// Its revision after the change.
        new: Revision,
    },
}
