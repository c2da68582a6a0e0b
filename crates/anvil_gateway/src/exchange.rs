//! One admitted request: attempts at endpoints until one responds, then its response up to the end.

mod learning;

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::engine::Prompt;
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use anvilreel::event;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use http_body_util::{BodyExt, Limited};
use tokio::time::{Instant, timeout_at};

use crate::arrival;
use crate::attempt::{Answer, Doubt, NotRun, Outgoing, Tried, send};
use crate::choose::Unplaced;
use crate::connection_watch::ConnectionWatch;
use crate::dialect::{Ask, Onward};
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;
use crate::money::Spend;
use crate::relay::Relay;
use crate::reply::{Cause, Reply, refusal, strip, whole};
use crate::table::{Organisation, Route};
use crate::trace::Trace;
use crate::tries::Tries;

/// Longest non-streamed response body that is buffered, in bytes. Nothing reaches the client before
/// the body is complete, so that a broken response can be requested again.
const WHOLE_ANSWER: usize = 4 << 20;
/// The least urgent priority class that is sent to endpoints.
const LOWEST_CLASS: u8 = 9;
/// A request is sent only if the first token is expected within this fraction of its remaining
/// time.
const SENT_WITHIN: f64 = 0.8;
/// Retry-after time while a process or service is unavailable.
pub const SOON: Duration = Duration::from_millis(300);
/// Shortest and longest retry-after time when endpoints are overloaded.
const OVERLOAD: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// Why a request is refused, and the retry-after time where a retry helps.
pub type Refused = (Cause, Duration);

/// One request with the state of its attempts.
pub struct Exchange {
    /// State shared by all requests.
    pub gw: Arc<Gateway>,
    /// The parsed request head.
    pub ask: Ask,
    /// The matching route.
    pub route: Arc<Route>,
    /// The organisation that sent the request.
    pub organisation: Option<Arc<Organisation>>,
    /// The service that was selected for it.
    pub service: ServiceId,
    /// Maximum output tokens in one event.
    pub per_event: Tokens,
    /// Attempts made so far.
    pub tries: Tries,
    /// The request fails if it has no response by then.
    pub deadline: Instant,
    /// Its reservation; `None` if the organisation does not prepay.
    pub spend: Option<Spend>,
    /// Collects what is logged about the request.
    pub trace: Trace,
    /// Whether an endpoint may have run it.
    pub in_doubt: bool,
    /// Whether it has waited for endpoints; it does so only once.
    pub has_waited: bool,
    /// The connection whose response has not begun yet.
    pub waits_on: Option<Arc<ConnectionWatch>>,
    /// Parts of the prompt with their token counts.
    pub parts: Vec<(u64, Tokens)>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The client's headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Equal for requests that count as the same one.
    pub content: RequestDigest,
}

impl Exchange {
    /// Sends the request to endpoints until one responds.
    pub async fn run(mut self) -> Reply {
        self.gw.first_try(&self.service);
        match self.first_answer(None).await {
            Ok(answer) if self.route.repeat.is_stream() && answer.parts.status.is_success() => {
                Relay::begin(self, *answer).await
            }
            Ok(answer) => self.whole_answer(*answer).await,
            Err(refused) => self.refuse(refused),
        }
    }

