//! JSON answers.

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use viz::{Body, Response};

/// An answer of this status with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    // Fails only for maps with keys that are no text, which no stand-in answers with.
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::Full(Bytes::from(text).into()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
