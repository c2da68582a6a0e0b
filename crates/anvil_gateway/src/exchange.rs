//! One admitted request: attempts at endpoints until one responds, then its response up to the end.

mod one_attempt;
mod outcome;
mod place;
pub mod silence;
mod take_up;

use std::sync::Arc;
use std::time::Duration;

use anvil_http::{BodyLimits, read_whole};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use anvilreel::event;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::{Instant, timeout_at};

use self::one_attempt::AttemptEnd;
pub use self::place::Place;
use crate::accept::client_socket::ClientConnection;
use crate::attempt::{AttemptOutcome, Doubt, EndpointResponse, NotRun};
use crate::attempt_counter::AttemptCounter;
use crate::availability;
use crate::connection_watch::ConnectionWatch;
use crate::dialect::{PartId, RequestHead};
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;
use crate::regions::{AllowedRegions, Constraints};
use crate::reply::{Cause, Reply, full_body, refusal, remove_connection_headers};
use crate::request_charge::RequestCharge;
use crate::send::pacing::retry_elsewhere_after;
use crate::shared_content::SharedContent;
use crate::stage_times::Stage;
use crate::stream_relay::StreamRelay;
use crate::table::{Organisation, Route};
use crate::trace::Trace;

/// Longest non-streamed response body that is buffered, in bytes. Nothing reaches the client before
/// the body is complete, so that a broken response can be requested again.
const MAX_BUFFERED_BODY_BYTES: usize = 4 << 20;
/// Retry-after time while a process or service is unavailable.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Clients that are refused because of a pause are told to return within this part of it after its
/// end, so that they don't return together.
const RETURN_SPREAD_FRACTION: f64 = 0.25;
/// Maximum time within which they return.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Retry-after time of a request that can be served once a pause has ended.
fn spread_return(pause: Duration) -> Duration {
    let spread = pause.mul_f64(RETURN_SPREAD_FRACTION).min(MAX_RETURN_SPREAD);
    pause.saturating_add(spread.mul_f64(rand::random()))
}

/// Why a request is refused, and the retry-after time where a retry helps.
pub type RequestRefusal = (Cause, Duration);

/// Why a request is not sent to another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryDenied {
    /// It may have run, and may run only once.
    MayHaveRun,
    /// Its route allows no more attempts, or its deadline has passed.
    NoAttemptsOrTimeLeft,
    /// The retry budget that all gateways share.
    BudgetUsedUp,
}

/// One request with the state of its attempts.
pub struct Exchange {
    /// State shared by all requests.
    pub gw: Arc<Gateway>,
    /// The connection of its client.
    pub client: Arc<ClientConnection>,
    /// The parsed request head.
    pub request: RequestHead,
    /// The matching route.
    pub route: Arc<Route>,
    /// The organisation that sent the request.
    pub organisation: Option<Arc<Organisation>>,
    /// The service that was selected for it.
    pub service: ServiceId,
    /// Where it may run.
    pub regions: AllowedRegions,
    /// The software version at which its stream goes on; `None` until the first event.
    pub stream_version: Option<SoftwareVersion>,
    /// Maximum output tokens in one event.
    pub tokens_per_event: Tokens,
    /// Attempts made so far.
    pub attempt_counter: AttemptCounter,
    /// The request fails if it has no response by then.
    pub deadline: Instant,
    /// Its reservation; `None` if the organisation does not prepay.
    pub charge: Option<RequestCharge>,
    /// Collects what is logged about the request.
    pub trace: Trace,
    /// Whether an endpoint may have run it.
    pub in_doubt: bool,
    /// Whether it has waited for endpoints; it does so only once.
    pub has_waited_for_endpoints: bool,
    /// The connection whose response has not begun yet.
    pub awaited_connection: Option<Arc<ConnectionWatch>>,
    /// Parts of the prompt with their token counts.
    pub prompt_parts: Vec<(PartId, Tokens)>,
    /// What the request shares with others.
    pub shared: Vec<SharedContent>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The client's headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Equal for requests that count as the same one.
    pub request_digest: ContentDigest,
}

