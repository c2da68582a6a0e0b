//! Invariants of the replicated log, asserted in release builds too.

use anvil_world::ids::{LogIndex, Term};
use snafu::Snafu;

use super::ReplicaId;

/// A violated invariant. The replica stops at once.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CoreError {
    /// Two leaders in one term.
    #[snafu(display("two leaders in term {term}: {one:x} and {other:x}"))]
    TwoLeaders {
        /// The term.
        term: Term,
        /// The leader known so far.
        one: ReplicaId,
        /// The other leader.
        other: ReplicaId,
    },
    /// A leader's entry differs from a committed one.
    #[snafu(display(
        "committed entry would be replaced: entry {index}, committed up to {committed}"
    ))]
    CommittedReplaced {
        /// Position of the entry.
        index: LogIndex,
        /// Newest committed position.
        committed: LogIndex,
    },
    /// A membership change of more than one voter.
    #[snafu(display("membership change of more than one voter: entry {index}"))]
    MultipleVoterChange {
        /// Position of the change.
        index: LogIndex,
    },
    /// Entries with a gap before them.
    #[snafu(display("gap in the log: entry {found} after {last}"))]
    Gap {
        /// Position of the last entry held.
        last: LogIndex,
        /// Position of the received entry.
        found: LogIndex,
    },
}
