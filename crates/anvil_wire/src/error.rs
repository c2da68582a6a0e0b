//! Errors of calls between processes.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// A failed call. [`WireError::never_sent`] tells whether the other side may have received it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A message can't be compressed or decompressed.
    #[snafu(display("message compression or decompression failed: {source}"))]
    Deflate {
        /// Why.
        source: std::io::Error,
    },
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("connection to {addr} failed: {source}"))]
    Connect {
        /// Address of the other process.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The connection is open, but the stream could not be opened; nothing was sent.
    #[snafu(display("opening a stream to {addr} failed: {source}"))]
    Open {
        /// Address of the other process.
        addr: SocketAddr,
        /// Why.
        source: h2::Error,
    },
    /// The connection was not opened in time; nothing was sent.
    #[snafu(display("connection to {addr} timed out after {after:?}"))]
    ConnectTimeout {
        /// Address of the other process.
        addr: SocketAddr,
        /// The timeout.
        after: Duration,
    },
    /// The stream broke after the request may have been sent.
    #[snafu(display("stream broken: {source}"))]
    Broken {
        /// Why.
        source: h2::Error,
    },
    /// The stream ended before the expected reply.
    #[snafu(display("stream ended before the expected reply"))]
    Ended,
    /// No reply arrived in time; the request may have been executed.
    #[snafu(display("call timed out: no reply within {after:?}"))]
    Timeout {
        /// The timeout.
        after: Duration,
    },
    /// The received bytes are not a valid message.
    #[snafu(display("message decoding failed: {source}"))]
    Decode {
        /// Why.
        source: bincode::error::DecodeError,
    },
    /// The message can't be encoded.
    #[snafu(display("message encoding failed: {source}"))]
    Encode {
        /// Why.
        source: bincode::error::EncodeError,
    },
    /// The message is larger than [`crate::MAX_MESSAGE_BYTES`].
    #[snafu(display("message too large: {bytes} bytes"))]
    TooLarge {
        /// Its size, in bytes.
        bytes: usize,
    },
    /// The other side has no handler for this path.
    #[snafu(display("call rejected: HTTP status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// Listening on the address failed.
    #[snafu(display("listening on {addr} failed: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

impl WireError {
    /// Whether the other machine refused the connection because no process listens on the address.
    ///
    /// Stronger than [`WireError::never_sent`]: an unreachable process may still be running, but one
    /// whose address refuses connections is not.
    pub fn is_connection_refused(&self) -> bool {
        let Self::Connect { source, .. } = self else {
            return false;
        };
        source.kind() == std::io::ErrorKind::ConnectionRefused
    }

    /// Whether the other side certainly never received the request.
    ///
    /// Only then may a non-idempotent request be sent to another process.
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
