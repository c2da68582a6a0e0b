//! JSON responses of the stand-ins.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use serde_json::json;
use viz::{Body, Response};

/// A response with this status and a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    // Serialization fails only for maps with non-string keys, which no stand-in returns.
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::Full(Bytes::from(text).into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// A refusal with 503 that asks for a pause of at least this time, in whole seconds.
pub fn busy(error: &str, time: Duration) -> Response {
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": error }));
    let seconds = HeaderValue::from(time.as_secs() + 1);
    response.headers_mut().insert(header::RETRY_AFTER, seconds);
    response
}
