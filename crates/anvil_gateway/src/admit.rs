//! Admission of requests: identifies the sender, finds the route, reserves tokens.
//!
//! Admission ends before anything is sent to an endpoint, so a request refused here has not run.

use std::sync::Arc;
use std::time::Duration;

use anvil_http::{BodyError, BodyLimits, read_whole};
use anvil_policy::held_prompt::LostAttempt;
use anvil_world::prelude::*;
use anvilreel::money::Shortage;
use bytes::Bytes;
use http::{Request, request};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::accept::client_socket::ClientConnection;
use crate::attempt_counter::AttemptCounter;
use crate::availability;
use crate::dialect::RequestHead;
use crate::exchange::{DEFAULT_RETRY_AFTER, Exchange, RequestRefusal};
use crate::gateway::Gateway;
use crate::metrics;
use crate::reply::{Cause, Reply, refusal};
use crate::request_charge::RequestCharge;
use crate::request_digest;
use crate::send::pacing::retry_elsewhere_after;
use crate::shared_content::{self, SharedContent};
use crate::stage_times::Stage;
use crate::suspects::RequestContents;
use crate::table::{Limits, Organisation, Route, RouteTable};
use crate::trace::Trace;

/// Retry-after time if another gateway may serve the request: at once.
const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(20);
/// Time in which a ledger without a leader elects one and gateways find it.
const LEADER_ELECTION_TIME: Duration = Duration::from_secs(1);

/// Answers one request.
pub async fn handle_request(
    gw: &Arc<Gateway>,
    client: Arc<ClientConnection>,
    req: Request<Incoming>,
) -> Reply {
    let received_at = client.request_started_at();
    let (head, body) = req.into_parts();
    let request = match (gw.cfg.dialect.parse_request)(&head) {
        Ok(request) => request,
        Err(e) => {
            let mut trace = Trace::new(gw.clone(), "unknown".into(), received_at);
            trace.step(format_args!("{e}"));
            trace.record_outcome(Cause::BadHead.text());
            return refusal(Cause::BadHead, None);
        }
    };
    let mut trace = Trace::new(gw.clone(), request.id.clone(), received_at);
    if gw.clients.is_overcommitted() {
        trace.step(format_args!("no memory for the request"));
        trace.record_outcome(Cause::Overloaded.text());
        return refusal(Cause::Overloaded, Some(retry_elsewhere_after()));
    }
    let incoming = IncomingBody {
        body,
        client: &client,
    };
    let admission = admit(gw, head, incoming, request, received_at, &mut trace);
    match gw.refuse_before_close(admission).await {
        Ok(admitted) => {
            let exchange = admitted.into_exchange(gw.clone(), client, trace);
            exchange.run().await
        }
        Err((cause, retry_after)) => {
            trace.record_outcome(cause.text());
            refusal(cause, Some(retry_after))
        }
    }
}

struct Admitted {
    request: RequestHead,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    service: ServiceId,
    tokens_per_event: Tokens,
    deadline: Instant,
    charge: Option<RequestCharge>,
    head: request::Parts,
    body: Bytes,
    request_digest: ContentDigest,
    shared: Vec<SharedContent>,
}

impl Admitted {
    fn into_exchange(
        self,
        gw: Arc<Gateway>,
        client: Arc<ClientConnection>,
        trace: Trace,
    ) -> Exchange {
        let prompt_parts = self.request.model_work.as_ref();
        let prompt_parts =
            prompt_parts.map(|work| work.parts.iter().map(|p| (p.id, p.tokens)).collect());
        let payer_regions = self.organisation.as_ref().map(|payer| &payer.regions);
        let regions = payer_regions.map_or_else(
            || self.route.regions.clone(),
            |payer_regions| self.route.regions.and(payer_regions),
        );
        Exchange {
            gw,
            client,
            regions,
            prompt_parts: prompt_parts.unwrap_or_default(),
            shared: self.shared,
            request: self.request,
            route: self.route,
            organisation: self.organisation,
            service: self.service,
            stream_version: None,
            tokens_per_event: self.tokens_per_event,
            attempt_counter: AttemptCounter::default(),
            deadline: self.deadline,
            charge: self.charge,
            trace,
            in_doubt: false,
            has_waited_for_endpoints: false,
            awaited_connection: None,
            method: self.head.method,
            uri: self.head.uri,
            headers: self.head.headers,
            body: self.body,
            request_digest: self.request_digest,
        }
    }
}

