//! One attempt: a request sent to one endpoint, and whether it ran there.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::time::{Instant, timeout_at};

use crate::accept::client_socket::ClientConnection;
use crate::connection_watch::ConnectionWatch;
use crate::dialect::ResponseHead;
use crate::endpoint::{Endpoint, EndpointSlot};
use crate::gateway::Gateway;
use crate::late_response::LateHandler;
use crate::pool::{ConnectError, Connection};
use crate::reply::Cause;
use crate::send::new_connection::{open_connection, take_connection};
use crate::stage_times::{Stage, StageTimes};
use crate::suspects::RequestContents;

/// Why a request has not run at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRun {
    /// No connection could be made, or nothing was sent on it.
    Unreachable(String),
    /// The endpoint said so: it is full, leaving, or another incarnation has its address.
    Refused(u16),
    /// Nothing was sent, because the endpoint no longer accepts requests.
    NotAccepting,
    /// Nothing was sent, for a reason that another endpoint doesn't change.
    Withheld(Cause),
}

/// Status that an endpoint returns if the request names another incarnation: 421 Misdirected
/// Request.
pub const MISDIRECTED_STATUS: u16 = 421;

/// Why it is unknown whether a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The connection was lost after part of the request was sent.
    Lost,
    /// No response came in time.
    Silent,
    /// The response belongs to another request.
    Misfit,
    /// The response is not the endpoint's complete, signed response.
    Spoiled,
}

/// A response whose body has not been read yet.
pub struct EndpointResponse {
    /// Status and headers as the endpoint sent them.
    pub parts: response::Parts,
    /// The parsed response head.
    pub head: ResponseHead,
    /// The body.
    pub body: Incoming,
    /// The connection, to be returned to the pool after the complete body.
    pub sender: SendRequest<Full<Bytes>>,
    /// What was observed on the connection.
    pub watch: Arc<ConnectionWatch>,
    /// The slot that the request holds.
    pub slot: EndpointSlot,
}

impl EndpointResponse {
    /// Returns the connection to the pool; the body must have been read to its end.
    pub fn release_connection(
        sender: SendRequest<Full<Bytes>>,
        watch: Arc<ConnectionWatch>,
        endpoint: &Endpoint,
        head: &ResponseHead,
    ) {
        endpoint.pool.put(sender, watch, head.idle_timeout);
    }
}

/// Outcome of one attempt.
pub enum AttemptOutcome {
    /// The request did not run there and never will.
    NotRun(NotRun),
    /// The request may have run.
    Doubt(Doubt),
    /// A response has begun.
    Response(Box<EndpointResponse>),
}

/// What is sent to an endpoint.
pub struct OutgoingRequest<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub uri: &'a Uri,
    /// Headers for this endpoint.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Id that the response must carry.
    pub id: &'a str,
    /// What it consists of.
    pub contents: RequestContents<'a>,
    /// The response head is awaited until then.
    pub response_deadline: Instant,
    /// The request fails if it has no response by then.
    pub deadline: Instant,
    /// The connection of its client; `None` if it has none to check.
    pub client: Option<&'a ClientConnection>,
    /// Set to the connection on which the request is sent.
    pub watch: &'a mut Option<Arc<ConnectionWatch>>,
    /// Receives the time that connecting and sending take.
    pub stages: &'a mut StageTimes,
}