    /// Ends the request with a refusal.
    pub fn refuse(mut self, (cause, again): Refused) -> Reply {
        self.trace.ended(cause.text());
        refusal(cause, Some(again))
    }

    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Runs attempts until a response begins. `after` is the id of the last event that was
    /// delivered.
    pub async fn first_answer(&mut self, after: Option<u64>) -> Result<Box<Answer>, Refused> {
        let mut failure: Option<Box<Answer>> = None;
        loop {
            let refused = match self.one_try(after).await {
                Ok(Tried::Answer(answer)) if self.is_wanted(&answer) => return Ok(answer),
                Ok(Tried::Answer(answer)) => {
                    self.trace
                        .step(format_args!("status {}", answer.parts.status));
                    failure = Some(answer);
                    continue;
                }
                Ok(Tried::NotRun(why)) => {
                    let cause = self.not_run(&why);
                    self.may_go_on(cause).err()
                }
                Ok(Tried::Doubt(doubt)) => {
                    let cause = self.doubt(doubt);
                    self.may_go_on(cause).err()
                }
                Err(refused) => Some(refused),
            };
            if self.finds_endpoints(refused).await && self.may_arrive_again() {
                continue;
            }
            if let Some(refused) = refused {
                // An endpoint's own error response says more than a refusal by the gateway.
                return failure.ok_or(refused);
            }
        }
    }

    /// Waits once for endpoints when none of those tried still exists.
    ///
    /// No attempt has run, so the request may wait and go to any of the new endpoints.
    async fn finds_endpoints(&mut self, refused: Option<Refused>) -> bool {
        let nobody = matches!(refused, Some((Cause::NoEndpoint | Cause::Refused, _)));
        if !nobody || self.has_waited || self.in_doubt || !self.tries.found_nobody() {
            return false;
        }
        self.has_waited = true;
        self.gw.list_doubted.notify_one();
        let most = arrival::for_endpoints(self.gw.cfg.list.lag, self.left());
        let found = arrival::wait(&self.gw, most, || {
            let open = self
                .gw
                .directory
                .open(&self.service, self.tries.endpoints());
            (!open.is_empty()).then_some(())
        });
        let found = found.await.is_some();
        self.trace
            .step(format_args!("waited for endpoints: {found}"));
        if found {
            self.tries.forget_gone();
        }
        found
    }

    /// Whether the response is passed on. A server error is retried first if the route and the
    /// retry budget allow it.
    fn is_wanted(&mut self, answer: &Answer) -> bool {
        self.in_doubt = true;
        let failed = answer.parts.status.is_server_error();
        let again = failed && self.route.repeat.may_run_again() && self.has_tries();
        !(again && self.gw.may_try_again(&self.service))
    }