impl Exchange {
    /// Sends the request to endpoints until one responds.
    pub async fn run(mut self) -> Reply {
        let gw = self.gw.clone();
        if let Err(refusal) = gw.refuse_before_close(self.bind_taken_up()).await {
            return self.refuse(refusal);
        }
        self.gw.count_first_attempt(&self.service);
        match self.first_response(None).await {
            Ok(response)
                if self.route.retry_mode.is_stream() && response.parts.status.is_success() =>
            {
                StreamRelay::start_response(self, *response).await
            }
            Ok(response) => self.buffered_response(*response).await,
            Err(refusal) => self.refuse(refusal),
        }
    }

    /// Ends the request with a refusal.
    pub fn refuse(mut self, (cause, retry_after): RequestRefusal) -> Reply {
        self.trace.record_outcome(cause.text());
        refusal(cause, Some(retry_after))
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Runs attempts until a response begins. `after` is the id of the last event that was delivered.
    pub async fn first_response(
        &mut self,
        after: Option<u64>,
    ) -> Result<Box<EndpointResponse>, RequestRefusal> {
        let mut place = None;
        let mut failure: Option<Box<EndpointResponse>> = None;
        loop {
            let outcome = match self.one_attempt(after, place.take()).await {
                Ok(AttemptEnd::TakenOver(next)) => {
                    self.record_doubt(Doubt::Silent);
                    place = Some(next);
                    continue;
                }
                Ok(AttemptEnd::Outcome(outcome)) => Ok(outcome),
                Err(refusal) => Err(refusal),
            };
            let refusal = match outcome {
                Ok(AttemptOutcome::Response(response)) if self.is_final(&response) => {
                    return Ok(response);
                }
                Ok(AttemptOutcome::Response(response)) => {
                    self.trace
                        .step(format_args!("status {}", response.parts.status));
                    failure = Some(response);
                    continue;
                }
                Ok(AttemptOutcome::NotRun(NotRun::NotAccepting)) => {
                    self.trace.step(format_args!("not sent: not accepting"));
                    continue;
                }
                Ok(AttemptOutcome::NotRun(NotRun::Withheld(cause))) => {
                    self.trace.step(format_args!("not sent: {}", cause.text()));
                    self.gw.metrics.count(metrics::ATTEMPTS_NOT_RUN);
                    return Err((self.cause_by_doubt(cause), retry_elsewhere_after()));
                }
                Ok(AttemptOutcome::NotRun(reason)) => {
                    let cause = self.record_not_run(&reason);
                    self.may_retry(cause).err()
                }
                Ok(AttemptOutcome::Doubt(doubt)) => {
                    let cause = self.record_doubt(doubt);
                    self.may_retry(cause).err()
                }
                Err(refusal) => Some(refusal),
            };
            let gw = self.gw.clone();
            let waiting = async { Ok(self.wait_for_endpoints(refusal).await) };
            let refusal = match gw.refuse_before_close(waiting).await {
                Ok(true) if self.retry_budget_allows() => continue,
                Ok(_) => refusal,
                Err(leaving) => Some(leaving),
            };
            if let Some(refusal) = refusal {
                // An endpoint's own error response says more than a refusal by the gateway.
                return failure.ok_or(refusal);
            }
        }
    }

    /// Sends the request to the endpoint of `place`, for a stream that another endpoint began. Returns the
    /// cause of a failure if the response is not one that goes on with it.
    pub async fn response_at(
        &mut self,
        after: Option<u64>,
        mut place: Box<Place>,
    ) -> Result<Box<EndpointResponse>, Cause> {
        loop {
            let outcome = match self.one_attempt(after, Some(place)).await {
                Ok(AttemptEnd::TakenOver(next)) => {
                    self.record_doubt(Doubt::Silent);
                    place = next;
                    continue;
                }
                Ok(AttemptEnd::Outcome(outcome)) => outcome,
                Err((cause, _)) => return Err(cause),
            };
            return match outcome {
                AttemptOutcome::Response(response) => {
                    self.set_in_doubt();
                    let status = response.parts.status;
                    if status.is_success() {
                        return Ok(response);
                    }
                    self.trace.step(format_args!("status {status}"));
                    Err(Cause::ResponseLost)
                }
                AttemptOutcome::NotRun(reason) => Err(self.record_not_run(&reason)),
                AttemptOutcome::Doubt(doubt) => Err(self.record_doubt(doubt)),
            };
        }
    }

    /// Waits once for endpoints when none of those tried still exists.
    ///
    /// No attempt has run, so the request may wait and go to any of the new endpoints.
    async fn wait_for_endpoints(&mut self, refusal: Option<RequestRefusal>) -> bool {
        let no_endpoint = matches!(
            refusal,
            Some((Cause::NoEndpoint | Cause::RefusedByEndpoints, _))
        );
        if !no_endpoint
            || self.has_waited_for_endpoints
            || self.in_doubt
            || !self.attempt_counter.reached_none()
        {
            return false;
        }
        self.has_waited_for_endpoints = true;
        self.gw.list_mismatch.notify_one();
        let max_wait = availability::endpoints_wait(self.gw.cfg.list.max_lag, self.time_left());
        self.trace.stages.enter(Stage::Place);
        let found = availability::wait_until_available(&self.gw, max_wait, || {
            let available = self
                .gw
                .available_endpoints(&self.service, self.constraints());
            (!available.is_empty()).then_some(())
        });
        let found = found.await.is_some();
        self.trace.stages.enter(Stage::Other);
        self.trace
            .step(format_args!("waited for endpoints: {found}"));
        if found {
            self.attempt_counter.reset_missing();
        }
        found
    }

    /// Whether the response is passed on. A server error is retried first if the route and the
    /// retry budget allow it.
    fn is_final(&mut self, response: &EndpointResponse) -> bool {
        self.set_in_doubt();
        let failed = response.parts.status.is_server_error();
        let retry = failed && self.route.retry_mode.may_run_again() && self.has_attempts_left();
        !(retry && self.gw.try_count_retry(&self.service))
    }

    /// Whether the attempt limit and the deadline allow another attempt.
    pub fn has_attempts_left(&self) -> bool {
        self.attempt_counter.may_continue(self.route.max_attempts) && !self.time_left().is_zero()
    }

    fn record_not_run(&mut self, reason: &NotRun) -> Cause {
        self.trace.step(format_args!("not run: {reason:?}"));
        self.gw.metrics.count(metrics::ATTEMPTS_NOT_RUN);
        Cause::RefusedByEndpoints
    }

    fn record_doubt(&mut self, doubt: Doubt) -> Cause {
        self.trace.step(format_args!("in doubt: {doubt:?}"));
        self.gw.metrics.count(metrics::ATTEMPTS_IN_DOUBT);
        self.set_in_doubt();
        match doubt {
            Doubt::Silent => Cause::ResponseTimeout,
            Doubt::Lost | Doubt::Misfit | Doubt::Spoiled => Cause::ResponseLost,
        }
    }

    /// Records that an endpoint may have run the request. Its charge is final from now on, and is
    /// reported to the gateways that hold the prompt of an earlier attempt.
    fn set_in_doubt(&mut self) {
        self.in_doubt = true;
        let Some(charge) = &mut self.charge else {
            return;
        };
        for holder in charge.record_final() {
            self.trace.step(format_args!(
                "charge reported to {holder}, which holds a lost attempt"
            ));
        }
    }

    /// Records that the response to the client begins: its prompt is charged, not held.
    pub fn record_response_begun(&mut self) {
        self.trace.record_first_piece();
        if let Some(charge) = &mut self.charge {
            charge.record_answered();
        }
    }

    /// The cause to state if the last attempt was not sent: an earlier one may have run.
    fn cause_by_doubt(&self, cause: Cause) -> Cause {
        match cause {
            Cause::Expired if self.in_doubt => Cause::ResponseTimeout,
            Cause::NoDescriptors if self.in_doubt => Cause::ResponseLost,
            cause => cause,
        }
    }

    /// Whether the request may be sent to another endpoint after this failure.
    pub fn may_retry(&mut self, failed: Cause) -> Result<(), RequestRefusal> {
        let cause = if self.in_doubt && failed == Cause::RefusedByEndpoints {
            Cause::ResponseLost
        } else {
            failed
        };
        let Some(denied) = self.retry_denied() else {
            return Ok(());
        };
        self.trace
            .step(format_args!("no further attempt: {denied:?}"));
        Err((cause, self.retry_after(cause)))
    }

    /// Why no further attempt is made; `None` if one may be made, which the retry budget counts.
    fn retry_denied(&self) -> Option<RetryDenied> {
        if self.in_doubt && !self.route.retry_mode.may_run_again() {
            return Some(RetryDenied::MayHaveRun);
        }
        if !self.has_attempts_left() {
            return Some(RetryDenied::NoAttemptsOrTimeLeft);
        }
        (!self.retry_budget_allows()).then_some(RetryDenied::BudgetUsedUp)
    }

    /// When the client may return after this failure.
    fn retry_after(&self, cause: Cause) -> Duration {
        let pause = match cause {
            Cause::RefusedByEndpoints => self.common_pause(),
            _ => None,
        };
        pause.map_or(DEFAULT_RETRY_AFTER, spread_return)
    }

    /// Time until the first pause ends, if all endpoints that may run the request are paused.
    fn common_pause(&self) -> Option<Duration> {
        let constraints = Constraints {
            tried: &[],
            ..self.constraints()
        };
        self.gw.common_pause(&self.service, constraints)
    }

    /// Whether the shared retry budget allows another attempt. A request that has not reached any
    /// endpoint does not use the budget.
    fn retry_budget_allows(&self) -> bool {
        !self.attempt_counter.was_received() || self.gw.try_count_retry(&self.service)
    }

    /// Passes on a non-streamed response once it is complete.
    async fn buffered_response(mut self, response: EndpointResponse) -> Reply {
        let mut response = response;
        loop {
            let EndpointResponse {
                mut parts,
                head,
                body,
                sender,
                watch,
                mut slot,
            } = response;
            let limits = BodyLimits {
                max_bytes: MAX_BUFFERED_BODY_BYTES,
                // The deadline ends it.
                idle_timeout: self.time_left(),
            };
            let reading = read_whole(body, limits, &self.gw.response_bodies, || ());
            let read = timeout_at(self.deadline, reading).await;
            slot.response_started();
            if let Ok(Ok(body)) = read {
                EndpointResponse::release_connection(sender, watch, &slot.endpoint, &head);
                remove_connection_headers(&mut parts.headers);
                self.record_answered(&slot.endpoint, parts.status);
                self.record_response_begun();
                let is_success = parts.status.is_success();
                self.trace.record_outcome(if is_success {
                    "completed"
                } else {
                    "endpoint_failed"
                });
                return Reply::from_parts(parts, full_body(body));
            }
            self.record_lost_response(
                &slot.endpoint,
                CrashedRun::AfterOutput,
                "incomplete response",
            );
            let doubt = if read.is_err() {
                Doubt::Silent
            } else {
                Doubt::Spoiled
            };
            let cause = self.record_doubt(doubt);
            let next = match self.may_retry(cause) {
                Ok(()) => self.first_response(None).await,
                Err(refusal) => Err(refusal),
            };
            match next {
                Ok(next) => response = *next,
                Err(refusal) => return self.refuse(refusal),
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // The client has disconnected while the response was awaited.
        if let Some(sent_at) = self.awaited_connection.as_ref().and_then(|c| c.sent_at()) {
            self.trace.stages.enter_at(Stage::Response, sent_at);
        }
        let Some(mut charge) = self.charge.take() else {
            return;
        };
        self.trace.record_cost(charge.cost());
        self.trace.record_prompt_held(charge.prompt_to_hold());
        // The client has disconnected before the response began.
        let Some(watch) = self.awaited_connection.take().filter(|_| !self.in_doubt) else {
            return;
        };
        let log = self.gw.log.clone();
        let id = self.request.id.clone();
        tokio::spawn(async move {
            if watch.ended_without_run().await {
                charge.record_not_run();
                event!(log, events::GATEWAY_BILL_DROPPED, "request" => &*id);
            }
        });
    }
}
