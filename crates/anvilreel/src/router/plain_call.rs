//! `/services/SERVICE/...`: calls to plain services.

use std::sync::Arc;

use anvil_wire::msg::{ResponseHead, Work};
use anvil_world::document::{ServiceDocument, ServiceKind};
use anvil_world::prelude::*;
use bytes::Bytes;
use futures::stream::unfold;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use sha2::{Digest, Sha256};
use tokio::sync::mpsc::Receiver;
use viz::{Body, Request, Response};

use super::errors;
use super::job::{AnswerPart, Job};
use super::routes::{
    authenticate, check_accepting, claim_id, read_body, request_key, set_request_id,
};
use super::view::{Team, View};
use super::{Core, request_task};

/// Headers that concern one connection or the router itself; they are not forwarded.
const HOP_BY_HOP_HEADERS: &[&str] = &[
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

/// The answer ended before it was complete.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("incomplete answer: the run ended early"))]
struct IncompleteAnswer;

/// Answers a call to a plain service.
pub async fn handle(core: Arc<Core>, mut req: Request) -> Result<Response, Refusal> {
    check_accepting(&core)?;
    let view = core.view_state.view.load_full();
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
    let (service, document) = find_service(&view, &team, name)?;
    let (key, has_caller_key) = request_key(&core, &team, req.headers())?;
    let body = read_body(&core, &mut req, &view.fleet).await?;
    let call = PlainCall {
        method: req.method().as_str().into(),
        tail: tail.trim_start_matches('/').into(),
        headers: end_to_end_headers(req.headers()),
        body,
    };
    let mut job = call.into_job(
        &view,
        &team,
        (service, &document),
        (key.clone(), has_caller_key),
    );
    job.claim_id = claim_id(&core);
    let once = job.at_most_once;
    let mut response = respond(once, request_task::start(core, job)).await;
    set_request_id(&mut response, &key);
    Ok(response)
}

fn find_service(
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

struct PlainCall {
    method: Arc<str>,
    tail: Arc<str>,
    headers: Vec<(Arc<str>, Bytes)>,
    body: Bytes,
}

impl PlainCall {
    fn into_job(
        self,
        view: &View,
        team: &Team,
        (service, document): (ServiceId, &ServiceDocument),
        (key, has_caller_key): (RequestKey, bool),
    ) -> Job {
        let usage = Usage {
            calls: 1,
            ..Usage::default()
        };
        let timeout = document.timeout.unwrap_or(view.fleet.request_timeout);
        Job {
            key,
            has_caller_key,
            body_hash: self.hash(&service),
            at_most_once: !document.may_repeat(&self.method, &self.tail),
            price: document.price,
            bound: document.price.cost(usage),
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

    /// Two calls are the same request only if service, method, path and body are all the same.
    fn hash(&self, service: &str) -> BodyHash {
        let mut hasher = Sha256::new();
        for answer_part in [service, &self.method, &self.tail] {
            hasher.update(answer_part.as_bytes());
            hasher.update([0]);
        }
        hasher.update(&self.body);
        hasher.finalize().into()
    }
}

fn end_to_end_headers(headers: &HeaderMap) -> Vec<(Arc<str>, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| {
            (
                name.as_str().into(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect()
}

async fn respond(once: bool, mut answer_parts: Receiver<AnswerPart>) -> Response {
    let mut response = match answer_parts.recv().await {
        Some(AnswerPart::Head(head)) => response_with_head(&head),
        Some(AnswerPart::Refused(refusal)) => return errors::refusal_response(&refusal),
        Some(AnswerPart::Doubt(doubt)) => return errors::unknown_response(doubt, once),
        // A run without a head violates an invariant of the sidecar, so its outcome is not known.
        Some(AnswerPart::Bytes(_) | AnswerPart::End { .. }) | None => {
            return errors::unknown_response(UnknownCause::EndpointLost, once);
        }
    };
    let body = unfold(Some(answer_parts), |answer_parts| async {
        let mut answer_parts = answer_parts?;
        match answer_parts.recv().await {
            Some(AnswerPart::Bytes(bytes)) => Some((Ok(bytes), Some(answer_parts))),
            Some(AnswerPart::End { .. }) => None,
            // The connection is cut, so that a partial answer never looks complete.
            _ => Some((Err(IncompleteAnswer), None)),
        }
    });
    *response.body_mut() = Body::from_stream(body);
    response
}

fn response_with_head(head: &ResponseHead) -> Response {
    let mut response = Response::new(Body::empty());
    let status = StatusCode::from_u16(head.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value)
            && !HOP_BY_HOP_HEADERS.contains(&name.as_str())
        {
            response.headers_mut().append(name, value);
        }
    }
    response
}
