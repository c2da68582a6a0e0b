//! What callers can ask for, and how a request becomes a checked [`Job`].

use std::sync::Arc;
use std::time::Duration;

use anvil_world::prelude::*;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::timeout;
use viz::{Body, Request, Response};

use super::refuse::{self, full};
use super::view::{Team, View};
use super::{Core, chat_call, plain_call};

/// Most bytes of an `Idempotency-Key`.
const MAX_KEY: usize = 255;
/// Most bytes of a refused body that are read in vain.
const MOST_DISCARDED: usize = 64 << 20;
/// Longest time for which a refused body is read.
const DISCARD_WITHIN: Duration = Duration::from_secs(5);
/// The header with the request's id, ours or the caller's.
pub const REQUEST_ID: &str = "x-request-id";

/// The routes of a router.
pub fn routes(core: &Arc<Core>) -> viz::Router {
    let chat = on(core, chat_call::answer);
    let plain = on(core, plain_call::answer);
    viz::Router::new()
        .get("/healthz", |_| async { Ok::<_, viz::Error>("ok\n") })
        .get("/readyz", on(core, ready))
        .get("/v1/models", on(core, models))
        .post("/v1/chat/completions", chat)
        .any("/services/:service", plain.clone())
        .any("/services/:service/*", plain)
}

/// A handler that has the router at hand.
fn on<F, Fut>(
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
                refuse::refuse(&refusal)
            }))
        })
    }
}

async fn ready(core: Arc<Core>, _: Request) -> Result<Response, Refusal> {
    let why = if core.life.is_leaving() {
        "leaving"
    } else if core.following.view.load().is_empty() {
        "no settings yet"
    } else if !core.following.serves() {
        "out of touch with the ledger"
    } else {
        "ready"
    };
    let mut answer = Response::new(full(format!("{why}\n")));
    if why != "ready" {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(answer)
}

async fn models(core: Arc<Core>, req: Request) -> Result<Response, Refusal> {
    let view = core.following.view.load();
    let team = authenticate(&view, req.headers())?;
    let allowed = view
        .models
        .keys()
        .filter(|id| team.document.allows_model(id));
    let list: Vec<_> = allowed
        .map(|id| json!({"id": id, "object": "model", "created": 0, "owned_by": "anvilreel"}))
        .collect();
    let list = json!({"object": "list", "data": list}).to_string();
    Ok(json_answer(list.into()))
}

/// An answer in JSON.
pub fn json_answer(body: Bytes) -> Response {
    let mut answer = Response::new(full(body));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// Whether this router takes new work at all.
pub fn check_open(core: &Core) -> Result<(), Refusal> {
    if core.life.is_leaving() {
        return Err(Refusal::new(Reason::Leaving).with_retry_after(super::SOON));
    }
    if !core.following.serves() {
        return Err(Refusal::new(Reason::SettingsStale).with_retry_after(super::SOON));
    }
    Ok(())
}

/// A name for one claim, unique in the fleet.
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
    if text.is_empty() || text.len() > MAX_KEY || !printable {
        let malformed = Reason::Malformed(Malformed::IdempotencyKey);
        return Err(Refusal::new(malformed));
    }
    Ok(text.into())
}

/// Reads a body up to the limit. A caller that leaves before its end gets no answer and pays
/// nothing.
pub async fn read_body(req: &mut Request, limit: u64) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::new(Reason::TooLarge(limit));
    let announced = req.headers().get(header::CONTENT_LENGTH);
    let announced = announced.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    let mut body = std::mem::take(req.body_mut());
    if announced.is_some_and(|bytes| bytes > limit) {
        discard(&mut body).await;
        return Err(too_large());
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(Reason::Cancelled))?;
        if let Ok(data) = frame.into_data() {
            if buf.len() + data.len() > limit {
                drop(buf);
                discard(&mut body).await;
                return Err(too_large());
            }
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}

/// Reads the rest of a refused body and keeps none of it.
///
/// Failure: a connection that is closed while its caller still writes. It would show as a broken
/// pipe in place of the refusal. What is read in vain is bounded in bytes and time.
async fn discard(body: &mut Body) {
    let reading = async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > MOST_DISCARDED {
                return;
            }
        }
    };
    // Past the time the connection is closed all the same.
    let _ = timeout(DISCARD_WITHIN, reading).await;
}

/// Puts the request's id on an answer.
pub fn name_answer(answer: &mut Response, key: &RequestKey) {
    if let Ok(id) = HeaderValue::from_str(&key.id) {
        answer.headers_mut().insert(REQUEST_ID, id);
    }
}
