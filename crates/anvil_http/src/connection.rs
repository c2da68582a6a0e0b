//! Serves one connection.

use std::convert::Infallible;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use futures::FutureExt;
use futures::future::{BoxFuture, Fuse, FusedFuture};
use http::{Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Sleep, sleep};

use crate::connection_state::ConnectionState;
use crate::guarded_socket::GuardedSocket;
use crate::limits::ConnectionLimits;
use crate::refusal::{self, Violation};

/// Cause of an error of the HTTP library.
type BoxError = Box<dyn Error + Send + Sync>;

/// Why a connection ended before its client closed it.
#[derive(Debug, Snafu)]
pub enum ConnectionError {
    /// It exceeded a limit, or made room for another one.
    #[snafu(display("{}", violation.text()))]
    Refused {
        /// Which.
        violation: Violation,
    },
    /// It broke, or its bytes are not HTTP.
    #[snafu(display("{source}"))]
    Http {
        /// Cause.
        source: BoxError,
    },
}

/// What a connection may be used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Whether HTTP/2 is served too, if the client begins with it.
    pub http2: bool,
    /// Whether more than one request is served.
    pub keep_alive: bool,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            http2: false,
            keep_alive: true,
        }
    }
}

/// Requests that one HTTP/2 connection may have open.
const HTTP2_STREAMS: u32 = 64;
/// Bytes that an HTTP/2 connection and each of its streams may receive ahead of the reader.
const HTTP2_WINDOW_BYTES: u32 = 64 << 10;

/// Serves a connection until it ends; after `stop`, until the request in progress has ended.
pub async fn serve_connection<S, Svc, B>(
    socket: S,
    state: Arc<ConnectionState>,
    options: ConnectionOptions,
    service: Svc,
    stop: impl Future<Output = ()>,
) -> Result<(), ConnectionError>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    Svc: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Unpin,
    Svc::Future: Send + 'static,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<BoxError>,
{
    let socket = Arc::new(Mutex::new(socket));
    let guarded = GuardedSocket::new(socket.clone(), state.clone(), options.http2);
    let service = GuardedService {
        service,
        state: state.clone(),
    };
    let stop = pin!(stop.fuse());
    let served = if options.http2 {
        serve_both(guarded, service, &state, stop).await
    } else {
        serve_http1(guarded, service, &state, options.keep_alive, stop).await
    };
    // The library has dropped its part, so this is the only one.
    let socket = Arc::into_inner(socket).and_then(|socket| socket.into_inner().ok());
    let Some(mut socket) = socket else {
        return served;
    };
    match &served {
        Err(ConnectionError::Refused { violation }) => {
            refusal::refuse(&mut socket, *violation).await;
        }
        _ if !state.is_closed_by_client() => refusal::linger_if_unread(&mut socket).await,
        _ => {}
    }
    served
}

/// How a connection of the HTTP library ended.
enum Ended {
    /// For good.
    Served(Result<(), ConnectionError>),
    /// It can't read the next head, which has many headers.
    Outgrown,
}

async fn serve_http1<S, Svc, B>(
    socket: GuardedSocket<S>,
    service: GuardedService<Svc>,
    state: &ConnectionState,
    keep_alive: bool,
    mut stop: Pin<&mut Fuse<impl Future<Output = ()>>>,
) -> Result<(), ConnectionError>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    Svc: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Unpin,
    Svc::Future: Send + 'static,
    B: Body + Send + Unpin + 'static,
    B::Error: Into<BoxError>,
{
    let limits = state.limits();
    let builder = http1_builder(limits, keep_alive);
    let mut connection = builder.serve_connection(TokioIo::new(socket), service);
    loop {
        let shut_down = http1::Connection::graceful_shutdown;
        match drive(Pin::new(&mut connection), shut_down, state, stop.as_mut()).await {
            Ended::Served(served) => return served,
            Ended::Outgrown => {
                let parts = connection.into_parts();
                let mut socket = parts.io.into_inner();
                socket.unread(parts.read_buf);
                state.set_many_headers();
                let mut builder = http1_builder(limits, keep_alive && !stop.is_terminated());
                builder.max_headers(limits.max_headers());
                connection = builder.serve_connection(TokioIo::new(socket), parts.service);
            }
        }
    }
}