async fn admit(
    gw: &Arc<Gateway>,
    head: request::Parts,
    incoming: IncomingBody<'_>,
    request: RequestHead,
    received_at: Instant,
    trace: &mut Trace,
) -> Result<Admitted, RequestRefusal> {
    trace.stages.enter(Stage::Place);
    let table = wait_for_table(gw, &request, trace).await?;
    trace.stages.enter(Stage::Other);
    let route = find_route(&table, &head).ok_or((Cause::NoRoute, DEFAULT_RETRY_AFTER))?;
    trace.record_route(&route, table.version);
    if request.takes_up() && route.retry_mode.is_stream() {
        let (first, after) = (&request.first_attempt, request.resume_after);
        trace.step(format_args!("takes up {first:?} after {after:?}"));
    }
    let organisation = identify_sender(&table, &route, &request)?;
    if let Some(organisation) = &organisation {
        trace.record_organisation(&organisation.id);
    }
    let deadline = received_at + request.timeout.min(route.timeout);
    if deadline <= Instant::now() {
        return Err((Cause::Expired, DEFAULT_RETRY_AFTER));
    }
    let expected = gw.sockets.link.expect(incoming.body.size_hint().lower());
    trace.stages.enter(Stage::Body);
    let body = read_body(gw, incoming, table.limits, deadline).await?;
    trace.stages.enter(Stage::Other);
    drop(expected);
    // Not before the body is read: closing a connection with unread data resets it, and the refusal
    // could be lost.
    if gw.stop_would_cut(&route, request.max_output(), deadline) {
        trace.step(format_args!("the planned stop leaves too little time"));
        return Err((Cause::Leaving, retry_elsewhere_after()));
    }
    let payer = organisation.as_deref();
    let request_digest = request_digest::digest(payer, &route, &head.method, &head.uri, &body);
    let service = gw
        .pick_service(&route)
        .ok_or((Cause::NoEndpoint, DEFAULT_RETRY_AFTER))?;
    let work = request.model_work.as_ref();
    let shared = shared_content::of_request(&route, payer, &head.uri, work, body.len());
    let contents = RequestContents {
        request: request_digest,
        shared: &shared,
    };
    if let Some(quarantine) = gw.quarantine_at_service(&service, contents) {
        trace.step(format_args!("in quarantine: {quarantine}"));
        return Err((Cause::CrashesEndpoints, quarantine.time_left));
    }
    let engine = table.services.get(&service).and_then(|s| s.engine);
    let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event.max(1));
    trace.stages.enter(Stage::Money);
    let received = gw.lifecycle.now().saturating_sub(received_at.elapsed());
    let terms = ChargeTerms {
        request: &request,
        digest: request_digest,
        deadline,
        received,
        client_deadline: received.saturating_add(request.timeout),
    };
    let charge = reserve(gw, organisation.as_deref(), terms, trace).await?;
    trace.stages.enter(Stage::Other);
    Ok(Admitted {
        request,
        route,
        organisation,
        service,
        tokens_per_event,
        deadline,
        charge,
        head,
        body,
        request_digest,
        shared,
    })
}

/// The routing table. A process that has just started waits for its first one.
async fn wait_for_table(
    gw: &Gateway,
    request: &RequestHead,
    trace: &mut Trace,
) -> Result<Arc<RouteTable>, RequestRefusal> {
    let max_wait = availability::startup_wait(gw.lifecycle.now(), request.timeout);
    let table = availability::wait_until_available(gw, max_wait, || gw.table.load_full()).await;
    if table.is_none() {
        trace.step(format_args!("no routing table"));
    }
    table.ok_or((Cause::NotReady, DEFAULT_RETRY_AFTER))
}

fn find_route(table: &RouteTable, head: &request::Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(http::header::HOST)?.to_str().ok()?;
    let host_name = host
        .rsplit_once(':')
        .map_or(host, |(host_name, _)| host_name);
    table.route(host_name, head.uri.path()).cloned()
}

fn identify_sender(
    table: &RouteTable,
    route: &Route,
    request: &RequestHead,
) -> Result<Option<Arc<Organisation>>, RequestRefusal> {
    let organisation = request
        .bearer_key
        .as_deref()
        .and_then(|key| table.organisation(key));
    if organisation.is_none() && table.requires_keys() && !route.public {
        return Err((Cause::UnknownKey, DEFAULT_RETRY_AFTER));
    }
    Ok(organisation.cloned())
}

/// The body of a request that its client is sending.
struct IncomingBody<'a> {
    body: Incoming,
    client: &'a ClientConnection,
}

