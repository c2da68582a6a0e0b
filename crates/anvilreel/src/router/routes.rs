//! The HTTP routes for callers, and the checks shared by all requests before they become a
//! [`Job`](super::job::Job).

use std::sync::Arc;
use std::time::Duration;

use anvil_http::{BodyError, BodyLimits, read_whole};
use anvil_world::document::FleetDocument;
use anvil_world::prelude::*;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::{sleep, timeout};
use viz::{Body, Request, Response};

use super::errors::{self, full};
use super::view::{Team, View};
use super::{Core, chat_call, plain_call};

/// Maximum length of an `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Maximum number of bytes read and discarded from a refused body.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// Longest time without a byte of a body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time that a planned stop leaves callers to send the rest of their bodies.
const STOP_BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time spent reading a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// The header with the request's id, either generated here or given by the caller.
pub const REQUEST_ID: &str = "x-request-id";

/// The routes of a router.
pub fn routes(core: &Arc<Core>) -> viz::Router {
    let chat = handler(core, chat_call::handle);
    let plain = handler(core, plain_call::handle);
    viz::Router::new()
        .get("/healthz", |_| async { Ok::<_, viz::Error>("ok\n") })
        .get("/readyz", handler(core, ready))
        .get("/v1/models", handler(core, models))
        .post("/v1/chat/completions", chat)
        .any("/services/:service", plain.clone())
        .any("/services/:service/*", plain)
}

