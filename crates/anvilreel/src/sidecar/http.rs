//! The HTTP client of the endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::{ResultExt, Snafu};

use super::endpoint_pause::EndpointPause;
use crate::lifecycle::Lifecycle;

/// Timeout of a connection to the endpoint, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call to the endpoint that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum EndpointError {
    /// No connection; the endpoint received nothing of the call.
    #[snafu(display("connecting to the endpoint failed: {source}"))]
    Connect {
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The call may have reached the endpoint.
    #[snafu(display("connection to the endpoint lost: {source}"))]
    Lost {
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection broke during the response.
    #[snafu(display("reading the endpoint's response failed: {source}"))]
    Broken {
        /// The cause.
        source: hyper::Error,
    },
    /// The response ended before it was complete.
    #[snafu(display("the endpoint's response is incomplete"))]
    Ended,
    /// The endpoint refused the call.
    #[snafu(display("the endpoint refused the call: status {status}"))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
    /// Nothing was sent, because the endpoint asked for a pause.
    #[snafu(display("the endpoint asked for a pause"))]
    Paused,
    /// The event or the request body is not the JSON that is expected.
    #[snafu(display("invalid JSON in a request or event: {source}"))]
    Event {
        /// The cause.
        source: serde_json::Error,
    },
    /// The call is not valid HTTP.
    #[snafu(display("invalid HTTP request: {source}"))]
    Call {
        /// The cause.
        source: http::Error,
    },
}

impl EndpointError {
    /// Whether the endpoint has certainly not run the call.
    pub fn never_ran(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::Call { .. } | Self::Paused
        )
    }
}

/// What a call means for an endpoint that asks for pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPurpose {
    /// New work; the endpoint's response to it may ask for a pause.
    Work,
    /// Any other call that waits until a pause is over.
    Other,
    /// Relieves the endpoint, so it is sent in a pause too.
    Relief,
}

/// A client of one endpoint. Cheap to clone; all clones share its connections.
#[derive(Clone)]
pub struct EndpointClient {
    addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    pause: Arc<EndpointPause>,
}

impl EndpointClient {
    /// A client of the endpoint at this address. Does not connect yet.
    pub fn new(addr: SocketAddr, lifecycle: Lifecycle) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // Without this the client would send a call a second time if a pooled connection turns out
        // to be closed; a non-idempotent call must not be repeated.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            addr,
            client,
            pause: Arc::new(EndpointPause::new(lifecycle)),
        }
    }

    /// The pause that the endpoint has asked for.
    pub fn pause(&self) -> &EndpointPause {
        &self.pause
    }

    /// Sends a call to this path and query, unless the endpoint's pause bars it.
    pub async fn send(
        &self,
        purpose: CallPurpose,
        method: &str,
        path: &str,
        headers: &[(Arc<str>, Bytes)],
        body: Bytes,
    ) -> Result<Response<Incoming>, EndpointError> {
        let may_send = match purpose {
            CallPurpose::Work => self.pause.try_send(),
            CallPurpose::Other => !self.pause.is_paused(),
            CallPurpose::Relief => true,
        };
        if !may_send {
            return Err(EndpointError::Paused);
        }
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            req = req.header(name.as_ref(), value.as_ref());
        }
        let req = req.body(Full::new(body)).context(CallSnafu)?;
        let response = self.client.request(req).await.map_err(|source| {
            if source.is_connect() {
                EndpointError::Connect { source }
            } else {
                EndpointError::Lost { source }
            }
        })?;
        if purpose == CallPurpose::Work {
            self.pause
                .apply_response(response.status(), response.headers());
        }
        Ok(response)
    }
}
