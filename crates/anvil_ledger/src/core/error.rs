//! Invariants of the core, asserted in release too.

use anvil_world::ids::{LogIndex, Term};
use snafu::Snafu;

use super::ReplicaId;

/// An invariant that does not hold. The replica stops at once.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CoreError {
    /// Two leaders in one term.
    #[snafu(display("two leaders in term {term}: {one:x} and {other:x}"))]
    TwoLeaders {
        /// The term.
        term: Term,
        /// One.
        one: ReplicaId,
        /// The other.
        other: ReplicaId,
    },
    /// A leader's entry differs from a committed one.
    #[snafu(display("entry {index} is committed up to {committed} and would be replaced"))]
    CommittedReplaced {
        /// Where.
        index: LogIndex,
        /// Committed up to here.
        committed: LogIndex,
    },
    /// A membership change of more than one voter.
    #[snafu(display("more than one voter changes at {index}"))]
    LeapInMembership {
        /// Where.
        index: LogIndex,
    },
    /// Entries with a gap before them.
    #[snafu(display("entry {found} follows {last}"))]
    Gap {
        /// The last one held.
        last: LogIndex,
        /// The one that came.
        found: LogIndex,
    },
}
