//! Kept connections to one endpoint.
//!
//! A connection carries one request at a time. It goes back into the pool only after a whole
//! answer to the right request, and is never used again in doubt.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection_watch::{ConnectionWatch, WatchedSocket};

/// Longest time to make a connection. The next endpoint is tried instead: a lost opening packet
/// is sent again only after a second.
const CONNECT: Duration = Duration::from_millis(400);
/// For how long an idle connection is used again when the endpoint does not say.
const KEEP: Duration = Duration::from_secs(4);
/// Part of the endpoint's own idle time for which a connection is used: a request that crosses
/// the endpoint's close on the way would be in doubt.
const KEEP_PART: f64 = 0.6;
/// Idle connections kept for one endpoint.
const MOST_IDLE: usize = 64;

/// A connection could not be made, so nothing was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// It took too long.
    #[snafu(display("no connection to {addr} within {CONNECT:?}"))]
    Slow {
        /// Where.
        addr: SocketAddr,
    },
    /// It was refused or reset.
    #[snafu(display("no connection to {addr}: {source}"))]
    Refused {
        /// Where.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The protocol could not be begun.
    #[snafu(display("no connection to {addr}: {source}"))]
    Handshake {
        /// Where.
        addr: SocketAddr,
        /// Why.
        source: hyper::Error,
    },
}

/// One connection, taken out of the pool.
pub struct Connection {
    /// Sends one request.
    pub sender: SendRequest<Full<Bytes>>,
    /// What is known of it.
    pub watch: Arc<ConnectionWatch>,
    /// Whether it has carried a request before.
    pub used: bool,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    watch: Arc<ConnectionWatch>,
    until: Instant,
}

/// The connections to one endpoint.
pub struct Pool {
    addr: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// No connection yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::default(),
        }
    }

    /// The connection that was used last, or a new one.
    pub async fn take(&self) -> Result<Connection, ConnectError> {
        if let Some(Idle { sender, watch, .. }) = self.take_idle() {
            return Ok(Connection {
                sender,
                watch,
                used: true,
            });
        }
        self.connect().await
    }

    /// A new connection.
    pub async fn connect(&self) -> Result<Connection, ConnectError> {
        let addr = self.addr;
        let connecting = timeout(CONNECT, TcpStream::connect(addr)).await;
        let Ok(socket) = connecting else {
            return SlowSnafu { addr }.fail();
        };
        let socket = socket.context(RefusedSnafu { addr })?;
        // Without it the end of a request waits for an acknowledgement; with a failure it is
        // only slower.
        let _ = socket.set_nodelay(true);
        let (socket, watch) = WatchedSocket::new(socket);
        let handshake = Builder::new().handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.context(HandshakeSnafu { addr })?;
        tokio::spawn(async move {
            // Its error reaches whoever waits for the answer.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            watch,
            used: false,
        })
    }

    /// Puts a connection back that has carried a whole answer.
    pub fn put(
        &self,
        sender: SendRequest<Full<Bytes>>,
        watch: Arc<ConnectionWatch>,
        keeps: Option<Duration>,
    ) {
        if sender.is_closed() {
            return;
        }
        let keeps = keeps.unwrap_or(KEEP).mul_f64(KEEP_PART);
        let until = Instant::now() + keeps;
        let mut idle = self.lock();
        if idle.len() < MOST_IDLE {
            idle.push(Idle {
                sender,
                watch,
                until,
            });
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn take_idle(&self) -> Option<Idle> {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|idle| now < idle.until && !idle.sender.is_closed());
        let newest = idle.iter().rposition(|idle| idle.sender.is_ready())?;
        Some(idle.remove(newest))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        // A panic elsewhere leaves a list of connections, each of them checked before use.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
