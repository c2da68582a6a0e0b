//! Violated invariants of runs.

use anvil_world::prelude::*;
use snafu::Snafu;

use super::RunId;

/// A violated invariant; it is logged.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RunsError {
    /// The usage that the endpoint reported costs more than the request's bound.
    #[snafu(display("run {run} exceeds its bound: cost {cost} tokens, bound {bound}"))]
    OverBound {
        /// The run.
        run: RunId,
        /// Cost of the reported usage, in tokens.
        cost: Tokens,
        /// The reserved tokens.
        bound: Tokens,
    },
    /// The grants of a payment don't cover its bound.
    #[snafu(display("payment does not cover its bound: reserved {reserved} of {bound} tokens"))]
    PaymentBelowBound {
        /// The bound, in tokens.
        bound: Tokens,
        /// Tokens reserved from its grants.
        reserved: Tokens,
    },
    /// A reader asked for output that is not kept, although nothing was dropped.
    #[snafu(display("output of run {run} has a gap: nothing kept at byte {offset}"))]
    OutputGap {
        /// The run.
        run: RunId,
        /// Offset of the first missing byte.
        offset: Offset,
    },
    /// A second run was begun for one key.
    #[snafu(display("run {run} begun for a key that already has a run"))]
    DuplicateRun {
        /// The second run.
        run: RunId,
    },
}
