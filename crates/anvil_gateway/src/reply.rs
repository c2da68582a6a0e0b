//! Responses to clients, and the reasons for refusals.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use snafu::Snafu;

/// A stream that can't be completed. The connection is closed without the end of the stream, so
/// that the client does not take the part for the whole.
#[derive(Debug, Snafu)]
#[snafu(display("the response stream ended early"))]
pub struct IncompleteStream;

/// Body of a response to a client.
pub type ReplyBody = UnsyncBoxBody<Bytes, IncompleteStream>;
/// A response to a client.
pub type Reply = Response<ReplyBody>;

/// Why a request is refused or has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The request head is invalid.
    BadHead,
    /// The bearer key is missing or unknown.
    UnknownKey,
    /// No route matches host and path.
    NoRoute,
    /// The body exceeds the limit.
    BodyTooLong,
    /// The client did not send the body in time.
    BodyTimeout,
    /// The budget does not cover the maximum cost.
    BudgetExhausted,
    /// Tokens may become available, but not in time.
    BudgetBusy,
    /// The ledger is unreachable, so no tokens can be obtained; another process may reach it.
    LedgerUnreachable,
    /// This process has no routing table or no endpoints yet.
    NotReady,
    /// The client closed its connection before the request was sent to an endpoint.
    ClientLeft,
    /// The deadline passed before the request was sent to an endpoint.
    Expired,
    /// This process is stopping.
    Leaving,
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// No endpoint of the service is in a region in which the request may run.
    OutsideRegions,
    /// All endpoints of the service are in evacuated availability zones.
    Evacuated,
    /// All endpoints are too busy to respond in time.
    Overloaded,
    /// The link is too busy to send the request in time; another process may have room.
    LinkBusy,
    /// No descriptor is left for a connection to an endpoint; another process may have one.
    NoDescriptors,
    /// All endpoints have asked for a pause.
    EndpointsPaused,
    /// No gateway knows which software version began the stream that is taken up.
    StreamUnknown,
    /// No endpoint of the software version that began the stream accepts requests.
    VersionGone,
    /// Endpoints crashed under the same request.
    CrashesEndpoints,
    /// Endpoints refused it or were unreachable.
    RefusedByEndpoints,
    /// It may have run, and the response is lost.
    ResponseLost,
    /// It may have run, and no response came in time.
    ResponseTimeout,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 25] = [
        Self::BadHead,
        Self::UnknownKey,
        Self::NoRoute,
        Self::BodyTooLong,
        Self::BodyTimeout,
        Self::BudgetExhausted,
        Self::BudgetBusy,
        Self::LedgerUnreachable,
        Self::NotReady,
        Self::ClientLeft,
        Self::Expired,
        Self::Leaving,
        Self::NoEndpoint,
        Self::OutsideRegions,
        Self::Evacuated,
        Self::Overloaded,
        Self::LinkBusy,
        Self::NoDescriptors,
        Self::EndpointsPaused,
        Self::StreamUnknown,
        Self::VersionGone,
        Self::CrashesEndpoints,
        Self::RefusedByEndpoints,
        Self::ResponseLost,
        Self::ResponseTimeout,
    ];

    /// Status for the client. 429 and 503 state that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHead => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Self::BudgetBusy => StatusCode::TOO_MANY_REQUESTS,
            Self::LedgerUnreachable
            | Self::NotReady
            | Self::ClientLeft
            | Self::Expired
            | Self::Leaving
            | Self::NoEndpoint
            | Self::OutsideRegions
            | Self::Evacuated
            | Self::Overloaded
            | Self::LinkBusy
            | Self::NoDescriptors
            | Self::EndpointsPaused
            | Self::StreamUnknown
            | Self::VersionGone
            | Self::CrashesEndpoints
            | Self::RefusedByEndpoints => StatusCode::SERVICE_UNAVAILABLE,
            Self::ResponseLost => StatusCode::BAD_GATEWAY,
            Self::ResponseTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Text for the log and for the client.
    pub fn text(self) -> &'static str {
        match self {
            Self::BadHead => "bad_head",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTimeout => "body_late",
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetBusy => "budget_busy",
            Self::LedgerUnreachable => "ledger_unreachable",
            Self::NotReady => "not_ready",
            Self::ClientLeft => "client_left_before_run",
            Self::Expired => "expired",
            Self::Leaving => "leaving",
            Self::NoEndpoint => "no_endpoint",
            Self::OutsideRegions => "outside_regions",
            Self::Evacuated => "evacuated",
            Self::Overloaded => "overloaded",
            Self::LinkBusy => "link_busy",
            Self::NoDescriptors => "no_descriptors",
            Self::EndpointsPaused => "endpoints_paused",
            Self::StreamUnknown => "stream_unknown",
            Self::VersionGone => "version_gone",
            Self::CrashesEndpoints => "crashes_endpoints",
            Self::RefusedByEndpoints => "refused_by_endpoints",
            Self::ResponseLost => "answer_lost",
            Self::ResponseTimeout => "no_answer_in_time",
        }
    }

    /// Whether the request has not run and the client may retry it.
    pub fn may_retry(self) -> bool {
        matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
        )
    }

    /// What became of the request, for the client.
    fn outcome(self) -> &'static str {
        match self {
            Self::ResponseLost | Self::ResponseTimeout => "unknown",
            _ => "not_run",
        }
    }
}

/// The response that states why a request is refused.
pub fn refusal(cause: Cause, come_again: Option<Duration>) -> Reply {
    let (kind, outcome) = (cause.text(), cause.outcome());
    let text = format!(r#"{{"error":{{"type":"{kind}","outcome":"{outcome}"}}}}"#);
    let body = Full::new(Bytes::from(text)).map_err(never).boxed_unsync();
    let mut reply = Response::new(body);
    *reply.status_mut() = cause.status();
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = come_again.filter(|_| cause.may_retry()) {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    reply
}

/// A body that is available as a whole.
pub fn full_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes).map_err(never).boxed_unsync()
}

/// Asks the client to use another connection for its next request.
pub fn set_connection_close(reply: &mut Reply) {
    let headers = reply.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

fn never(never: Infallible) -> IncompleteStream {
    match never {}
}

/// Headers that apply to a single connection.
pub const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    http::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Removes headers that apply only to the connection to the endpoint.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(http::header::CONTENT_LENGTH);
}