/// Wraps a function into a viz handler that has access to the router's state.
fn handler<F, Fut>(
    core: &Arc<Core>,
    f: F,
) -> impl Fn(Request) -> futures::future::BoxFuture<'static, viz::Result<Response>>
+ Clone
+ Send
+ Sync
+ 'static
where
    F: Fn(Arc<Core>, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response, Refusal>> + Send + 'static,
{
    let core = core.clone();
    move |req| {
        let core = core.clone();
        let f = f.clone();
        Box::pin(async move {
            Ok(f(core.clone(), req).await.unwrap_or_else(|refusal| {
                core.metrics.count(crate::metrics::REQUESTS_REFUSED);
                errors::refusal_response(&refusal)
            }))
        })
    }
}

async fn ready(core: Arc<Core>, _: Request) -> Result<Response, Refusal> {
    let why = if core.lifecycle.is_draining() {
        "leaving"
    } else if core.view_state.view.load().is_empty() {
        "no settings yet"
    } else if !core.view_state.accepts_work() {
        "out of touch with the ledger"
    } else {
        "ready"
    };
    let mut response = Response::new(full(format!("{why}\n")));
    if why != "ready" {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

async fn models(core: Arc<Core>, req: Request) -> Result<Response, Refusal> {
    let view = core.view_state.view.load();
    let team = authenticate(&view, req.headers())?;
    let allowed = view
        .models
        .keys()
        .filter(|id| team.document.allows_model(id));
    let list: Vec<_> = allowed
        .map(|id| json!({"id": id, "object": "model", "created": 0, "owned_by": "anvilreel"}))
        .collect();
    let list = json!({"object": "list", "data": list}).to_string();
    Ok(json_response(list.into()))
}

/// A JSON response.
pub fn json_response(body: Bytes) -> Response {
    let mut response = Response::new(full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Checks that this router accepts new work at all.
pub fn check_accepting(core: &Core) -> Result<(), Refusal> {
    if core.lifecycle.is_draining() {
        return Err(Refusal::new(Reason::Leaving).with_retry_after(super::UNAVAILABLE_RETRY_AFTER));
    }
    if core.connections.is_overcommitted() {
        return Err(
            Refusal::new(Reason::Overloaded).with_retry_after(super::UNAVAILABLE_RETRY_AFTER)
        );
    }
    if !core.view_state.accepts_work() {
        return Err(
            Refusal::new(Reason::SettingsStale).with_retry_after(super::UNAVAILABLE_RETRY_AFTER)
        );
    }
    Ok(())
}

/// Generates an id for a claim, unique in the fleet.
pub fn claim_id(core: &Core) -> ClaimId {
    core.next_id()
}

/// The team whose bearer key the request carries.
pub fn authenticate(view: &View, headers: &HeaderMap) -> Result<Arc<Team>, Refusal> {
    let bearer = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    bearer
        .and_then(|bearer| view.team(bearer))
        .ok_or_else(|| Refusal::new(Reason::Unauthorized))
}

/// The request's key, and whether the caller chose it.
pub fn request_key(
    core: &Core,
    team: &Team,
    headers: &HeaderMap,
) -> Result<(RequestKey, bool), Refusal> {
    let given = headers.get("idempotency-key");
    let id = match given {
        Some(given) => checked_key(given)?,
        None => core.next_id(),
    };
    let key = RequestKey {
        team: team.id.clone(),
        id,
    };
    Ok((key, given.is_some()))
}

fn checked_key(given: &HeaderValue) -> Result<Arc<str>, Refusal> {
    let text = given.to_str().unwrap_or_default();
    let printable = text.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !printable {
        let malformed = Reason::Malformed(Malformed::IdempotencyKey);
        return Err(Refusal::new(malformed));
    }
    Ok(text.into())
}

/// Reads a body up to the limit. A caller that disconnects before the end of the body is not
/// charged.
pub async fn read_body(
    core: &Core,
    req: &mut Request,
    fleet: &FleetDocument,
) -> Result<Bytes, Refusal> {
    let limit = fleet.max_body;
    let declared_length = req.headers().get(header::CONTENT_LENGTH);
    let declared_length = declared_length.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    let mut body = std::mem::take(req.body_mut());
    if declared_length.is_some_and(|bytes| bytes > limit) {
        discard(&mut body).await;
        return Err(Refusal::new(Reason::TooLarge(limit)));
    }
    let limits = BodyLimits {
        max_bytes: usize::try_from(limit).unwrap_or(usize::MAX),
        idle_timeout: BODY_IDLE_TIMEOUT,
    };
    let reading = read_whole(&mut body, limits, &core.request_bodies, || ());
    let reading = timeout(fleet.request_timeout, reading);
    let read = tokio::select! {
        biased;
        read = reading => read.unwrap_or(Err(BodyError::Stalled)),
        () = stop_waits_no_longer(core) => {
            return Err(
                Refusal::new(Reason::Leaving).with_retry_after(super::UNAVAILABLE_RETRY_AFTER)
            );
        }
    };
    let refusal = match read {
        Ok(body) => return Ok(body),
        Err(BodyError::TooLong) => {
            discard(&mut body).await;
            Refusal::new(Reason::TooLarge(limit))
        }
        Err(BodyError::NoRoom) => {
            Refusal::new(Reason::Overloaded).with_retry_after(super::UNAVAILABLE_RETRY_AFTER)
        }
        Err(BodyError::Stalled) => {
            Refusal::new(Reason::BodyLate).with_retry_after(super::UNAVAILABLE_RETRY_AFTER)
        }
        Err(BodyError::Broken) => Refusal::new(Reason::Cancelled),
    };
    Err(refusal)
}

/// Returns when a planned stop waits no longer for bodies that callers are sending.
///
/// Failure: a caller sends its body byte by byte, or stops just short of its end. The planned stop waits for
/// the request, which has not begun, until the supervisor ends the process.
async fn stop_waits_no_longer(core: &Core) {
    core.lifecycle.drain_begun().await;
    sleep(STOP_BODY_TIMEOUT).await;
}

/// Reads the rest of a refused body and discards it, bounded in bytes and time.
///
/// If the connection were closed while the caller still writes, it would see a broken pipe in place
/// of the refusal.
async fn discard(body: &mut Body) {
    let reading = async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // After the timeout the connection is closed regardless.
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}

/// Sets the response header with the request's id.
pub fn set_request_id(response: &mut Response, key: &RequestKey) {
    if let Ok(id) = HeaderValue::from_str(&key.id) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
}
