//! One request sent to one endpoint, and what can be said of it afterwards.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::time::{Instant, timeout_at};

use crate::connection_watch::ConnectionWatch;
use crate::dialect::AnswerHead;
use crate::endpoint::{Endpoint, Place};
use crate::gateway::Gateway;
use crate::pool::Connection;

/// Why nothing has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRun {
    /// No connection could be made.
    Unreachable(String),
    /// The endpoint said so: it is full, leaving, or another life has its address.
    Refused(u16),
}

/// Status by which the address of an endpoint that is gone says that another one has it.
pub const ANOTHER_HAS_IT: u16 = 421;

/// Why nobody can say whether it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The connection was lost after bytes had left.
    Lost,
    /// No answer came in time.
    Silent,
    /// The answer belongs to another request.
    Misfit,
    /// What came is not the endpoint's whole answer.
    Spoiled,
}

/// An answer whose body is still to come.
pub struct Answer {
    /// Status and headers as the endpoint sent them.
    pub parts: response::Parts,
    /// What the head tells.
    pub head: AnswerHead,
    /// The body.
    pub body: Incoming,
    /// The connection, to be put back once the body has ended well.
    pub sender: SendRequest<Full<Bytes>>,
    /// What is known of the connection.
    pub watch: Arc<ConnectionWatch>,
    /// The place that the request holds.
    pub place: Place,
}

impl Answer {
    /// The body has ended well: the connection may carry the next request.
    pub fn put_back(
        sender: SendRequest<Full<Bytes>>,
        watch: Arc<ConnectionWatch>,
        endpoint: &Endpoint,
        head: &AnswerHead,
    ) {
        endpoint.pool.put(sender, watch, head.keeps);
    }
}

/// What came of one try.
pub enum Tried {
    /// It did not run there and never will.
    NotRun(NotRun),
    /// It may have run.
    Doubt(Doubt),
    /// An answer begins.
    Answer(Box<Answer>),
}

/// What is sent.
pub struct Outgoing<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub uri: &'a Uri,
    /// Headers for this endpoint.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Id that the answer must bear.
    pub id: &'a str,
    /// No answer is waited for after this.
    pub until: Instant,
    /// Where to note the connection on which it is sent.
    pub watch: &'a mut Option<Arc<ConnectionWatch>>,
}

/// Sends one request to the endpoint at whose place it is, and waits for the answer's head.
pub async fn send(gw: &Gateway, place: Place, out: Outgoing<'_>) -> Tried {
    let endpoint = place.endpoint.clone();
    let mut fresh = false;
    loop {
        let taking = async {
            if fresh {
                endpoint.pool.connect().await
            } else {
                endpoint.pool.take().await
            }
        };
        let Ok(taken) = timeout_at(out.until, taking).await else {
            return Tried::NotRun(NotRun::Unreachable("no time left to connect".into()));
        };
        let mut connection = match taken {
            Ok(connection) => connection,
            Err(e) => return Tried::NotRun(NotRun::Unreachable(e.to_string())),
        };
        connection.watch.sent();
        let sent = gw.life.now();
        *out.watch = Some(connection.watch.clone());
        let sending = connection.sender.try_send_request(request(&out));
        let answer = match timeout_at(out.until, sending).await {
            Err(_) => return Tried::Doubt(Doubt::Silent),
            Ok(Ok(answer)) => answer,
            Ok(Err(mut e)) => {
                // Given back whole: not a byte of it has left, so a new connection may carry it.
                let unsent = e.take_message().is_some();
                if unsent && connection.used && !fresh {
                    fresh = true;
                    continue;
                }
                if unsent {
                    return Tried::NotRun(NotRun::Unreachable(e.into_error().to_string()));
                }
                return Tried::Doubt(Doubt::Lost);
            }
        };
        connection.watch.answered();
        let (parts, body) = answer.into_parts();
        let head = (gw.cfg.dialect.answer)(parts.status, &parts.headers);
        // Failure: an endpoint sends a second answer, late, where the next request's answer is
        // due. Only the id tells them apart; taken for the answer, it reaches another caller.
        if head.id.as_deref().is_some_and(|id| id != out.id) {
            return Tried::Doubt(Doubt::Misfit);
        }
        gw.limit_heard(&endpoint, sent, head.limit);
        if head.not_run {
            let status = parts.status.as_u16();
            finish(connection, &endpoint, &head, body).await;
            return Tried::NotRun(NotRun::Refused(status));
        }
        let sound = head.sealed && !head.encoded && head.id.is_some();
        if parts.status.is_success() && !sound {
            return Tried::Doubt(Doubt::Spoiled);
        }
        return Tried::Answer(Box::new(Answer {
            parts,
            head,
            body,
            sender: connection.sender,
            watch: connection.watch,
            place,
        }));
    }
}

fn request(out: &Outgoing<'_>) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(out.body.clone()));
    *req.method_mut() = out.method.clone();
    *req.uri_mut() = out.uri.clone();
    *req.headers_mut() = out.headers.clone();
    req
}

/// Longest wait for the rest of a refusal whose connection would be kept.
const REFUSAL_REST: Duration = Duration::from_millis(20);
/// Longest body of a refusal that is read, in bytes.
const REFUSAL_BYTES: usize = 4_096;

/// Reads the rest of a refusal, so that its connection can be used again.
async fn finish(connection: Connection, endpoint: &Endpoint, head: &AnswerHead, body: Incoming) {
    use http_body_util::{BodyExt, Limited};
    let reading = Limited::new(body, REFUSAL_BYTES).collect();
    let until = Instant::now() + REFUSAL_REST;
    if let Ok(Ok(_)) = timeout_at(until, reading).await {
        Answer::put_back(connection.sender, connection.watch, endpoint, head);
    }
}
