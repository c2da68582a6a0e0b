//! A client's connection, and whether the client still holds it open.
//!
//! Failure: a client gives up and closes its connection while its request waits for the processor,
//! for tokens or for an endpoint. The HTTP server notices that only when it next reads from the
//! socket, so the request is sent although nobody waits for the response. So the socket is looked
//! at once more just before the request is sent.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll};

use anvil_http::limits::{LARGE_RECEIVE_BUFFER_BYTES, RECEIVE_BUFFER_BYTES};
use rustix::io::Errno;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{RecvFlags, Shutdown, recv, shutdown};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::descriptor_budget::DescriptorGuard;
use super::socket_budgets::SocketBudgets;
use crate::send::link_budget::LinkBudget;

/// A client's socket as the HTTP server uses it.
///
/// Only [`ClientConnection`] shares it, and locks it for one system call at a time.
pub struct ClientSocket {
    socket: Arc<Mutex<TcpStream>>,
    link: Arc<LinkBudget>,
    /// See [`ClientConnection::reads_slowly`].
    reads_slowly: Arc<AtomicBool>,
    /// Dropped after the socket.
    _descriptor: DescriptorGuard,
}

/// The state of a client's connection, for its requests.
pub struct ClientConnection {
    socket: Weak<Mutex<TcpStream>>,
    accepted_at: Instant,
    /// Whether the first request had arrived before the connection was accepted and has not been
    /// read.
    first_is_waiting: AtomicBool,
    /// Whether the head of a request has been read.
    has_begun_request: AtomicBool,
    /// Whether the last write had to wait, because the socket's buffer is full.
    reads_slowly: Arc<AtomicBool>,
}

/// What a look at a socket shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SocketState {
    /// Open, without unread data.
    Empty,
    /// Open, with unread data.
    HasData,
    /// Closed or reset by the other side.
    Closed,
}

impl ClientSocket {
    /// Wraps a socket that has just been accepted.
    pub fn new(socket: TcpStream, sockets: &SocketBudgets) -> (Self, ClientConnection) {
        let first_is_waiting = peek(&socket) == SocketState::HasData;
        let socket = Arc::new(Mutex::new(socket));
        let reads_slowly = Arc::new(AtomicBool::new(false));
        let connection = ClientConnection {
            socket: Arc::downgrade(&socket),
            accepted_at: Instant::now(),
            first_is_waiting: AtomicBool::new(first_is_waiting),
            has_begun_request: AtomicBool::new(false),
            reads_slowly: reads_slowly.clone(),
        };
        let socket = Self {
            socket,
            link: sockets.link.clone(),
            reads_slowly,
            _descriptor: sockets.descriptors.client(),
        };
        (socket, connection)
    }

    fn count_written(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.reads_slowly
            .store(polled.is_pending(), Ordering::Relaxed);
        if let Poll::Ready(Ok(written)) = &polled {
            self.link.count_response(*written);
        }
        polled
    }
}

impl ClientConnection {
    /// Whether the client has closed its connection, also if the HTTP server has not noticed it
    /// yet.
    pub fn is_closed(&self) -> bool {
        let socket = self.socket.upgrade();
        socket.is_none_or(|socket| peek(&lock(&socket)) == SocketState::Closed)
    }

    /// Whether a request may be on its way that has not been read: the first one of the connection,
    /// or one that has arrived.
    pub fn expects_request(&self) -> bool {
        let has_data = |socket: &Mutex<_>| peek(&lock(socket)) == SocketState::HasData;
        let is_first = !self.has_begun_request.load(Ordering::Relaxed);
        is_first
            || self
                .socket
                .upgrade()
                .is_some_and(|socket| has_data(&socket))
    }

    /// Whether the client reads more slowly than it is written to.
    pub fn reads_slowly(&self) -> bool {
        self.reads_slowly.load(Ordering::Relaxed)
    }

    /// Enlarges the receive buffer of the socket until the guard is dropped.
    pub fn widen_receive_buffer(&self) -> WideReceiveBuffer {
        let wide = WideReceiveBuffer {
            socket: self.socket.clone(),
        };
        wide.set_size(LARGE_RECEIVE_BUFFER_BYTES);
        wide
    }

    /// Ends the connection both ways, also while a write waits for the client to read.
    pub fn shut_down(&self) {
        if let Some(socket) = self.socket.upgrade() {
            // Fails only if the connection has ended already.
            let _ = shutdown(&*lock(&socket), Shutdown::Both);
        }
    }

    /// Start of the time limit of a request whose head has just been read: the accept, if it is the
    /// first request and had arrived by then.
    pub fn request_started_at(&self) -> Instant {
        self.has_begun_request.store(true, Ordering::Relaxed);
        if self.first_is_waiting.swap(false, Ordering::Relaxed) {
            self.accepted_at
        } else {
            Instant::now()
        }
    }
}

/// A receive buffer that is large until this is dropped.
pub struct WideReceiveBuffer {
    socket: Weak<Mutex<TcpStream>>,
}

impl WideReceiveBuffer {
    fn set_size(&self, bytes: u32) {
        if let Some(socket) = self.socket.upgrade() {
            // If it can't be set, the connection is only slower, or as large as it is.
            let _ = set_socket_recv_buffer_size(&*lock(&socket), bytes as usize);
        }
    }
}

impl Drop for WideReceiveBuffer {
    fn drop(&mut self) {
        self.set_size(RECEIVE_BUFFER_BYTES);
    }
}

/// Looks at a socket without reading from it. Asks the kernel and not the runtime, which learns of
/// new data and closed connections only between tasks.
fn peek(socket: &TcpStream) -> SocketState {
    let mut byte = [0];
    match recv(socket, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((_, 0)) => SocketState::Closed,
        Ok(_) => SocketState::HasData,
        Err(Errno::AGAIN | Errno::INTR) => SocketState::Empty,
        Err(_) => SocketState::Closed,
    }
}

fn lock(socket: &Mutex<TcpStream>) -> MutexGuard<'_, TcpStream> {
    // Sound after a panic elsewhere: the lock guards single system calls.
    socket.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut *lock(&self.socket)).poll_read(cx, buf);
        self.link.count_received(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *lock(&self.socket)).poll_write(cx, buf);
        self.count_written(polled)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *lock(&self.socket)).poll_write_vectored(cx, bufs);
        self.count_written(polled)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.socket)).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.socket)).poll_shutdown(cx)
    }
}
