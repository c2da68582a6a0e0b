//! How much of this machine's link clients and endpoints take.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that a packet adds to what it carries: the frames of the network and its acknowledgement.
const PER_PACKET: u64 = 66;
/// Bytes that a packet carries at most.
const PACKET: u64 = 1_448;

/// Bytes that came and went since they were last asked for.
#[derive(Debug, Default)]
pub struct LinkMeter {
    came: AtomicU64,
    went: AtomicU64,
}

impl LinkMeter {
    /// Bytes of the busier direction since the last call.
    pub fn take(&self) -> u64 {
        let came = self.came.swap(0, Ordering::Relaxed);
        let went = self.went.swap(0, Ordering::Relaxed);
        came.max(went)
    }
}

fn on_the_link(bytes: usize) -> u64 {
    let bytes = bytes as u64;
    bytes + bytes.div_ceil(PACKET) * PER_PACKET
}

/// A socket that tells a meter what it carries.
pub struct Metered<S> {
    socket: S,
    meter: Arc<LinkMeter>,
}

impl<S> Metered<S> {
    /// Tells this meter.
    pub fn new(socket: S, meter: Arc<LinkMeter>) -> Self {
        Self { socket, meter }
    }

    fn wrote(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = polled {
            let bytes = on_the_link(*bytes);
            self.meter.went.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, buf);
        let bytes = on_the_link(buf.filled().len() - before);
        self.meter.came.fetch_add(bytes, Ordering::Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.wrote(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.wrote(&polled);
        polled
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
