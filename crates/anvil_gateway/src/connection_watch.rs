//! Watches one connection to an endpoint, also after a request on it was given up.
//!
//! Failure: a client leaves before its answer begins, and nobody knows whether the endpoint had
//! begun to work for it. Billed, an organisation pays for tokens it never got and runs dry early;
//! not billed, it may get more than it paid for. So a connection that is given up is closed for
//! writing first, which tells the endpoint to stop, and read to its end: an endpoint that had begun
//! has sent the beginning of its answer.

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

/// Longest time that a connection is read after it was given up. An endpoint hears of the close
/// within some milliseconds; one that is silent for so long is taken to have begun.
const LINGER: Duration = Duration::from_millis(100);

/// What is known of one connection.
#[derive(Debug)]
pub struct ConnectionWatch {
    /// Bytes have come since the last request was sent.
    heard: AtomicBool,
    /// A request was sent and its answer has not begun.
    awaited: AtomicBool,
    /// Whether the connection has ended, and was read to its end.
    ended: watch::Sender<Option<End>>,
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The other side closed it, and all it had to say was read.
    Read,
    /// It was still open when it was left.
    Left,
}

impl ConnectionWatch {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            heard: AtomicBool::new(false),
            awaited: AtomicBool::new(false),
            ended: watch::Sender::new(None),
        })
    }

    /// A request is about to be sent.
    pub fn sent(&self) {
        self.heard.store(false, Ordering::Relaxed);
        self.awaited.store(true, Ordering::Relaxed);
    }

    /// The answer has begun.
    pub fn answered(&self) {
        self.awaited.store(false, Ordering::Relaxed);
    }

    /// Waits for the connection's end, and says whether the endpoint surely had not begun to
    /// answer the last request.
    pub async fn ended_unheard(&self) -> bool {
        let mut ended = self.ended.subscribe();
        let waiting = ended.wait_for(Option::is_some);
        let end = match timeout(2 * LINGER, waiting).await {
            Ok(Ok(end)) => *end,
            // Too late, or nobody is left to tell.
            Err(_) | Ok(Err(_)) => None,
        };
        end == Some(End::Read) && !self.heard.load(Ordering::Relaxed)
    }

    fn end(&self, end: End) {
        self.ended.send_replace(Some(end));
    }
}

/// A socket that keeps its [`ConnectionWatch`] informed.
pub struct WatchedSocket {
    socket: Option<TcpStream>,
    watch: Arc<ConnectionWatch>,
}

impl WatchedSocket {
    /// Watches this socket.
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
        // Taken out only when this value is dropped.
        Pin::new(socket.unwrap_or_else(|| unreachable!("a socket until the drop")))
    }
}

impl Drop for WatchedSocket {
    fn drop(&mut self) {
        let Some(socket) = self.socket.take() else {
            return;
        };
        let watch = self.watch.clone();
        let awaited = watch.awaited.load(Ordering::Relaxed);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if !awaited || watch.heard.load(Ordering::Relaxed) {
            watch.end(End::Left);
            return;
        }
        runtime.spawn(async move {
            let reading = timeout(LINGER, read_to_end(socket, &watch));
            let end = reading.await.unwrap_or(End::Left);
            watch.end(end);
        });
    }
}

async fn read_to_end(mut socket: TcpStream, watch: &ConnectionWatch) -> End {
    // Fails only where the connection is gone already; the read tells.
    let _ = socket.shutdown().await;
    let mut buf = [0; 512];
    match socket.read(&mut buf).await {
        Ok(0) => End::Read,
        Ok(_) => {
            watch.heard.store(true, Ordering::Relaxed);
            End::Left
        }
        // A reset may have swallowed what had come.
        Err(_) => End::Left,
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
            self.watch.heard.store(true, Ordering::Relaxed);
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