async fn read_body(
    gw: &Gateway,
    incoming: IncomingBody<'_>,
    limits: Limits,
    deadline: Instant,
) -> Result<Bytes, RequestRefusal> {
    let IncomingBody { body, client } = incoming;
    let max_bytes = limits.body_bytes;
    // A declared length over the limit is refused without reading the body.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err((Cause::BodyTooLong, DEFAULT_RETRY_AFTER));
    }
    let limits = BodyLimits {
        max_bytes,
        idle_timeout: limits.idle_timeout,
    };
    let widen = || client.widen_receive_buffer();
    let reading = read_whole(body, limits, &gw.request_bodies, widen);
    let read = timeout_at(deadline, reading).await;
    let cause = match read {
        Ok(Ok(body)) => return Ok(body),
        Err(_) | Ok(Err(BodyError::Stalled)) => Cause::BodyTimeout,
        Ok(Err(BodyError::TooLong)) => Cause::BodyTooLong,
        Ok(Err(BodyError::NoRoom)) => Cause::Overloaded,
        Ok(Err(BodyError::Broken)) => Cause::BadHead,
    };
    Err((cause, DEFAULT_RETRY_AFTER))
}

/// What a charge is for.
#[derive(Clone, Copy)]
struct ChargeTerms<'a> {
    request: &'a RequestHead,
    /// Equal for requests that count as the same one.
    digest: ContentDigest,
    deadline: Instant,
    received: Now,
    /// When the client gives up, whatever the route allows.
    client_deadline: Now,
}

/// Reserves the most that the request can cost.
async fn reserve(
    gw: &Arc<Gateway>,
    organisation: Option<&Organisation>,
    terms: ChargeTerms<'_>,
    trace: &mut Trace,
) -> Result<Option<RequestCharge>, RequestRefusal> {
    let Some(organisation) = organisation.filter(|organisation| organisation.is_prepaid) else {
        return Ok(None);
    };
    let ChargeTerms {
        request,
        digest,
        deadline,
        received,
        client_deadline,
    } = terms;
    let Some(work) = &request.model_work else {
        return Ok(None);
    };
    let attempt = LostAttempt {
        request: request_digest::with_work(digest, work),
        prompt: work.prompt,
        received,
        client_deadline,
    };
    let split = Split::single_payer(organisation.id.clone());
    let max_cost = work.prompt.saturating_add(work.max_output);
    let mut give_up_at: Option<Now> = None;
    let wait_started = Instant::now();
    loop {
        let changed = gw.grant_account.changed();
        let shortage = match gw
            .grant_account
            .reserve(gw.lifecycle.now(), &split, max_cost)
        {
            Ok(reservation) => {
                if give_up_at.is_some() {
                    gw.metrics.time(metrics::GRANT_WAIT, wait_started.elapsed());
                }
                let id = request.id.clone();
                let charge = RequestCharge::new(gw.clone(), reservation, id, attempt, deadline);
                return Ok(Some(charge));
            }
            Err(shortage) => shortage,
        };
        let (until, otherwise) = match shortage {
            Shortage::Refused(refusal) => {
                trace.step(format_args!(
                    "no money for {max_cost}: {:?}",
                    refusal.reason
                ));
                return Err(shortage_refusal(gw, &refusal.reason));
            }
            Shortage::WaitFor { until, otherwise } => (until, otherwise),
        };
        let until = *give_up_at.get_or_insert(until);
        let time_left = until.saturating_sub(gw.lifecycle.now());
        gw.grants_wanted.notify_one();
        let wait_until = (Instant::now() + time_left).min(deadline);
        if time_left.is_zero() || timeout_at(wait_until, changed).await.is_err() {
            trace.step(format_args!(
                "money for {max_cost} did not come: {:?}",
                otherwise.reason
            ));
            return Err(match otherwise.reason {
                Reason::BudgetExhausted(_) => (Cause::BudgetBusy, DEFAULT_RETRY_AFTER),
                reason => shortage_refusal(gw, &reason),
            });
        }
    }
}

/// Retry-after time while the ledger does not answer.
///
/// Failure: during a leader election no gateway can obtain grants. Clients that are sent to another
/// gateway at once are refused there too and give up before the election ends. So clients are sent
/// elsewhere only after this gateway has been without an answer for longer than an election takes.
fn unreachable_retry_after(gw: &Gateway) -> Duration {
    if gw.grant_account.unanswered_for(gw.lifecycle.now()) < LEADER_ELECTION_TIME {
        return DEFAULT_RETRY_AFTER;
    }
    gw.mark_starved();
    RETRY_ELSEWHERE_AFTER
}

fn shortage_refusal(gw: &Gateway, reason: &Reason) -> RequestRefusal {
    match reason {
        Reason::BudgetExhausted(_) => (Cause::BudgetExhausted, DEFAULT_RETRY_AFTER),
        Reason::LedgerUnreachable => (Cause::LedgerUnreachable, unreachable_retry_after(gw)),
        _ => (Cause::BudgetBusy, DEFAULT_RETRY_AFTER),
    }
}
