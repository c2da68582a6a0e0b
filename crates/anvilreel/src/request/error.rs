//! Violations of the exchange's invariants by a sidecar or by the I/O layer.

use anvil_world::prelude::*;
use snafu::Snafu;

/// A violated invariant. The frame is not delivered and the stream is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ExchangeError {
    /// Output that belongs to another request.
    #[snafu(display("output of another request: expected key {expected:?}, found {found:?}"))]
    CrossedKey {
        /// The expected key.
        expected: RequestKey,
        /// The received key.
        found: RequestKey,
    },
    /// Output that leaves a gap or repeats bytes.
    #[snafu(display("output out of order: expected byte {expected}, found byte {found}"))]
    Gap {
        /// The expected offset.
        expected: Offset,
        /// The received offset.
        found: Offset,
    },
    /// An end before all output has arrived.
    #[snafu(display("premature end: run of {length} bytes ended after {delivered} bytes"))]
    EarlyEnd {
        /// Bytes delivered to the caller.
        delivered: Offset,
        /// Total output in bytes, as reported by the sidecar.
        length: Offset,
    },
    /// A charge that exceeds the reservation.
    #[snafu(display("charge exceeds the reservation: {charged} tokens charged, {bound} reserved"))]
    OverCharged {
        /// The reserved tokens.
        bound: Tokens,
        /// The charged tokens.
        charged: Tokens,
    },
}
