//! Connections to one endpoint.
//!
//! A connection carries one request at a time. It is reused only after a complete response to the
//! right request, never after a failure.

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

use crate::accept::descriptor_budget::DescriptorGuard;
use crate::connection_watch::{ConnectionWatch, WatchedSocket};
use crate::send::link_budget::LinkBudget;

/// Connect timeout. The next endpoint is tried instead, since a lost SYN is retransmitted only
/// after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest part of a response that a connection holds, in bytes; a head that is longer is no head.
pub const MAX_READ_BYTES: usize = 64 << 10;
/// For how long an idle connection is reused if the endpoint does not announce its idle timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// Fraction of the endpoint's idle timeout in which a connection is reused. If the endpoint closes
/// the connection while a request is on its way, it is unknown whether the request ran.
const IDLE_TIME_FRACTION: f64 = 0.6;
/// Within this fraction of its idle timeout, an endpoint does not close a connection for being
/// idle. Less than 1, because its timer was started a little earlier than the one here.
const EARLY_CLOSE_FRACTION: f64 = 0.9;
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A connection could not be made, so nothing was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// Connecting timed out.
    #[snafu(display("no connection to {addr} within {CONNECT_TIMEOUT:?}"))]
    Timeout {
        /// Address.
        addr: SocketAddr,
    },
    /// The connection was refused or reset.
    #[snafu(display("no connection to {addr}: {source}"))]
    Refused {
        /// Address.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The process has no descriptor left for another connection.
    #[snafu(display("no descriptor left"))]
    NoDescriptor,
    /// The HTTP handshake failed.
    #[snafu(display("no connection to {addr}: {source}"))]
    Handshake {
        /// Address.
        addr: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
}

/// One connection, taken out of the pool.
pub struct Connection {
    /// Sends one request.
    pub sender: SendRequest<Full<Bytes>>,
    /// What was observed on it.
    pub watch: Arc<ConnectionWatch>,
    /// Whether it has carried a request before.
    pub reused: bool,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    watch: Arc<ConnectionWatch>,
    expires_at: Instant,
}

/// The connections to one endpoint.
pub struct ConnectionPool {
    addr: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::default(),
        }
    }

    /// The most recently used idle connection, if there is one.
    pub fn take(&self) -> Option<Connection> {
        let IdleConnection { sender, watch, .. } = self.take_idle()?;
        watch.set_kept_until(None);
        Some(Connection {
            sender,
            watch,
            reused: true,
        })
    }

    /// A new connection, for which `descriptor` was counted. `on_early_close` is called if the
    /// endpoint closes it before its idle time.
    pub async fn connect(
        &self,
        link: Arc<LinkBudget>,
        descriptor: DescriptorGuard,
        on_early_close: impl FnOnce() + Send + 'static,
    ) -> Result<Connection, ConnectError> {
        let addr = self.addr;
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let Ok(socket) = connecting else {
            return TimeoutSnafu { addr }.fail();
        };
        let socket = socket.context(RefusedSnafu { addr })?;
        // Without TCP_NODELAY the end of a request may wait for an acknowledgement. If setting it
        // fails, the connection is only slower.
        let _ = socket.set_nodelay(true);
        let (socket, watch) = WatchedSocket::new(socket, link, descriptor);
        let handshake = Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(TokioIo::new(socket))
            .await;
        let (sender, connection) = handshake.context(HandshakeSnafu { addr })?;
        let watched = watch.clone();
        tokio::spawn(async move {
            // An error reaches the caller that waits for the response.
            let _ = connection.await;
            if watched.was_closed_early() {
                on_early_close();
            }
        });
        Ok(Connection {
            sender,
            watch,
            reused: false,
        })
    }

    /// Returns a connection after a complete response.
    pub fn put(
        &self,
        sender: SendRequest<Full<Bytes>>,
        watch: Arc<ConnectionWatch>,
        idle_time: Option<Duration>,
    ) {
        if sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let reuse_time = idle_time
            .unwrap_or(DEFAULT_IDLE_TIME)
            .mul_f64(IDLE_TIME_FRACTION);
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            watch.set_kept_until(idle_time.map(|time| now + time.mul_f64(EARLY_CLOSE_FRACTION)));
            idle.push(IdleConnection {
                sender,
                watch,
                expires_at: now + reuse_time,
            });
        }
    }

    /// Whether there is an idle connection that the endpoint has not closed.
    pub fn has_open(&self) -> bool {
        self.lock().iter().any(|idle| !idle.sender.is_closed())
    }

    /// Whether there is one among them that the endpoint should keep open.
    pub fn has_kept(&self) -> bool {
        self.lock()
            .iter()
            .any(|idle| !idle.sender.is_closed() && idle.watch.should_be_open())
    }

    /// Closes the idle connection that has been unused for longest. Returns whether there was one.
    pub fn close_oldest_idle(&self) -> bool {
        let mut idle = self.lock();
        idle.retain(|idle| !idle.sender.is_closed());
        if idle.is_empty() {
            return false;
        }
        idle.remove(0);
        true
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|idle| now < idle.expires_at && !idle.sender.is_closed());
        let newest = idle.iter().rposition(|idle| idle.sender.is_ready())?;
        Some(idle.remove(newest))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        // Sound after a panic elsewhere: each connection is checked before use.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
