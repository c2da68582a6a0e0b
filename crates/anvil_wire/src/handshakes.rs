//! Connections whose other side has not spoken the protocol yet.
//!
//! Failure: connections are opened that send nothing, or something else. Each takes a descriptor, and with
//! enough of them the process can open none. So a handshake has a time limit, and where too many are
//! pending, the oldest makes room.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use h2::server::{Builder, Connection};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;

use crate::server::{CONNECTION_WINDOW, STREAM_WINDOW};

/// Maximum time of a handshake. The other side sends its part together with its connection attempt.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum handshakes that are pending.
const MAX_PENDING: usize = 64;
/// Maximum concurrent streams on one connection.
const MAX_STREAMS: u32 = 20_000;
/// Maximum size of the headers of a call, in bytes: a path, and nothing else of length.
const MAX_HEADER_BYTES: u32 = 16 << 10;

/// A connection that speaks the protocol.
pub(crate) type WireConnection = Connection<TcpStream, Bytes>;

/// Pending handshakes. Dropping them closes their connections.
#[derive(Default)]
pub(crate) struct Handshakes {
    pending: JoinSet<Option<WireConnection>>,
    /// The pending ones by age; some of them may have ended.
    by_age: VecDeque<AbortHandle>,
}

impl Handshakes {
    /// Begins a handshake.
    pub(crate) fn begin(&mut self, socket: TcpStream) {
        self.by_age.retain(|handshake| !handshake.is_finished());
        if self.by_age.len() >= MAX_PENDING
            && let Some(oldest) = self.by_age.pop_front()
        {
            oldest.abort();
        }
        let handshake = self.pending.spawn(shake_hands(socket));
        self.by_age.push_back(handshake);
    }

    /// The next connection whose handshake is complete; pending while there are no handshakes. May be
    /// cancelled and called again.
    pub(crate) async fn next(&mut self) -> WireConnection {
        loop {
            match self.pending.join_next().await {
                Some(Ok(Some(connection))) => return connection,
                // It failed, came too late or made room.
                Some(Ok(None) | Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }
}

async fn shake_hands(socket: TcpStream) -> Option<WireConnection> {
    // Sends small frames without waiting for an acknowledgement; a failure only makes them slower.
    let _ = socket.set_nodelay(true);
    let handshake = Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake(socket);
    let connection = timeout(HANDSHAKE_TIMEOUT, handshake).await;
    connection.ok()?.ok()
}
