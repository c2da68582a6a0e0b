//! `/services/SERVICE/...`: calls of plain services.

use std::sync::Arc;

use anvil_wire::msg::{Head, Work};
use anvil_world::document::{ServiceDocument, ServiceKind};
use anvil_world::prelude::*;
use bytes::Bytes;
use futures::stream::unfold;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use sha2::{Digest, Sha256};
use tokio::sync::mpsc::Receiver;
use viz::{Body, Request, Response};

use super::front::{authenticate, check_open, claim_id, name_answer, read_body, request_key};
use super::job::{Job, Piece};
use super::refuse;
use super::view::{Team, View};
use super::{Core, flow};

/// Headers that belong to one connection or to the router and are not passed on.
const NOT_PASSED_ON: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The answer broke off before its end.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the answer broke off"))]
struct BrokenOff;

/// Answers a call of a plain service.
pub async fn answer(core: Arc<Core>, mut req: Request) -> Result<Response, Refusal> {
    check_open(&core)?;
    let view = core.following.view.load_full();
    let team = authenticate(&view, req.headers())?;
    let rest = req
        .uri()
        .path_and_query()
        .map_or("", |whole| whole.as_str());
    let rest = rest
        .strip_prefix("/services/")
        .unwrap_or_default()
        .to_owned();
    let split_at = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, tail) = rest.split_at(split_at);
    let (service, document) = service_of(&view, &team, name)?;
    let (key, callers_key) = request_key(&core, &team, req.headers())?;
    let body = read_body(&mut req, view.fleet.max_body).await?;
    let call = Call {
        method: req.method().as_str().into(),
        tail: tail.trim_start_matches('/').into(),
        headers: passed_on(req.headers()),
        body,
    };
    let mut job = call.into_job(
        &view,
        &team,
        (service, &document),
        (key.clone(), callers_key),
    );
    job.claim_id = claim_id(&core);
    let once = job.once;
    let mut answer = relay(once, flow::start(core, job)).await;
    name_answer(&mut answer, &key);
    Ok(answer)
}

fn service_of(
    view: &View,
    team: &Team,
    name: &str,
) -> Result<(ServiceId, Arc<ServiceDocument>), Refusal> {
    let service: ServiceId = name.into();
    let document = view.services.get(&service).cloned();
    let document = document.filter(|document| document.kind == ServiceKind::Plain);
    let unknown = || Refusal::new(Reason::NoEndpoint(service.clone()));
    let document = document.ok_or_else(unknown)?;
    if !team.document.allows_service(name) {
        return Err(Refusal::new(Reason::NotAllowed));
    }
    Ok((service, document))
}

struct Call {
    method: Arc<str>,
    tail: Arc<str>,
    headers: Vec<(Arc<str>, Bytes)>,
    body: Bytes,
}

impl Call {
    fn into_job(
        self,
        view: &View,
        team: &Team,
        (service, document): (ServiceId, &ServiceDocument),
        (key, callers_key): (RequestKey, bool),
    ) -> Job {
        let usage = Usage {
            calls: 1,
            ..Usage::default()
        };
        let timeout = document.timeout.unwrap_or(view.fleet.request_timeout);
        Job {
            key,
            callers_key,
            body: self.hash(&service),
            once: !document.may_repeat(&self.method, &self.tail),
            price: document.price,
            bound: document.price.of(usage),
            service,
            work: Work::Plain {
                method: self.method,
                tail: self.tail,
                headers: self.headers,
                body: self.body,
            },
            ..Job::new(view, team, timeout)
        }
    }

    /// Two calls are the same request only when service, method, path and body are the same.
    fn hash(&self, service: &str) -> BodyHash {
        let mut hasher = Sha256::new();
        for part in [service, &self.method, &self.tail] {
            hasher.update(part.as_bytes());
            hasher.update([0]);
        }
        hasher.update(&self.body);
        hasher.finalize().into()
    }
}

fn passed_on(headers: &HeaderMap) -> Vec<(Arc<str>, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| !NOT_PASSED_ON.contains(&name.as_str()))
        .map(|(name, value)| {
            (
                name.as_str().into(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect()
}

async fn relay(once: bool, mut pieces: Receiver<Piece>) -> Response {
    let mut answer = match pieces.recv().await {
        Some(Piece::Head(head)) => with_head(&head),
        Some(Piece::Refused(refusal)) => return refuse::refuse(&refusal),
        Some(Piece::Doubt(doubt)) => return refuse::in_doubt(doubt, once),
        // A run without a head broke an invariant of the sidecar, so nothing is known of it.
        Some(Piece::Bytes(_) | Piece::End { .. }) | None => {
            return refuse::in_doubt(Doubt::EndpointLost, once);
        }
    };
    let body = unfold(Some(pieces), |pieces| async {
        let mut pieces = pieces?;
        match pieces.recv().await {
            Some(Piece::Bytes(bytes)) => Some((Ok(bytes), Some(pieces))),
            Some(Piece::End { .. }) => None,
            // The connection is cut, so that a part never looks like the whole.
            _ => Some((Err(BrokenOff), None)),
        }
    });
    *answer.body_mut() = Body::from_stream(body);
    answer
}

fn with_head(head: &Head) -> Response {
    let mut answer = Response::new(Body::empty());
    let status = StatusCode::from_u16(head.status);
    *answer.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value)
            && !NOT_PASSED_ON.contains(&name.as_str())
        {
            answer.headers_mut().append(name, value);
        }
    }
    answer
}
