//! What a sidecar must never send, and what a shell must never do.

use anvil_world::prelude::*;
use snafu::Snafu;

/// An invariant that does not hold. The frame is not delivered and the stream is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ExchangeError {
    /// Output of another request.
    #[snafu(display("output of request {found:?} came for {expected:?}"))]
    CrossedKey {
        /// What was waited for.
        expected: RequestKey,
        /// What came.
        found: RequestKey,
    },
    /// Output that leaves a gap or comes again.
    #[snafu(display("output at byte {found} came, {expected} was next"))]
    Gap {
        /// The next byte.
        expected: Offset,
        /// What came.
        found: Offset,
    },
    /// An end before all output.
    #[snafu(display("an end at byte {length} came after {delivered} bytes"))]
    EarlyEnd {
        /// Bytes delivered.
        delivered: Offset,
        /// Bytes of output in all, as the sidecar says.
        length: Offset,
    },
    /// A charge above the reservation.
    #[snafu(display("a charge of {charged} tokens on a reservation of {bound}"))]
    OverCharged {
        /// What was reserved, in tokens.
        bound: Tokens,
        /// What was charged, in tokens.
        charged: Tokens,
    },
}