/// Sends one request to the endpoint of `slot` and waits for the response head.
pub async fn send(
    gw: &Arc<Gateway>,
    mut slot: EndpointSlot,
    outgoing: OutgoingRequest<'_>,
) -> AttemptOutcome {
    let endpoint = slot.endpoint.clone();
    let mut force_new = false;
    loop {
        outgoing.stages.enter(Stage::Connect);
        let connecting = async {
            if force_new {
                open_connection(gw, &endpoint).await
            } else {
                take_connection(gw, &endpoint).await
            }
        };
        let Ok(connected) = timeout_at(outgoing.response_deadline, connecting).await else {
            return AttemptOutcome::NotRun(NotRun::Unreachable("no time left to connect".into()));
        };
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(ConnectError::NoDescriptor) => {
                return AttemptOutcome::NotRun(NotRun::Withheld(Cause::NoDescriptors));
            }
            Err(e) => {
                gw.record_unreachable(&endpoint);
                return AttemptOutcome::NotRun(NotRun::Unreachable(e.to_string()));
            }
        };
        if let Some(reason) = reason_not_to_send(gw, &endpoint, &outgoing) {
            if !connection.reused {
                endpoint.pool.put(connection.sender, connection.watch, None);
            }
            return AttemptOutcome::NotRun(reason);
        }
        let handler = late_handler(gw, &endpoint, outgoing.id);
        connection.watch.request_sent(handler);
        let sent_at = gw.lifecycle.now();
        slot.request_sent(sent_at);
        *outgoing.watch = Some(connection.watch.clone());
        let sending = connection.sender.try_send_request(build_request(&outgoing));
        let sent = timeout_at(outgoing.response_deadline, sending).await;
        if let Some(sent_at) = connection.watch.sent_at() {
            outgoing.stages.enter_at(Stage::Response, sent_at);
        }
        let response = match sent {
            Err(_) => return AttemptOutcome::Doubt(Doubt::Silent),
            Ok(Ok(response)) => response,
            Ok(Err(mut e)) => {
                // The request came back unsent, so it may be sent on a new connection.
                let unsent = e.take_message().is_some();
                if unsent && connection.reused && !force_new {
                    force_new = true;
                    continue;
                }
                if unsent {
                    return AttemptOutcome::NotRun(NotRun::Unreachable(e.into_error().to_string()));
                }
                return AttemptOutcome::Doubt(Doubt::Lost);
            }
        };
        connection.watch.response_started();
        let (parts, body) = response.into_parts();
        let head = (gw.cfg.dialect.parse_response)(parts.status, &parts.headers);
        gw.apply_notice(&endpoint, outgoing.id, parts.status, head.notice);
        // Failure: an endpoint sends a second, late response on the connection, and it is taken for
        // the response to the next request, from another client. Only the id tells them apart.
        if head.id.as_deref().is_some_and(|id| id != outgoing.id) {
            return AttemptOutcome::Doubt(Doubt::Misfit);
        }
        gw.apply_announced_limit(&endpoint, sent_at, head.limit);
        // A 421 states the load of another incarnation.
        if let Some(load) = head.load.filter(|_| parts.status != MISDIRECTED_STATUS) {
            endpoint.apply_load(gw.lifecycle.now(), &load);
        }
        if head.not_run {
            let status = parts.status.as_u16();
            drain_refusal(connection, &endpoint, &head, body).await;
            return AttemptOutcome::NotRun(NotRun::Refused(status));
        }
        let is_complete_head = head.signed && !head.unexpected_encoding && head.id.is_some();
        if parts.status.is_success() && !is_complete_head {
            return AttemptOutcome::Doubt(Doubt::Spoiled);
        }
        return AttemptOutcome::Response(Box::new(EndpointResponse {
            parts,
            head,
            body,
            sender: connection.sender,
            watch: connection.watch,
            slot,
        }));
    }
}

/// Why a request is not sent although a connection to its endpoint exists.
fn reason_not_to_send(
    gw: &Gateway,
    endpoint: &Endpoint,
    outgoing: &OutgoingRequest<'_>,
) -> Option<NotRun> {
    // Since it was selected, the endpoint may have asked for a pause, and others may have crashed
    // under the same content.
    let quarantine = gw.quarantine_at(endpoint.content_scope, outgoing.contents);
    if !endpoint.accepts_requests(gw.lifecycle.now()) || quarantine.is_some() {
        return Some(NotRun::NotAccepting);
    }
    if outgoing.deadline <= Instant::now() {
        return Some(NotRun::Withheld(Cause::Expired));
    }
    let client_left = outgoing.client.is_some_and(ClientConnection::is_closed);
    client_left.then_some(NotRun::Withheld(Cause::ClientLeft))
}

/// Applies what a response states about its endpoint if nobody waits for it any more.
fn late_handler(gw: &Arc<Gateway>, endpoint: &Arc<Endpoint>, id: &str) -> LateHandler {
    let (gw, endpoint, id) = (gw.clone(), endpoint.clone(), String::from(id));
    Box::new(move |status, headers| {
        let head = (gw.cfg.dialect.parse_response)(status, headers);
        gw.apply_notice(&endpoint, &id, status, head.notice);
        head.not_run && head.id.is_none_or(|answered| *answered == *id)
    })
}

fn build_request(outgoing: &OutgoingRequest<'_>) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(outgoing.body.clone()));
    *req.method_mut() = outgoing.method.clone();
    *req.uri_mut() = outgoing.uri.clone();
    *req.headers_mut() = outgoing.headers.clone();
    req
}

/// Longest wait for the rest of a refusal before its connection is dropped.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 4_096;

/// Reads the rest of a refusal, so that its connection can be reused.
async fn drain_refusal(
    connection: Connection,
    endpoint: &Endpoint,
    head: &ResponseHead,
    body: Incoming,
) {
    use http_body_util::{BodyExt, Limited};
    let reading = Limited::new(body, MAX_REFUSAL_BYTES).collect();
    let deadline = Instant::now() + REFUSAL_READ_TIMEOUT;
    if let Ok(Ok(_)) = timeout_at(deadline, reading).await {
        EndpointResponse::release_connection(connection.sender, connection.watch, endpoint, head);
    }
}
