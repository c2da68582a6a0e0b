//! A small HTTP client for the load tool and the stand-ins.

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snafu::ResultExt;

use crate::error::{BrokenSnafu, Error, RequestSnafu, UrlSnafu};

type HyperClient = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

/// Keeps connections for reuse; cloning shares them.
#[derive(Debug, Clone)]
pub struct Client {
    inner: HyperClient,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let builder = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
        Self {
            inner: builder.build(connector),
        }
    }
}

impl Client {
    /// Sends a GET request and reads the complete response.
    pub async fn get(&self, url: &str) -> Result<FullResponse, Error> {
        let req = Request::builder().method(Method::GET).uri(url);
        let req = req.body(Full::default()).context(UrlSnafu { url })?;
        self.fetch(url, req).await
    }

    /// Sends a request and reads the complete response.
    pub async fn fetch(&self, url: &str, req: Request<Full<Bytes>>) -> Result<FullResponse, Error> {
        let response = self.send(url, req).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.context(BrokenSnafu { url })?;
        Ok(FullResponse {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// Sends a request; the response body is a stream.
    pub async fn send(
        &self,
        url: &str,
        req: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, Error> {
        self.inner.request(req).await.context(RequestSnafu { url })
    }
}
