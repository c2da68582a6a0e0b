//! One attempt: a request sent to one endpoint, and whether it ran there.
//!
//! [`send`] hands the request to a connection. Its caller waits for the head with
//! [`SentRequest::head`], and may stop waiting at any time: dropping the request closes its connection.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::prelude::*;
use bytes::Bytes;
use http::{Request, Response, response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
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

/// A request as it is sent to an endpoint.
pub type WholeRequest = Request<Full<Bytes>>;

/// What is sent to an endpoint.
pub struct OutgoingRequest<'a> {
    /// The request with the headers for this endpoint.
    pub request: WholeRequest,
    /// Id that the response must carry.
    pub id: &'a str,
    /// What it consists of.
    pub contents: RequestContents<'a>,
    /// A connection to the endpoint, if there is one already.
    pub connection: Option<Connection>,
    /// Whether idle connections are not used.
    pub on_new_connection: bool,
    /// Until then a connection must have been made.
    pub connect_deadline: Instant,
    /// The request fails if it has no response by then.
    pub deadline: Instant,
    /// The connection of its client; `None` if it has none to check.
    pub client: Option<&'a ClientConnection>,
    /// Set to the connection on which the request is sent.
    pub watch: &'a mut Option<Arc<ConnectionWatch>>,
    /// Receives the time that connecting takes.
    pub stages: &'a mut StageTimes,
}

/// What has come in place of a response head, or the head.
pub type ReceivedHead = Result<Response<Incoming>, TrySendError<WholeRequest>>;

/// A request that a connection has taken, and whose response head has not been read.
pub struct SentRequest {
    slot: EndpointSlot,
    connection: Connection,
    id: AttemptId,
    sent_at: Now,
    receiving: Pin<Box<dyn Future<Output = ReceivedHead> + Send>>,
}

/// What has become of a sent request.
pub enum SendOutcome {
    /// The attempt has ended.
    Ended(AttemptOutcome),
    /// The endpoint had closed the idle connection. The request may be sent on a new one.
    Unsent(Box<UnsentRequest>),
}

/// A request that came back from its connection unsent.
pub struct UnsentRequest {
    /// The slot that it holds.
    pub slot: EndpointSlot,
    /// The request.
    pub request: WholeRequest,
}

/// Sends one request to the endpoint of `slot`.
pub async fn send(
    gw: &Arc<Gateway>,
    mut slot: EndpointSlot,
    mut outgoing: OutgoingRequest<'_>,
) -> Result<SentRequest, NotRun> {
    let endpoint = slot.endpoint.clone();
    outgoing.stages.enter(Stage::Connect);
    let made = outgoing.connection.take();
    let connecting = async {
        if let Some(made) = made {
            Ok(made)
        } else if outgoing.on_new_connection {
            open_connection(gw, &endpoint).await
        } else {
            take_connection(gw, &endpoint).await
        }
    };
    let Ok(connected) = timeout_at(outgoing.connect_deadline, connecting).await else {
        return Err(NotRun::Unreachable("no time left to connect".into()));
    };
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(ConnectError::NoDescriptor) => return Err(NotRun::Withheld(Cause::NoDescriptors)),
        Err(e) => {
            gw.record_unreachable(&endpoint);
            return Err(NotRun::Unreachable(e.to_string()));
        }
    };
    if let Some(reason) = reason_not_to_send(gw, &endpoint, &outgoing) {
        if !connection.reused {
            endpoint.pool.put(connection.sender, connection.watch, None);
        }
        return Err(reason);
    }
    let id = AttemptId::from(outgoing.id);
    let handler = late_handler(gw, &endpoint, id.clone());
    connection.watch.request_sent(handler);
    let sent_at = gw.lifecycle.now();
    slot.request_sent(sent_at);
    *outgoing.watch = Some(connection.watch.clone());
    let receiving = Box::pin(connection.sender.try_send_request(outgoing.request));
    Ok(SentRequest {
        slot,
        connection,
        id,
        sent_at,
        receiving,
    })
}

impl SentRequest {
    /// When the last part of the request was written; `None` if nothing was.
    pub fn written_at(&self) -> Option<Instant> {
        self.connection.watch.sent_at()
    }

    /// Waits for the response head. The wait may be cancelled and taken up again.
    pub async fn head(&mut self) -> ReceivedHead {
        self.receiving.as_mut().await
    }

    /// What the head says about the attempt.
    pub async fn outcome(self, gw: &Arc<Gateway>, head: ReceivedHead) -> SendOutcome {
        let response = match head {
            Ok(response) => response,
            Err(mut e) => match e.take_message() {
                Some(request) if self.connection.reused => {
                    let slot = self.slot;
                    return SendOutcome::Unsent(Box::new(UnsentRequest { slot, request }));
                }
                Some(_) => {
                    let reason = NotRun::Unreachable(e.into_error().to_string());
                    return SendOutcome::Ended(AttemptOutcome::NotRun(reason));
                }
                None => return SendOutcome::Ended(AttemptOutcome::Doubt(Doubt::Lost)),
            },
        };
        SendOutcome::Ended(self.responded(gw, response).await)
    }

    async fn responded(self, gw: &Arc<Gateway>, response: Response<Incoming>) -> AttemptOutcome {
        let Self {
            slot,
            connection,
            id,
            sent_at,
            ..
        } = self;
        let endpoint = &slot.endpoint;
        connection.watch.response_started();
        let (parts, body) = response.into_parts();
        let head = (gw.cfg.dialect.parse_response)(parts.status, &parts.headers);
        gw.apply_notice(endpoint, &id, parts.status, head.notice);
        // Failure: an endpoint sends a second, late response on the connection, and it is taken for
        // the response to the next request, from another client. Only the id tells them apart.
        if head.id.as_deref().is_some_and(|answered| *answered != *id) {
            return AttemptOutcome::Doubt(Doubt::Misfit);
        }
        gw.apply_announced_limit(endpoint, sent_at, head.limit);
        // A 421 states the load of another incarnation.
        if let Some(load) = head.load.filter(|_| parts.status != MISDIRECTED_STATUS) {
            endpoint.apply_load(gw.lifecycle.now(), &load);
        }
        if head.not_run {
            let status = parts.status.as_u16();
            drain_refusal(connection, endpoint, &head, body).await;
            return AttemptOutcome::NotRun(NotRun::Refused(status));
        }
        let is_complete_head = head.signed && !head.unexpected_encoding && head.id.is_some();
        if parts.status.is_success() && !is_complete_head {
            return AttemptOutcome::Doubt(Doubt::Spoiled);
        }
        AttemptOutcome::Response(Box::new(EndpointResponse {
            parts,
            head,
            body,
            sender: connection.sender,
            watch: connection.watch,
            slot,
        }))
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
fn late_handler(gw: &Arc<Gateway>, endpoint: &Arc<Endpoint>, id: AttemptId) -> LateHandler {
    let (gw, endpoint) = (gw.clone(), endpoint.clone());
    Box::new(move |status, headers| {
        let head = (gw.cfg.dialect.parse_response)(status, headers);
        gw.apply_notice(&endpoint, &id, status, head.notice);
        head.not_run && head.id.is_none_or(|answered| *answered == *id)
    })
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
