//! Observes one connection to an endpoint, also after its request was abandoned.
//!
//! Failure: a client disconnects before its response begins, and it is unknown whether the endpoint
//! had begun to run the request. If it is charged, the organisation pays for tokens it never
//! received; if not, it may receive more than it pays for. So an abandoned connection is first
//! closed for writing, which stops the endpoint's run, and then read to its end: an endpoint that
//! had begun has sent the start of its response. A head that comes is handled as a [`LateResponse`].

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant as StdInstant};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::accept::descriptor_budget::DescriptorGuard;
use crate::late_response::{LateHandler, LateResponse};
use crate::send::link_budget::LinkBudget;

/// For how long an abandoned connection is read. An endpoint notices the close within a few
/// milliseconds; one that does not close in this time is assumed to have begun.
const LINGER: Duration = Duration::from_millis(100);

/// Longest part of a response that is read before its head is complete, in bytes: a head, and what is read
/// along with it.
///
/// Failure: an endpoint sends lines of a head, or interim heads, without end. Each reading finds more, so
/// that the process does nothing else.
const MAX_AWAITED_BYTES: usize = 256 << 10;

/// What was observed on one connection.
#[derive(Debug)]
pub struct ConnectionWatch {
    /// A request was sent and its response has not begun.
    awaiting_response: AtomicBool,
    /// When the last part of the request was written to the socket.
    sent_at: Mutex<Option<Instant>>,
    /// Bytes that have come of the awaited response.
    awaited_bytes: AtomicUsize,
    /// What has come of the awaited response.
    late_response: Mutex<LateResponse>,
    /// Whether the endpoint closed it.
    closed_by_endpoint: AtomicBool,
    /// Until when the endpoint should keep it open; `None` if a request uses it or no idle time was
    /// announced.
    kept_until: Mutex<Option<StdInstant>>,
    /// How the connection ended; `None` while it is in use.
    ended: watch::Sender<Option<End>>,
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The endpoint closed it and all data was read.
    Closed,
    /// The endpoint stated that it did not run the request.
    NotRun,
    /// It was abandoned before its end was seen.
    Abandoned,
}

impl ConnectionWatch {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            awaiting_response: AtomicBool::new(false),
            sent_at: Mutex::default(),
            awaited_bytes: AtomicUsize::new(0),
            late_response: Mutex::default(),
            closed_by_endpoint: AtomicBool::new(false),
            kept_until: Mutex::default(),
            ended: watch::Sender::new(None),
        })
    }

    /// Call before a request is sent. `handler` receives the head of the response if it comes when
    /// nobody waits for it any more.
    pub fn request_sent(&self, handler: LateHandler) {
        *self.last_write() = None;
        self.awaited_bytes.store(0, Ordering::Relaxed);
        *self.late_response() = LateResponse::new(handler);
        self.awaiting_response.store(true, Ordering::Relaxed);
    }

    /// When the last part of the request was written; `None` if nothing was.
    pub fn sent_at(&self) -> Option<Instant> {
        *self.last_write()
    }

    fn last_write(&self) -> MutexGuard<'_, Option<Instant>> {
        // Sound after a panic elsewhere: the value is replaced as a whole.
        self.sent_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(_)) = written {
            *self.last_write() = Some(Instant::now());
        }
    }

    /// Call when the response has begun.
    pub fn response_started(&self) {
        self.awaiting_response.store(false, Ordering::Relaxed);
        *self.late_response() = LateResponse::default();
    }

    fn late_response(&self) -> MutexGuard<'_, LateResponse> {
        // Sound after a panic elsewhere: bytes are only appended.
        self.late_response
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records bytes of a response. An error means that its head has no end.
    fn record_received(&self, bytes: &[u8]) -> io::Result<()> {
        if !self.awaiting_response.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.late_response().push(bytes);
        let before = self.awaited_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        if before + bytes.len() > MAX_AWAITED_BYTES {
            return Err(io::Error::other("the head of the response has no end"));
        }
        Ok(())
    }

    /// How the connection ended, if the head of the awaited response has come.
    fn end_by_late_response(&self) -> Option<End> {
        let not_run = self.late_response().handle()?;
        Some(if not_run { End::NotRun } else { End::Abandoned })
    }

    /// Waits for the end of the connection. Returns whether it is certain that the endpoint had not
    /// begun to run the last request.
    pub async fn ended_without_run(&self) -> bool {
        let mut ended = self.ended.subscribe();
        let waiting = ended.wait_for(Option::is_some);
        let end = match timeout(2 * LINGER, waiting).await {
            Ok(Ok(end)) => *end,
            // Timed out, or the sender was dropped.
            Err(_) | Ok(Err(_)) => None,
        };
        match end {
            Some(End::NotRun) => true,
            Some(End::Closed) => !self.late_response().has_begun(),
            Some(End::Abandoned) | None => false,
        }
    }

    /// Sets until when the endpoint should keep it open, or that a request uses it.
    pub fn set_kept_until(&self, until: Option<StdInstant>) {
        *self.kept_until() = until;
    }

    /// Whether it is idle and the endpoint should keep it open.
    pub fn should_be_open(&self) -> bool {
        self.kept_until()
            .is_some_and(|until| StdInstant::now() < until)
    }

    /// Whether the endpoint closed it while it was idle, before the idle time that it announced.
    pub fn was_closed_early(&self) -> bool {
        self.should_be_open() && self.closed_by_endpoint.load(Ordering::Relaxed)
    }

    fn kept_until(&self) -> MutexGuard<'_, Option<StdInstant>> {
        // Sound after a panic elsewhere: the value is replaced as a whole.
        self.kept_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn set_end(&self, end: End) {
        self.ended.send_replace(Some(end));
    }
}

