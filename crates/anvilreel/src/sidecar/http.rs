//! The HTTP client towards the endpoint beside the sidecar.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::{ResultExt, Snafu};

/// Longest time to make a connection to the process next door.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call of the endpoint that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum EndpointError {
    /// No connection; the endpoint saw nothing of the call.
    #[snafu(display("no connection to the endpoint: {source}"))]
    Connect {
        /// Why.
        source: hyper_util::client::legacy::Error,
    },
    /// The call may have reached the endpoint.
    #[snafu(display("the endpoint broke off: {source}"))]
    Lost {
        /// Why.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer broke off.
    #[snafu(display("the endpoint's answer broke off: {source}"))]
    Broken {
        /// Why.
        source: hyper::Error,
    },
    /// The answer ended without saying that it is whole.
    #[snafu(display("the endpoint's answer ended early"))]
    Ended,
    /// The endpoint did not take the call.
    #[snafu(display("the endpoint answered with status {status}"))]
    Status {
        /// Its status.
        status: StatusCode,
    },
    /// Not what an engine answers.
    #[snafu(display("not an engine's event: {source}"))]
    Event {
        /// Why.
        source: serde_json::Error,
    },
    /// The call can't be written as HTTP.
    #[snafu(display("not an HTTP call: {source}"))]
    Call {
        /// Why.
        source: http::Error,
    },
}

impl EndpointError {
    /// Whether it is certain that the endpoint did not run the call.
    pub fn never_ran(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Call { .. })
    }
}

/// A client of one endpoint. Cheap to clone; all clones share its connections.
#[derive(Clone)]
pub struct EndpointClient {
    addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl EndpointClient {
    /// A client of the endpoint at this address. Nothing is connected yet.
    pub fn new(addr: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A call that may not be repeated must never be sent a second time by the client when a
        // kept connection turns out to be dead.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { addr, client }
    }

    /// Sends a call to this path and query.
    pub async fn send(
        &self,
        method: &str,
        tail: &str,
        headers: &[(std::sync::Arc<str>, Bytes)],
        body: Bytes,
    ) -> Result<Response<Incoming>, EndpointError> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{tail}", self.addr));
        for (name, value) in headers {
            req = req.header(name.as_ref(), value.as_ref());
        }
        let req = req.body(Full::new(body)).context(CallSnafu)?;
        self.client.request(req).await.map_err(|source| {
            if source.is_connect() {
                EndpointError::Connect { source }
            } else {
                EndpointError::Lost { source }
            }
        })
    }
}