    /// Whether the attempt limit and the deadline allow another attempt.
    pub fn has_tries(&self) -> bool {
        self.tries.may_go_on(self.route.attempts) && !self.left().is_zero()
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

    /// Whether the request may be sent to another endpoint after this failure.
    pub fn may_go_on(&mut self, failed: Cause) -> Result<(), Refused> {
        let cause = if self.in_doubt && failed == Cause::Refused {
            Cause::Lost
        } else {
            failed
        };
        let allowed = !self.in_doubt || self.route.repeat.may_run_again();
        if !allowed || !self.has_tries() || !self.may_arrive_again() {
            return Err((cause, SOON));
        }
        Ok(())
    }

    /// Whether the shared retry budget allows another attempt. A request that has not reached any
    /// endpoint does not use the budget.
    fn may_arrive_again(&self) -> bool {
        !self.tries.arrived() || self.gw.may_try_again(&self.service)
    }

    async fn one_try(&mut self, after: Option<u64>) -> Result<Tried, Refused> {
        if let Some(quarantine) = self.gw.suspects.quarantine(self.content) {
            self.trace.step(format_args!("in quarantine: {quarantine}"));
            let cause = if self.in_doubt {
                Cause::Lost
            } else {
                Cause::CrashesEndpoints
            };
            return Err((cause, quarantine.left));
        }
        let prompt = Prompt { parts: &self.parts };
        let within = self.left().mul_f64(SENT_WITHIN);
        let chosen = self
            .gw
            .choose(&self.service, &prompt, self.tries.endpoints(), within);
        let chosen = chosen.map_err(|unplaced| self.unplaced(unplaced))?;
        let endpoint = chosen.place.endpoint.clone();
        self.trace.step(format_args!(
            "to {} expecting {:?}, {} tokens to read, {}",
            endpoint.id, chosen.expected, chosen.missing, chosen.grounds
        ));
        if let Some(addr) = chosen.copy_from {
            self.trace.step(format_args!("copies from {addr}"));
            self.gw.metrics.count(metrics::TRIES_COPIED);
        }
        self.gw.metrics.count(metrics::TRIES);
        if !self.tries.endpoints().is_empty() {
            self.gw.metrics.count(metrics::TRIES_AGAIN);
        }
        let left = self.left();
        let onward = Onward {
            endpoint: &endpoint.id,
            organisation: self.organisation.as_ref().map(|o| &*o.id),
            left,
            class: self.class(),
            after: after.or(self.ask.after),
            copy_from: chosen.copy_from,
        };
        let until = self.answer_until();
        let out = Outgoing {
            method: &self.method,
            uri: &self.uri,
            headers: (self.gw.cfg.dialect.onward)(&self.headers, &onward),
            body: self.body.clone(),
            id: &self.ask.id,
            until,
            watch: &mut self.waits_on,
        };
        // Counted before it is sent: if the client disconnects, this function is dropped during the
        // wait, when the endpoint may have begun.
        let counted_before = self.in_doubt;
        if let Some(spend) = &mut self.spend {
            spend.begun();
        }
        let sent_at = Instant::now();
        let tried = send(&self.gw, chosen.place, out).await;
        self.waits_on = None;
        self.tries.note(endpoint.id.clone(), &tried);
        if let (Tried::NotRun(_), Some(spend), false) = (&tried, &mut self.spend, counted_before) {
            spend.not_run();
        }
        self.learn(&endpoint, &tried, sent_at.elapsed());
        Ok(tried)
    }

    /// Until when the response head is awaited: up to the deadline, or less if another endpoint may
    /// run the request instead.
    fn answer_until(&self) -> Instant {
        let repeatable = self.route.repeat.may_run_again();
        if !repeatable || self.tries.is_last(self.route.attempts) {
            return self.deadline;
        }
        let patient = Instant::now() + self.route.target.mul_f64(SILENT_TARGETS);
        patient.min(self.deadline)
    }

    fn class(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|o| o.class);
        own.unwrap_or(self.route.class).min(LOWEST_CLASS)
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
            Unplaced::AtLimit(wait) => (Cause::Overloaded, wait.clamp(OVERLOAD.0, OVERLOAD.1)),
        }
    }

    /// Passes on a non-streamed response once it is complete.
    async fn whole_answer(mut self, answer: Answer) -> Reply {
        let mut answer = answer;
        loop {
            let Answer {
                mut parts,
                head,
                body,
                sender,
                watch,
                mut place,
            } = answer;
            let reading = Limited::new(body, WHOLE_ANSWER).collect();
            let read = timeout_at(self.deadline, reading).await;
            place.answered();
            if let Ok(Ok(body)) = read {
                Answer::put_back(sender, watch, &place.endpoint, &head);
                strip(&mut parts.headers);
                self.gw.answered(self.content);
                self.trace.first_piece();
                let fine = parts.status.is_success();
                self.trace
                    .ended(if fine { "completed" } else { "endpoint_failed" });
                return Reply::from_parts(parts, whole(body.to_bytes()));
            }
            self.answer_lost(&place.endpoint, CrashedRun::AfterOutput, "no whole answer");
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
        // The client has disconnected before the response began.
        let Some(watch) = self.waits_on.take().filter(|_| !self.in_doubt) else {
            return;
        };
        let log = self.gw.log.clone();
        let id = self.ask.id.clone();
        tokio::spawn(async move {
            if watch.ended_unheard().await {
                spend.not_run();
                event!(log, events::GATEWAY_BILL_DROPPED, "request" => &*id);
            }
        });
    }
}

/// If another endpoint may run the request, the response head is awaited for this multiple of the
/// route's target: an endpoint that takes longer is more likely lost than slow.
const SILENT_TARGETS: f64 = 2.0;
