//! Broken invariants of runs.

use anvil_world::prelude::*;
use snafu::Snafu;

use super::RunId;

/// An invariant that does not hold. The run it concerns is stopped.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RunsError {
    /// The endpoint measured more use than its request may cost.
    #[snafu(display("run {run} cost {cost} tokens, its bound is {bound}"))]
    OverBound {
        /// The run.
        run: RunId,
        /// What its use would cost, in tokens.
        cost: Tokens,
        /// What was reserved, in tokens.
        bound: Tokens,
    },
    /// A payment whose grants do not cover its bound.
    #[snafu(display("a payment with a bound of {bound} tokens holds {reserved}"))]
    ShortPayment {
        /// The bound, in tokens.
        bound: Tokens,
        /// What its grants hold, in tokens.
        reserved: Tokens,
    },
    /// A reader would get a gap.
    #[snafu(display("run {run}: nothing kept at byte {offset}"))]
    Gap {
        /// The run.
        run: RunId,
        /// Where bytes are missing.
        offset: Offset,
    },
    /// A second live run of one key.
    #[snafu(display("run {run} of a key that has a run"))]
    SecondRun {
        /// The run that was not begun.
        run: RunId,
    },
}