/// Serves HTTP/1 and HTTP/2.
async fn serve_both<S, Svc, B>(
    socket: GuardedSocket<S>,
    service: GuardedService<Svc>,
    state: &ConnectionState,
    stop: Pin<&mut Fuse<impl Future<Output = ()>>>,
) -> Result<(), ConnectionError>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    Svc: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    Svc::Future: Send + 'static,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<BoxError>,
{
    state.set_many_headers();
    let builder = http2_builder(state.limits());
    let connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    let shut_down = auto::Connection::graceful_shutdown;
    match drive(connection, shut_down, state, stop).await {
        Ended::Served(served) => served,
        Ended::Outgrown => unreachable!("it is set up for many headers"),
    }
}

/// Drives a connection of the HTTP library until it has ended or has to.
async fn drive<C, E>(
    mut connection: Pin<&mut C>,
    shut_down: impl Fn(Pin<&mut C>),
    state: &ConnectionState,
    mut stop: Pin<&mut Fuse<impl Future<Output = ()>>>,
) -> Ended
where
    C: Future<Output = Result<(), E>>,
    E: Into<BoxError>,
{
    let mut timer = pin!(sleep(state.limits().idle_timeout));
    loop {
        // The state is asked after the library, which may just have begun or ended a request.
        let watched = poll_fn(|cx| {
            if state.changes_parser() {
                return Poll::Ready(Ended::Outgrown);
            }
            let violation = state.poll_violation(cx);
            let violation = match violation {
                Poll::Pending => poll_deadline(timer.as_mut(), state, cx),
                Poll::Ready(_) => violation,
            };
            violation.map(|violation| Ended::Served(Err(ConnectionError::Refused { violation })))
        });
        tokio::select! {
            biased;
            served = connection.as_mut() => {
                return Ended::Served(served.map_err(|e| ConnectionError::Http { source: e.into() }));
            }
            ended = watched => return ended,
            () = stop.as_mut() => shut_down(connection.as_mut()),
        }
    }
}

/// Completes once the connection has been without progress for too long.
fn poll_deadline(
    mut timer: Pin<&mut Sleep>,
    state: &ConnectionState,
    cx: &mut Context<'_>,
) -> Poll<Violation> {
    let Some(deadline) = state.deadline() else {
        return Poll::Pending;
    };
    if timer.deadline() != deadline {
        timer.as_mut().reset(deadline);
    }
    timer.poll(cx).map(|()| state.timeout_violation())
}

fn http1_builder(limits: &ConnectionLimits, keep_alive: bool) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The state of the connection has its deadlines.
        .header_read_timeout(None)
        .keep_alive(keep_alive)
        .max_buf_size(limits.read_buffer_bytes() + 1)
        // The socket ends a head that is longer than allowed, so this limit is never met.
        .max_header_size(limits.head_bytes + 1);
    builder
}

fn http2_builder(limits: &ConnectionLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.read_buffer_bytes() + 1)
        .max_headers(limits.max_headers());
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(limits.idle_timeout)
        .max_concurrent_streams(HTTP2_STREAMS)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX));
    builder
}

/// A service that tells the connection when a request begins and ends.
struct GuardedService<Svc> {
    service: Svc,
    state: Arc<ConnectionState>,
}

impl<Svc, B> Service<Request<Incoming>> for GuardedService<Svc>
where
    Svc: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    Svc::Future: Send + 'static,
    B: Body + Send + 'static,
{
    type Response = Response<GuardedBody<B>>;
    type Error = Infallible;
    // Boxed, so that a connection without a request doesn't take the memory of one.
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let open = OpenRequest::begin(self.state.clone());
        let responding = self.service.call(req);
        Box::pin(async move {
            let response = responding.await?;
            Ok(response.map(|body| GuardedBody { body, _open: open }))
        })
    }
}

/// A request that has not ended, until it is dropped.
struct OpenRequest(Arc<ConnectionState>);

impl OpenRequest {
    fn begin(state: Arc<ConnectionState>) -> Self {
        state.begin_request();
        Self(state)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// A response body that keeps its request open.
struct GuardedBody<B> {
    body: B,
    _open: OpenRequest,
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
