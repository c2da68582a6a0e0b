//! The head of a response that nobody waits for any more.
//!
//! Failure: a client disconnects, or its request times out, just before the endpoint turns the request
//! away and asks for a pause. If that answer goes unread, the endpoint gets further requests in its
//! pause, and the tokens that the request had reserved count as spent.

use std::fmt;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Longest head that is kept, in bytes.
const MAX_HEAD_BYTES: usize = 4_096;
/// Maximum number of headers in it.
const MAX_HEADERS: usize = 64;

/// Called with the head of a late response. Returns whether it states that the request was not run.
pub type LateHandler = Box<dyn FnOnce(StatusCode, &HeaderMap) -> bool + Send>;

/// Collects the head of a response until somebody has it.
#[derive(Default)]
pub struct LateResponse {
    received: Vec<u8>,
    handler: Option<LateHandler>,
}

impl fmt::Debug for LateResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LateResponse")
            .field("received", &self.received.len())
            .finish_non_exhaustive()
    }
}

impl LateResponse {
    /// Expects the response to a request.
    pub fn new(handler: LateHandler) -> Self {
        Self {
            received: Vec::new(),
            handler: Some(handler),
        }
    }

    /// Adds bytes of the response.
    pub fn push(&mut self, bytes: &[u8]) {
        let room = MAX_HEAD_BYTES - self.received.len();
        self.received
            .extend_from_slice(&bytes[..room.min(bytes.len())]);
    }

    /// Whether any of it has come.
    pub fn has_begun(&self) -> bool {
        !self.received.is_empty()
    }

    /// Handles the head once it is complete. Returns whether it states that the request was not run;
    /// `None` if there is no complete head.
    pub fn handle(&mut self) -> Option<bool> {
        let (status, headers) = parse_head(&self.received)?;
        let handler = self.handler.take()?;
        Some(handler(status, &headers))
    }
}

fn parse_head(bytes: &[u8]) -> Option<(StatusCode, HeaderMap)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes).ok()?;
    if !parsed.is_complete() {
        return None;
    }
    let status = StatusCode::from_u16(response.code?).ok()?;
    let headers = response.headers.iter().filter_map(|header| {
        let name = HeaderName::try_from(header.name).ok()?;
        Some((name, HeaderValue::from_bytes(header.value).ok()?))
    });
    Some((status, headers.collect()))
}
