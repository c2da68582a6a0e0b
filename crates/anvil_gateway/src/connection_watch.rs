//! Observes one connection to an endpoint, also after its request was abandoned.
//!
//! Failure: a client disconnects before its response begins, and it is unknown whether the endpoint
//! had begun to run the request. If it is charged, the organisation pays for tokens it never
//! received; if not, it may receive more than it pays for. So an abandoned connection is first
//! closed for writing, which stops the endpoint's run, and then read to its end: an endpoint that
//! had begun has sent the start of its response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// For how long an abandoned connection is read. An endpoint notices the close within a few
/// milliseconds; one that does not close in this time is assumed to have begun.
const LINGER: Duration = Duration::from_millis(100);

/// What was observed on one connection.
#[derive(Debug)]
pub struct ConnectionWatch {
    /// Data was received since the last request was sent.
    received_data: AtomicBool,
    /// A request was sent and its response has not begun.
    awaiting_response: AtomicBool,
    /// How the connection ended; `None` while it is in use.
    ended: watch::Sender<Option<End>>,
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The endpoint closed it and all data was read.
    Closed,
    /// It was abandoned before its end was seen.
    Abandoned,
}

impl ConnectionWatch {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            received_data: AtomicBool::new(false),
            awaiting_response: AtomicBool::new(false),
            ended: watch::Sender::new(None),
        })
    }

    /// Call before a request is sent.
    pub fn request_sent(&self) {
        self.received_data.store(false, Ordering::Relaxed);
        self.awaiting_response.store(true, Ordering::Relaxed);
    }

    /// Call when the response has begun.
    pub fn response_started(&self) {
        self.awaiting_response.store(false, Ordering::Relaxed);
    }

    /// Waits for the end of the connection. Returns whether it is certain that the endpoint had not
    /// begun to respond to the last request.
    pub async fn ended_without_data(&self) -> bool {
        let mut ended = self.ended.subscribe();
        let waiting = ended.wait_for(Option::is_some);
        let end = match timeout(2 * LINGER, waiting).await {
            Ok(Ok(end)) => *end,
            // Timed out, or the sender was dropped.
            Err(_) | Ok(Err(_)) => None,
        };
        end == Some(End::Closed) && !self.received_data.load(Ordering::Relaxed)
    }

    fn set_end(&self, end: End) {
        self.ended.send_replace(Some(end));
    }
}

/// A socket that updates its [`ConnectionWatch`].
pub struct WatchedSocket {
    socket: Option<TcpStream>,
    watch: Arc<ConnectionWatch>,
}

impl WatchedSocket {
    /// Wraps a socket.
    pub fn new(socket: TcpStream) -> (Self, Arc<ConnectionWatch>) {
        let watch = ConnectionWatch::new();
        let watched = Self {
            socket: Some(socket),
            watch: watch.clone(),
        };
        (watched, watch)
    }

    fn socket(&mut self) -> Pin<&mut TcpStream> {
        let socket = self.socket.as_mut();
        // The socket is taken out only on drop.
        Pin::new(socket.unwrap_or_else(|| unreachable!("the socket is present until drop")))
    }
}

impl Drop for WatchedSocket {
    fn drop(&mut self) {
        let Some(socket) = self.socket.take() else {
            return;
        };
        let watch = self.watch.clone();
        let awaited = watch.awaiting_response.load(Ordering::Relaxed);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if !awaited || watch.received_data.load(Ordering::Relaxed) {
            watch.set_end(End::Abandoned);
            return;
        }
        runtime.spawn(async move {
            let reading = timeout(LINGER, read_to_end(socket, &watch));
            let end = reading.await.unwrap_or(End::Abandoned);
            watch.set_end(end);
        });
    }
}

async fn read_to_end(mut socket: TcpStream, watch: &ConnectionWatch) -> End {
    // Fails only if the connection is already gone, which the read shows.
    let _ = socket.shutdown().await;
    let mut buf = [0; 512];
    match socket.read(&mut buf).await {
        Ok(0) => End::Closed,
        Ok(_) => {
            watch.received_data.store(true, Ordering::Relaxed);
            End::Abandoned
        }
        // Data received before a reset may be lost.
        Err(_) => End::Abandoned,
    }
}

impl AsyncRead for WatchedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = self.socket().poll_read(cx, buf);
        if buf.filled().len() > before {
            self.watch.received_data.store(true, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncWrite for WatchedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.socket().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_shutdown(cx)
    }
}
