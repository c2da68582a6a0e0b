//! A socket that reads no more of a head than it may.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connection_state::{ConnectionState, ReadLimit};
use crate::refusal::Violation;

/// Beginning of a connection that carries HTTP/2.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// A socket as the HTTP library uses it. The connection keeps the socket when it takes it away from the
/// library to refuse its client.
pub(crate) struct GuardedSocket<S> {
    socket: Arc<Mutex<S>>,
    state: Arc<ConnectionState>,
    may_be_http2: bool,
    /// Read from the socket, and to be read by the library once more.
    unread: Bytes,
}

impl<S> GuardedSocket<S> {
    pub(crate) fn new(
        socket: Arc<Mutex<S>>,
        state: Arc<ConnectionState>,
        may_be_http2: bool,
    ) -> Self {
        Self {
            socket,
            state,
            may_be_http2,
            unread: Bytes::new(),
        }
    }

    /// Gives what the library has not used to the one that is set up next, ahead of what it hasn't seen.
    pub(crate) fn unread(&mut self, unused: Bytes) {
        self.unread = [unused, std::mem::take(&mut self.unread)].concat().into();
    }

    /// Reads what was read before.
    fn reread(&mut self, buf: &mut ReadBuf<'_>) {
        let again = self.unread.split_to(self.unread.len().min(buf.remaining()));
        buf.put_slice(&again);
    }

    fn lock(&self) -> MutexGuard<'_, S> {
        lock(&self.socket)
    }

    /// False if the library must not see these bytes.
    fn record_read(&mut self, read: &[u8]) -> bool {
        if self.may_be_http2 {
            // The preface comes in one piece, ahead of everything else.
            self.may_be_http2 = false;
            if read.starts_with(HTTP2_PREFACE) {
                self.state.set_multiplexed();
            }
        }
        self.state.record_read(read)
    }
}

fn lock<S>(socket: &Mutex<S>) -> MutexGuard<'_, S> {
    // Sound after a panic elsewhere: the lock guards single calls.
    socket.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads up to so many bytes.
fn poll_read_limited<S: AsyncRead + Unpin>(
    socket: &mut S,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
    bytes: usize,
) -> Poll<io::Result<()>> {
    if buf.remaining() <= bytes {
        return Pin::new(socket).poll_read(cx, buf);
    }
    let mut limited = ReadBuf::new(buf.initialize_unfilled_to(bytes));
    let polled = Pin::new(socket).poll_read(cx, &mut limited);
    let read = limited.filled().len();
    buf.advance(read);
    polled
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.state.has_outgrown_parser() {
            return Poll::Pending;
        }
        if !self.unread.is_empty() {
            self.reread(buf);
            return Poll::Ready(Ok(()));
        }
        let bytes = match self.state.read_limit() {
            ReadLimit::Ended => return Poll::Pending,
            ReadLimit::None => usize::MAX,
            // The library has read that many, and wants more to complete the head.
            ReadLimit::Head { bytes: 0 } => {
                self.state.violate(Violation::HeadTooLong);
                return Poll::Pending;
            }
            ReadLimit::Head { bytes } => bytes,
        };
        let before = buf.filled().len();
        let polled = poll_read_limited(&mut *self.lock(), cx, buf, bytes);
        if matches!(polled, Poll::Ready(Ok(()))) && !self.record_read(&buf.filled()[before..]) {
            self.unread = Bytes::copy_from_slice(&buf.filled()[before..]);
            buf.set_filled(before);
            return Poll::Pending;
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedSocket<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.lock()).poll_write(cx, buf);
        self.state.record_write(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.lock()).poll_write_vectored(cx, bufs);
        self.state.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_shutdown(cx)
    }
}