/// A socket that updates its [`ConnectionWatch`].
pub struct WatchedSocket {
    socket: Option<TcpStream>,
    watch: Arc<ConnectionWatch>,
    link: Arc<LinkBudget>,
    /// Dropped after the socket.
    descriptor: Option<DescriptorGuard>,
}

impl WatchedSocket {
    /// Wraps a socket for which `descriptor` was counted.
    pub fn new(
        socket: TcpStream,
        link: Arc<LinkBudget>,
        descriptor: DescriptorGuard,
    ) -> (Self, Arc<ConnectionWatch>) {
        let watch = ConnectionWatch::new();
        let watched = Self {
            socket: Some(socket),
            watch: watch.clone(),
            link,
            descriptor: Some(descriptor),
        };
        (watched, watch)
    }

    fn count_written(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(written)) = &polled {
            self.link.count_prompt(*written);
        }
        polled
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
        let descriptor = self.descriptor.take();
        let awaited = watch.awaiting_response.load(Ordering::Relaxed);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if !awaited {
            watch.set_end(End::Abandoned);
            return;
        }
        if let Some(end) = watch.end_by_late_response() {
            watch.set_end(end);
            return;
        }
        runtime.spawn(async move {
            let reading = timeout(LINGER, read_to_end(socket, &watch));
            let end = reading.await.unwrap_or(End::Abandoned);
            watch.set_end(end);
            drop(descriptor);
        });
    }
}

async fn read_to_end(mut socket: TcpStream, watch: &ConnectionWatch) -> End {
    // Fails only if the connection is already gone, which the read shows.
    let _ = socket.shutdown().await;
    let mut buf = [0; 512];
    loop {
        match socket.read(&mut buf).await {
            Ok(0) => return End::Closed,
            Ok(received) if watch.record_received(&buf[..received]).is_ok() => {}
            // It has no end, or data received before a reset may be lost.
            Ok(_) | Err(_) => return End::Abandoned,
        }
        if let Some(end) = watch.end_by_late_response() {
            return end;
        }
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
        if buf.filled().len() == before && polled.is_ready() {
            self.watch.closed_by_endpoint.store(true, Ordering::Relaxed);
        }
        if buf.filled().len() > before {
            self.link.count_received(buf.filled().len() - before);
            self.watch.record_received(&buf.filled()[before..])?;
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
        let polled = self.socket().poll_write(cx, buf);
        self.watch.record_write(&polled);
        self.count_written(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = self.socket().poll_write_vectored(cx, bufs);
        self.watch.record_write(&polled);
        self.count_written(polled)
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
