//! One caller's connection: serves the requests on it, and ends it when the router stops.
//!
//! Failure: a caller sends its next request when the previous response ends. If the connection is
//! closed at that moment, the request is neither answered nor refused, and the caller can't know
//! whether it ran. So responses of a stopping router announce the close, and a connection whose
//! response began before is closed only when it has been idle for a while.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use anvil_http::admission::Admitted;
use anvil_http::connection::ConnectionOptions;
use anvil_http::limits::MEDIUM_RECEIVE_BUFFER_BYTES;
use anvil_http::{ConnectionLimits, serve_connection};
use futures::future::BoxFuture;
use http::{HeaderValue, Version, header};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::service::Service;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use viz::{Body, Request, Responder, Response};

use crate::lifecycle::Lifecycle;

/// Longest time a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// A connection without a request for this long is closed when the router stops: several times what
/// a caller in another region needs to send its next request after a response.
const IDLE_LINGER: Duration = Duration::from_secs(1);

/// The address of a caller, as the routes receive it.
pub type Peer = Arc<std::net::SocketAddr>;

/// Limits of a connection.
pub fn limits() -> ConnectionLimits {
    ConnectionLimits {
        head_timeout: HEAD_TIMEOUT,
        receive_buffer_bytes: MEDIUM_RECEIVE_BUFFER_BYTES,
        ..ConnectionLimits::default()
    }
}

/// Serves a connection until the caller closes it, or until `closing` is set and it is idle.
pub async fn serve(
    socket: TcpStream,
    admitted: Admitted,
    responder: Responder<Peer>,
    lifecycle: Lifecycle,
    mut closing: watch::Receiver<bool>,
) {
    // Disables Nagle's algorithm, which would delay small events; a failure here only costs
    // latency.
    let _ = socket.set_nodelay(true);
    let activity = watch::Sender::new(Activity::new());
    let service = TrackingService {
        responder,
        lifecycle,
        activity: activity.clone(),
    };
    let stop = async {
        // An error means that the accepting task was aborted, which aborts this one.
        let _ = closing.wait_for(|closing| *closing).await;
        idle(&activity, IDLE_LINGER).await;
    };
    let options = ConnectionOptions {
        http2: true,
        ..ConnectionOptions::default()
    };
    let state = admitted.state.clone();
    // An error means that the caller disconnected or exceeded a limit; the task of its request
    // notices that by itself.
    let _ = serve_connection(socket, state, options, service, stop).await;
}

/// The requests of a connection.
#[derive(Debug, Clone, Copy)]
struct Activity {
    /// Requests whose response has not ended.
    open: usize,
    /// When that changed last.
    changed: Instant,
}

impl Activity {
    fn new() -> Self {
        Self {
            open: 0,
            changed: Instant::now(),
        }
    }
}

/// Returns when no request has been open for this long.
async fn idle(activity: &watch::Sender<Activity>, linger: Duration) {
    let mut rx = activity.subscribe();
    loop {
        let now = *rx.borrow_and_update();
        // The sender is borrowed, so a change is never an error.
        if now.open > 0 {
            let _ = rx.changed().await;
        } else if timeout_at(now.changed + linger, rx.changed())
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Counts a request as open until this guard is dropped.
struct OpenGuard(watch::Sender<Activity>);

impl OpenGuard {
    fn enter(activity: &watch::Sender<Activity>) -> Self {
        activity.send_modify(|activity| {
            activity.open += 1;
            activity.changed = Instant::now();
        });
        Self(activity.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.send_modify(|activity| {
            activity.open -= 1;
            activity.changed = Instant::now();
        });
    }
}

/// The routes, with a count of the open requests.
struct TrackingService {
    responder: Responder<Peer>,
    lifecycle: Lifecycle,
    activity: watch::Sender<Activity>,
}

impl Service<Request<Incoming>> for TrackingService {
    type Response = Response<TrackedBody>;
    type Error = std::convert::Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let open = OpenGuard::enter(&self.activity);
        let lifecycle = self.lifecycle.clone();
        let has_keep_alive = req.version() < Version::HTTP_2;
        let responding = self.responder.call(req);
        Box::pin(async move {
            let mut response = responding.await?;
            if has_keep_alive && lifecycle.is_draining() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok(response.map(|body| TrackedBody { body, _open: open }))
        })
    }
}

/// A response body that keeps its request counted as open.
struct TrackedBody {
    body: Body,
    _open: OpenGuard,
}

impl HttpBody for TrackedBody {
    type Data = <Body as HttpBody>::Data;
    type Error = <Body as HttpBody>::Error;

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
