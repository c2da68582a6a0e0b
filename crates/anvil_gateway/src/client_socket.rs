//! A client's socket, which shows whether the client reads as fast as it is written to.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether writes to a client's socket wait for the client to read.
#[derive(Debug, Clone, Default)]
pub struct ClientPace(Arc<AtomicBool>);

impl ClientPace {
    /// Whether the last write had to wait, because the socket's buffer is full.
    pub fn is_slow(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn record<T>(&self, written: &Poll<T>) {
        self.0.store(written.is_pending(), Ordering::Relaxed);
    }
}

/// A client's socket that updates its [`ClientPace`].
pub struct ClientSocket {
    socket: TcpStream,
    pace: ClientPace,
}

impl ClientSocket {
    /// Wraps a socket.
    pub fn new(socket: TcpStream) -> (Self, ClientPace) {
        let pace = ClientPace::default();
        let wrapped = Self {
            socket,
            pace: pace.clone(),
        };
        (wrapped, pace)
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.pace.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.pace.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
