//! What can go wrong between two processes.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// A failed exchange. [`WireError::never_sent`] tells whether the other side may have seen it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A message can't be deflated or inflated.
    #[snafu(display("a message can't be deflated or inflated: {source}"))]
    Deflate {
        /// Why.
        source: std::io::Error,
    },
    /// No connection; nothing was sent.
    #[snafu(display("no connection to {addr}: {source}"))]
    Connect {
        /// Where to.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The connection is there, but the stream could not be opened; nothing was sent.
    #[snafu(display("no stream to {addr}: {source}"))]
    Open {
        /// Where to.
        addr: SocketAddr,
        /// Why.
        source: h2::Error,
    },
    /// No connection within the time; nothing was sent.
    #[snafu(display("no connection to {addr} within {after:?}"))]
    ConnectTimeout {
        /// Where to.
        addr: SocketAddr,
        /// How long was waited.
        after: Duration,
    },
    /// The stream broke after the request had left.
    #[snafu(display("stream broken: {source}"))]
    Broken {
        /// Why.
        source: h2::Error,
    },
    /// The replies ended before the one that was waited for.
    #[snafu(display("the replies ended early"))]
    Ended,
    /// No reply within the time; the request may have been acted on.
    #[snafu(display("no reply within {after:?}"))]
    Timeout {
        /// How long was waited.
        after: Duration,
    },
    /// Bytes that are not a message.
    #[snafu(display("not a message: {source}"))]
    Decode {
        /// Why.
        source: bincode::error::DecodeError,
    },
    /// A message that can't be written.
    #[snafu(display("message not written: {source}"))]
    Encode {
        /// Why.
        source: bincode::error::EncodeError,
    },
    /// A message over [`crate::MAX_MESSAGE`].
    #[snafu(display("a message of {bytes} bytes is too large"))]
    TooLarge {
        /// Its length, in bytes.
        bytes: usize,
    },
    /// The other side doesn't serve this path.
    #[snafu(display("the other side answered with status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The address can't be listened on.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// Where.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

impl WireError {
    /// Whether the other machine answered that no process listens there.
    ///
    /// Stronger than [`WireError::never_sent`]: a process that could be reached by nobody may
    /// still run; one whose address refuses connections does not.
    pub fn nobody_listens(&self) -> bool {
        let Self::Connect { source, .. } = self else {
            return false;
        };
        source.kind() == std::io::ErrorKind::ConnectionRefused
    }

    /// Whether it is certain that the other side never saw the request.
    ///
    /// Only then may a non-idempotent request be sent elsewhere.
    pub fn never_sent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. }
                | Self::Open { .. }
                | Self::ConnectTimeout { .. }
                | Self::Encode { .. }
                | Self::TooLarge { .. }
        )
    }
}
