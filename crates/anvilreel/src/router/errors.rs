//! Refusals and failures as HTTP responses.

use std::time::Duration;

use anvil_world::prelude::*;
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use viz::{Body, Response};

/// Retry-After for repeatable work whose outcome is unknown.
const UNKNOWN_OUTCOME_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The object under `error` in the JSON of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorBody {
    /// Machine-readable kind.
    pub r#type: &'static str,
    /// Human-readable description.
    pub message: String,
    /// `not_run`, `completed` or `unknown`.
    pub outcome: &'static str,
    /// Whether this request was charged; `null` if unknown.
    pub billed: Option<bool>,
    /// When a retry may succeed, in milliseconds; `null` if a retry can't help.
    pub retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: &'a ErrorBody,
}

impl ErrorBody {
    /// Its JSON: `{"error": ...}`.
    pub fn to_json(&self) -> String {
        let written = serde_json::to_string(&Envelope { error: self });
        written.unwrap_or_else(|_| unreachable!("text and numbers always serialize to JSON"))
    }
}

/// Status and body of a refusal.
pub fn refusal_body(refusal: &Refusal) -> (StatusCode, ErrorBody) {
    let (status, kind, message) = describe(&refusal.reason);
    let body = ErrorBody {
        r#type: kind,
        message,
        outcome: "not_run",
        billed: Some(false),
        retry_after_ms: refusal.retry_after.map(millis),
    };
    (status, body)
}

/// Status and body for an unknown outcome.
///
/// Repeatable work can be requested again under the same key: its answer is then read from the
/// sidecar that runs it, or it runs if it has not, and it is charged once in either case.
pub fn unknown_body(doubt: UnknownCause, once: bool) -> (StatusCode, ErrorBody) {
    let message = match doubt {
        UnknownCause::EndpointLost => "the endpoint was lost after the request had left for it",
        UnknownCause::SidecarLost => "the process that holds the run can't be reached",
        UnknownCause::AnswerDropped => "the answer is no longer kept",
        UnknownCause::Stopped => "it was stopped before its end",
        UnknownCause::AnswerLost => return answer_lost(),
    };
    let body = ErrorBody {
        r#type: "outcome_unknown",
        message: if once {
            format!("{message}; it may have run and is never run again")
        } else {
            format!("{message}; ask again under the same Idempotency-Key")
        },
        outcome: "unknown",
        billed: None,
        retry_after_ms: (!once).then_some(millis(UNKNOWN_OUTCOME_RETRY_AFTER)),
    };
    (StatusCode::BAD_GATEWAY, body)
}

/// A refusal as an HTTP response.
pub fn refusal_response(refusal: &Refusal) -> Response {
    let (status, body) = refusal_body(refusal);
    error_response(status, &body)
}

/// The request is known to have run; only its answer is gone.
fn answer_lost() -> (StatusCode, ErrorBody) {
    let body = ErrorBody {
        r#type: "answer_lost",
        message: "it ran to its end and is billed once; its answer is no longer kept".into(),
        outcome: "completed",
        billed: Some(true),
        retry_after_ms: None,
    };
    (StatusCode::GONE, body)
}

/// An unknown outcome as an HTTP response.
pub fn unknown_response(doubt: UnknownCause, once: bool) -> Response {
    let (status, body) = unknown_body(doubt, once);
    error_response(status, &body)
}

fn error_response(status: StatusCode, body: &ErrorBody) -> Response {
    let mut response = Response::new(full(body.to_json()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(after) = body.retry_after_ms {
        // The header counts whole seconds; rounding up never invites a retry too early.
        let seconds = HeaderValue::from(after.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn millis(after: Duration) -> u64 {
    u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
}

fn describe(reason: &Reason) -> (StatusCode, &'static str, String) {
    match reason {
        Reason::BudgetExhausted(budget) => (
            StatusCode::PAYMENT_REQUIRED,
            "budget_exhausted",
            format!("budget {budget} has too little left for this request"),
        ),
        Reason::NoEndpoint(service) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_endpoint",
            format!("no endpoint of {service} takes work now"),
        ),
        Reason::Malformed(what) => (StatusCode::BAD_REQUEST, "malformed", malformed(what)),
        Reason::TooLarge(limit) => (
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            format!("the body is over {limit} bytes"),
        ),
        other => {
            let (status, kind, message) = describe_simple(other);
            (status, kind, message.into())
        }
    }
}

fn describe_simple(reason: &Reason) -> (StatusCode, &'static str, &'static str) {
    match reason {
        Reason::LedgerUnreachable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "ledger_unreachable",
            "this router's share of the budget is used and the ledger can't be asked for more",
        ),
        Reason::SettingsStale => (
            StatusCode::SERVICE_UNAVAILABLE,
            "settings_stale",
            "this router has been out of touch for too long",
        ),
        Reason::Overloaded => (
            StatusCode::TOO_MANY_REQUESTS,
            "overloaded",
            "too much is waiting already",
        ),
        Reason::DeadlineTooClose => (
            StatusCode::SERVICE_UNAVAILABLE,
            "deadline_too_close",
            "it could not finish before its deadline",
        ),
        Reason::Leaving => (
            StatusCode::SERVICE_UNAVAILABLE,
            "leaving",
            "this instance is leaving",
        ),
        Reason::KeyReused(_) => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            "this Idempotency-Key came with another body before",
        ),
        Reason::Unauthorized => (
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "missing or wrong bearer key",
        ),
        Reason::NotAllowed => (
            StatusCode::FORBIDDEN,
            "not_allowed",
            "the team may not use this model or service",
        ),
        Reason::UnknownModel => (StatusCode::NOT_FOUND, "unknown_model", "no such model"),
        Reason::RouterFenced => (
            StatusCode::SERVICE_UNAVAILABLE,
            "router_fenced",
            "this router was declared lost; another one serves the request",
        ),
        Reason::BodyLate => (
            StatusCode::REQUEST_TIMEOUT,
            "body_late",
            "the body did not come in time",
        ),
        Reason::Cancelled => (
            StatusCode::BAD_REQUEST,
            "cancelled",
            "the caller left before it began",
        ),
        _ => (
            StatusCode::SERVICE_UNAVAILABLE,
            "endpoint_refused",
            "the endpoint did not run it",
        ),
    }
}

fn malformed(what: &Malformed) -> String {
    match what {
        Malformed::Json { line, column } => {
            format!("the body is not JSON: stopped at line {line}, column {column}")
        }
        Malformed::Field(name) => format!("field {name} is missing or has the wrong type"),
        Malformed::IdempotencyKey => {
            "Idempotency-Key must be 1 to 255 printable ASCII characters".into()
        }
    }
}

/// A response body from complete bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Body::Full(Full::new(bytes.into()))
}
