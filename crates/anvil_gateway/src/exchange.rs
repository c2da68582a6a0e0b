//! One request's way: from its head to its answer's end.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::engine::Prompt;
use anvil_world::prelude::*;
use anvilreel::event;
use anvilreel::money::Shortage;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{Answer, Doubt, NotRun, Outgoing, Tried, send};
use crate::choose::Unplaced;
use crate::dialect::{Ask, Onward};
use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::line::Line;
use crate::log_events as events;
use crate::metrics;
use crate::money::Spend;
use crate::relay::Relay;
use crate::reply::{Cause, ONE_CONNECTION, Reply, refusal, whole};
use crate::table::{Organisation, Repeat, Route, RouteTable};
use crate::trace::Trace;

/// Longest body of a plain answer that is kept whole before it is passed on, in bytes. It must
/// have ended well before the client sees any of it, so that a broken one can be asked for again.
const WHOLE_ANSWER: usize = 4 << 20;
/// Rank of a request when its organisation and its route leave more urgent ones room.
const LOWEST_CLASS: u8 = 9;
/// Part of the time left within which a first token must be expected for a request to be sent.
const SENT_WITHIN: f64 = 0.8;
/// When to come back to a process or service that is not there now.
const SOON: Duration = Duration::from_millis(300);
/// When to come back where another gateway may serve the request: at once.
const ELSEWHERE: Duration = Duration::from_millis(20);
/// Bounds of the time to come back after an overload.
const OVERLOAD: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// One request, as it is sent to endpoints.
pub struct Exchange {
    /// What all requests share.
    pub gw: Arc<Gateway>,
    /// Its head.
    pub ask: Ask,
    /// Its route.
    pub route: Arc<Route>,
    /// Who sends it.
    pub organisation: Option<Arc<Organisation>>,
    /// The service drawn for it.
    pub service: ServiceId,
    /// Tokens of output in one event, at most.
    pub per_event: Tokens,
    /// Endpoints that it was sent to.
    pub tried: Vec<InstanceId>,
    /// No answer is waited for after this.
    pub deadline: Instant,
    /// What it costs.
    pub spend: Option<Spend>,
    /// What is logged of it.
    pub trace: Trace,
    /// Whether an endpoint may have run it.
    pub in_doubt: bool,
    /// The connection on which it waits for an answer to begin.
    waits_on: Option<Arc<Line>>,
    parts: Vec<(u64, Tokens)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// Answers one request.
pub async fn answer(gw: &Arc<Gateway>, req: Request<Incoming>) -> Reply {
    let begun = Instant::now();
    let (parts, body) = req.into_parts();
    let ask = match (gw.cfg.dialect.ask)(&parts) {
        Ok(ask) => ask,
        Err(e) => {
            let mut trace = Trace::new(gw.clone(), "unknown".into(), begun);
            trace.step(format_args!("{e}"));
            trace.ended(Cause::BadHead.text());
            return refusal(Cause::BadHead, None);
        }
    };
    let mut trace = Trace::new(gw.clone(), ask.id.clone(), begun);
    match admit(gw, parts, body, ask, begun, &mut trace).await {
        Ok(admitted) => admitted.into_exchange(gw.clone(), trace).run().await,
        Err((cause, again)) => {
            trace.ended(cause.text());
            refusal(cause, Some(again))
        }
    }
}

/// A cause, and when to come back where that helps.
type Refused = (Cause, Duration);

struct Admitted {
    ask: Ask,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    service: ServiceId,
    per_event: Tokens,
    deadline: Instant,
    spend: Option<Spend>,
    head: request::Parts,
    body: Bytes,
}

impl Admitted {
    fn into_exchange(self, gw: Arc<Gateway>, trace: Trace) -> Exchange {
        let parts = self.ask.work.as_ref();
        let parts = parts.map(|work| work.parts.iter().map(|p| (p.id, p.tokens)).collect());
        Exchange {
            gw,
            parts: parts.unwrap_or_default(),
            ask: self.ask,
            route: self.route,
            organisation: self.organisation,
            service: self.service,
            per_event: self.per_event,
            tried: Vec::new(),
            deadline: self.deadline,
            spend: self.spend,
            trace,
            in_doubt: false,
            waits_on: None,
            method: self.head.method,
            uri: self.head.uri,
            headers: self.head.headers,
            body: self.body,
        }
    }
}

async fn admit(
    gw: &Arc<Gateway>,
    head: request::Parts,
    body: Incoming,
    ask: Ask,
    begun: Instant,
    trace: &mut Trace,
) -> Result<Admitted, Refused> {
    let table = gw.table.load_full().ok_or((Cause::NotReady, SOON))?;
    let route = route_of(&table, &head).ok_or((Cause::NoRoute, SOON))?;
    trace.routed(&route.name, table.version);
    let organisation = sender(&table, &route, &ask)?;
    if let Some(organisation) = &organisation {
        trace.sent_by(&organisation.id);
    }
    let deadline = begun + ask.patience.min(route.timeout);
    let body = read_body(body, table.limits.body_bytes, deadline).await?;
    let service = gw.draw_service(&route).ok_or((Cause::NoEndpoint, SOON))?;
    let engine = table.services.get(&service).and_then(|s| s.engine);
    let per_event = engine.map_or(1, |engine| engine.tokens_per_event.max(1));
    let spend = reserve(gw, organisation.as_deref(), &ask, deadline, trace).await?;
    Ok(Admitted {
        ask,
        route,
        organisation,
        service,
        per_event,
        deadline,
        spend,
        head,
        body,
    })
}

fn route_of(table: &RouteTable, head: &request::Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(http::header::HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    table.route(name, head.uri.path()).cloned()
}

fn sender(
    table: &RouteTable,
    route: &Route,
    ask: &Ask,
) -> Result<Option<Arc<Organisation>>, Refused> {
    let known = ask.key.as_deref().and_then(|key| table.organisation(key));
    if known.is_none() && table.asks_for_keys() && !route.public {
        return Err((Cause::UnknownKey, SOON));
    }
    Ok(known.cloned())
}

async fn read_body(body: Incoming, most: usize, until: Instant) -> Result<Bytes, Refused> {
    // What is announced as too long is not waited for.
    if body.size_hint().lower() > most as u64 {
        return Err((Cause::BodyTooLong, SOON));
    }
    let reading = Limited::new(body, most).collect();
    match timeout_at(until, reading).await {
        Err(_) => Err((Cause::BodyLate, SOON)),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err((Cause::BodyTooLong, SOON)),
        Ok(Err(_)) => Err((Cause::BadHead, SOON)),
    }
}

/// Sets aside what the request costs at its most.
async fn reserve(
    gw: &Arc<Gateway>,
    organisation: Option<&Organisation>,
    ask: &Ask,
    deadline: Instant,
    trace: &mut Trace,
) -> Result<Option<Spend>, Refused> {
    let Some(organisation) = organisation.filter(|organisation| organisation.prepaid) else {
        return Ok(None);
    };
    let Some(work) = &ask.work else {
        return Ok(None);
    };
    let split = Split::whole(organisation.id.clone());
    let bound = work.prompt.saturating_add(work.most_output);
    let mut give_up: Option<Now> = None;
    let asked = Instant::now();
    loop {
        let changed = gw.purse.changed();
        let shortage = match gw.purse.reserve(gw.life.now(), &split, bound) {
            Ok(reservation) => {
                if give_up.is_some() {
                    gw.metrics.time(metrics::MONEY_WAIT, asked.elapsed());
                }
                let spend = Spend::new(gw.purse.clone(), reservation, work.prompt);
                return Ok(Some(spend));
            }
            Err(shortage) => shortage,
        };
        let (until, otherwise) = match shortage {
            Shortage::Refused(refusal) => {
                trace.step(format_args!("no money: {:?}", refusal.reason));
                return Err(broke(gw, &refusal.reason));
            }
            Shortage::WaitFor { until, otherwise } => (until, otherwise),
        };
        let until = *give_up.get_or_insert(until);
        let left = until.saturating_sub(gw.life.now());
        gw.money_wanted.notify_one();
        let ends = (Instant::now() + left).min(deadline);
        if left.is_zero() || timeout_at(ends, changed).await.is_err() {
            trace.step(format_args!("money did not come: {:?}", otherwise.reason));
            return Err(match otherwise.reason {
                Reason::BudgetExhausted(_) => (Cause::BudgetBusy, SOON),
                reason => broke(gw, &reason),
            });
        }
    }
}

fn broke(gw: &Gateway, reason: &Reason) -> Refused {
    match reason {
        Reason::BudgetExhausted(_) => (Cause::BudgetExhausted, SOON),
        Reason::LedgerUnreachable => {
            gw.starve();
            (Cause::LedgerUnreachable, ELSEWHERE)
        }
        _ => (Cause::BudgetBusy, SOON),
    }
}

impl Exchange {
    /// Sends the request to endpoints until one answers.
    async fn run(mut self) -> Reply {
        self.gw.first_try(&self.service);
        match self.first_answer(None).await {
            Ok(answer) if self.route.repeat.is_stream() && answer.parts.status.is_success() => {
                Relay::begin(self, *answer).await
            }
            Ok(answer) => self.whole_answer(*answer).await,
            Err(refused) => self.refuse(refused),
        }
    }

    /// Ends the request without an answer.
    pub fn refuse(mut self, (cause, again): Refused) -> Reply {
        self.trace.ended(cause.text());
        refusal(cause, Some(again))
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Tries endpoints until one begins to answer. `after` is the last event that was delivered.
    pub async fn first_answer(&mut self, after: Option<u64>) -> Result<Box<Answer>, Refused> {
        let mut failure: Option<Box<Answer>> = None;
        loop {
            let tried = self.one_try(after).await;
            let tried = match (tried, failure.take()) {
                (Ok(tried), _) => tried,
                // Nobody else takes it: the endpoint's own failure is the truest answer there is.
                (Err(_), Some(failure)) => return Ok(failure),
                (Err(refused), None) => return Err(refused),
            };
            let failed = match tried {
                Tried::Answer(answer) if self.is_wanted(&answer) => return Ok(answer),
                Tried::Answer(answer) => {
                    self.trace
                        .step(format_args!("status {}", answer.parts.status));
                    failure = Some(answer);
                    continue;
                }
                Tried::NotRun(why) => self.not_run(&why),
                Tried::Doubt(doubt) => self.doubt(doubt),
            };
            self.may_go_on(failed)?;
        }
    }

    /// A failure of the endpoint's own is passed on where nothing better can be had.
    fn is_wanted(&mut self, answer: &Answer) -> bool {
        self.in_doubt = true;
        let failed = answer.parts.status.is_server_error();
        let again = failed && self.route.repeat.may_run_again() && self.has_tries();
        !(again && self.gw.may_try_again(&self.service))
    }

    /// Whether another endpoint may be tried.
    pub fn has_tries(&self) -> bool {
        let tried = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        tried < self.route.attempts && !self.left().is_zero()
    }

    fn not_run(&mut self, why: &NotRun) -> Cause {
        self.trace.step(format_args!("not run: {why:?}"));
        self.gw.metrics.count(metrics::TRIES_NOT_RUN);
        Cause::Refused
    }

    fn doubt(&mut self, doubt: Doubt) -> Cause {
        self.trace.step(format_args!("in doubt: {doubt:?}"));
        self.gw.metrics.count(metrics::TRIES_IN_DOUBT);
        self.in_doubt = true;
        match doubt {
            Doubt::Silent => Cause::Late,
            Doubt::Lost | Doubt::Misfit | Doubt::Spoiled => Cause::Lost,
        }
    }

    /// Whether one more endpoint may be tried after this failure.
    pub fn may_go_on(&mut self, failed: Cause) -> Result<(), Refused> {
        let cause = if self.in_doubt && failed == Cause::Refused {
            Cause::Lost
        } else {
            failed
        };
        let allowed = !self.in_doubt || self.route.repeat.may_run_again();
        if !allowed || !self.has_tries() || !self.gw.may_try_again(&self.service) {
            return Err((cause, SOON));
        }
        Ok(())
    }

    async fn one_try(&mut self, after: Option<u64>) -> Result<Tried, Refused> {
        let prompt = Prompt { parts: &self.parts };
        let within = self.left().mul_f64(SENT_WITHIN);
        let chosen = self.gw.choose(&self.service, &prompt, &self.tried, within);
        let chosen = chosen.map_err(|unplaced| self.unplaced(unplaced))?;
        let endpoint = chosen.place.endpoint.clone();
        self.trace.step(format_args!(
            "to {} expecting {:?}, {} tokens to read, {}",
            endpoint.id, chosen.expected, chosen.missing, chosen.grounds
        ));
        self.gw.metrics.count(metrics::TRIES);
        if !self.tried.is_empty() {
            self.gw.metrics.count(metrics::TRIES_AGAIN);
        }
        self.tried.push(endpoint.id.clone());
        let left = self.left();
        let onward = Onward {
            endpoint: &endpoint.id,
            organisation: self.organisation.as_ref().map(|o| &*o.id),
            left,
            class: self.class(),
            after: after.or(self.ask.after),
        };
        let until = self.answer_until();
        let out = Outgoing {
            method: &self.method,
            uri: &self.uri,
            headers: (self.gw.cfg.dialect.onward)(&self.headers, &onward),
            body: self.body.clone(),
            id: &self.ask.id,
            until,
            line: &mut self.waits_on,
        };
        // Counted before it is sent: a client that leaves ends this in the middle of the wait,
        // when the endpoint may have begun.
        let counted_before = self.in_doubt;
        if let Some(spend) = &mut self.spend {
            spend.begun();
        }
        let sent_at = Instant::now();
        let tried = send(&self.gw.cfg.dialect, chosen.place, out).await;
        self.waits_on = None;
        if let (Tried::NotRun(_), Some(spend), false) = (&tried, &mut self.spend, counted_before) {
            spend.not_run();
        }
        self.learn(&endpoint, &tried, sent_at.elapsed());
        Ok(tried)
    }

    /// How long an answer's head is waited for: to the end, but for a request that another
    /// endpoint may run instead.
    fn answer_until(&self) -> Instant {
        let repeatable = self.route.repeat.may_run_again();
        let more = u32::try_from(self.tried.len()).unwrap_or(u32::MAX) < self.route.attempts;
        if !repeatable || !more {
            return self.deadline;
        }
        let patient = Instant::now() + self.route.target.mul_f64(SILENT_TARGETS);
        patient.min(self.deadline)
    }

    fn class(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|o| o.class);
        own.unwrap_or(self.route.class).min(LOWEST_CLASS)
    }

    fn learn(&self, endpoint: &Endpoint, tried: &Tried, waited: Duration) {
        let now = self.gw.life.now();
        match tried {
            Tried::Answer(answer) => {
                if let Some(load) = &answer.head.load {
                    endpoint.heard(now, load);
                }
                endpoint
                    .load()
                    .answered(answer.parts.status.is_server_error());
            }
            Tried::NotRun(NotRun::Refused(421)) => {
                endpoint.leave();
            }
            Tried::NotRun(NotRun::Refused(_)) => endpoint.load().was_full(now, FULL_PAUSE),
            Tried::NotRun(NotRun::Unreachable(why)) => self.endpoint_failed(endpoint, why),
            // A client that waits for less than an answer takes says nothing of the endpoint.
            Tried::Doubt(Doubt::Silent) if waited < self.route.target => {}
            Tried::Doubt(doubt) => self.endpoint_failed(endpoint, &format!("{doubt:?}")),
        }
    }

    /// Notes that an endpoint failed this request.
    pub fn endpoint_failed(&self, endpoint: &Endpoint, why: &str) {
        endpoint.failed(self.gw.life.now(), &self.gw.log, why);
    }

    fn unplaced(&mut self, unplaced: Unplaced) -> Refused {
        self.trace.step(format_args!("no place: {unplaced:?}"));
        if self.in_doubt {
            return (Cause::Lost, SOON);
        }
        match unplaced {
            Unplaced::Nobody => (Cause::NoEndpoint, SOON),
            Unplaced::TooLate(expected) => {
                let over = expected.saturating_sub(self.left().mul_f64(SENT_WITHIN));
                (Cause::Overloaded, over.clamp(OVERLOAD.0, OVERLOAD.1))
            }
        }
    }

    /// Passes on a plain answer once all of it is here.
    async fn whole_answer(mut self, answer: Answer) -> Reply {
        let mut answer = answer;
        loop {
            let Answer {
                mut parts,
                head,
                body,
                sender,
                line,
                mut place,
            } = answer;
            let reading = Limited::new(body, WHOLE_ANSWER).collect();
            let read = timeout_at(self.deadline, reading).await;
            place.answered();
            if let Ok(Ok(body)) = read {
                Answer::put_back(sender, line, &place.endpoint, &head);
                strip(&mut parts.headers);
                self.trace.first_piece();
                let fine = parts.status.is_success();
                self.trace
                    .ended(if fine { "completed" } else { "endpoint_failed" });
                return Reply::from_parts(parts, whole(body.to_bytes()));
            }
            self.endpoint_failed(&place.endpoint, "no whole answer");
            let doubt = if read.is_err() {
                Doubt::Silent
            } else {
                Doubt::Spoiled
            };
            let cause = self.doubt(doubt);
            let again = match self.may_go_on(cause) {
                Ok(()) => self.first_answer(None).await,
                Err(refused) => Err(refused),
            };
            match again {
                Ok(next) => answer = *next,
                Err(refused) => return self.refuse(refused),
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(mut spend) = self.spend.take() else {
            return;
        };
        self.trace.billed(spend.cost());
        // The client has left while an answer was waited for.
        let Some(line) = self.waits_on.take().filter(|_| !self.in_doubt) else {
            return;
        };
        let log = self.gw.log.clone();
        let id = self.ask.id.clone();
        tokio::spawn(async move {
            if line.ended_unheard().await {
                spend.not_run();
                event!(log, events::GATEWAY_BILL_DROPPED, "request" => &*id);
            }
        });
    }
}

/// How many times its target an answer's head is waited for where another endpoint may run the
/// request instead: an endpoint that has been silent for so long is more likely lost than slow.
const SILENT_TARGETS: f64 = 2.0;
/// A full endpoint gets nothing for about the time of one of its requests.
const FULL_PAUSE: Duration = Duration::from_millis(25);

/// Takes out what concerns only the connection to the endpoint.
pub fn strip(headers: &mut HeaderMap) {
    for name in ONE_CONNECTION {
        headers.remove(name);
    }
    headers.remove(http::header::CONTENT_LENGTH);
}

/// Whether the route streams and another endpoint may go on.
pub fn may_resume(route: &Route) -> bool {
    route.repeat == Repeat::StreamResumed
}
