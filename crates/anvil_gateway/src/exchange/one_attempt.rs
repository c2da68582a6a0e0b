//! One attempt of an exchange: the selection of an endpoint, and the request sent to it.

use std::time::Duration;

use anvil_policy::deadline::MIN_RETRY_AFTER;
use anvil_policy::engine::Prompt;
use anvil_world::prelude::*;
use http_body_util::Full;
use tokio::time::Instant;

use super::place::Place;
use super::silence::{Silence, Waited};
use super::take_up::TAKE_UP_RETRY_AFTER;
use super::{DEFAULT_RETRY_AFTER, Exchange, RequestRefusal, spread_return};
use crate::attempt::{
    AttemptOutcome, Doubt, NotRun, OutgoingRequest, SendOutcome, UnsentRequest, WholeRequest, send,
};
use crate::choose::{PlacementTerms, Selection, Unplaced};
use crate::dialect::ForwardedHead;
use crate::endpoint::EndpointSlot;
use crate::metrics;
use crate::pool::Connection;
use crate::regions::Constraints;
use crate::reply::Cause;
use crate::stage_times::Stage;
use crate::suspects::RequestContents;

/// The least urgent priority class that is sent to endpoints.
const LEAST_URGENT_CLASS: u8 = 9;
/// A request is sent only if the first token is expected within this fraction of its remaining
/// time.
const FIRST_TOKEN_FRACTION: f64 = 0.8;
/// Retry-after time while no endpoint may be used and an operator has to act first.
const OPERATOR_RETRY_AFTER: Duration = Duration::from_secs(2);
/// How an attempt has ended.
pub(super) enum AttemptEnd {
    /// The endpoint has responded or failed.
    Outcome(AttemptOutcome),
    /// The endpoint was silent, and the request has a place at another one. It may have run.
    TakenOver(Box<Place>),
}

impl Exchange {
    /// Sends the request to the endpoint of `place`, or to one that is selected now. `after` is the id
    /// of the last event that was delivered.
    pub(super) async fn one_attempt(
        &mut self,
        after: Option<u64>,
        place: Option<Box<Place>>,
    ) -> Result<AttemptEnd, RequestRefusal> {
        let place = match place {
            Some(place) => *place,
            None => self.find_place().await?,
        };
        let max_output = self.request.max_output();
        if !self.in_doubt
            && self
                .gw
                .stop_would_cut(&self.route, max_output, self.deadline)
        {
            let not_run = NotRun::Withheld(Cause::Leaving);
            return Ok(AttemptEnd::Outcome(AttemptOutcome::NotRun(not_run)));
        }
        Ok(self.send_to(place, after).await)
    }

    async fn find_place(&mut self) -> Result<Place, RequestRefusal> {
        self.refuse_in_quarantine()?;
        self.trace.stages.enter(Stage::Place);
        let place = if self.in_doubt {
            self.take_place().await
        } else {
            let gw = self.gw.clone();
            gw.refuse_before_close(self.take_place()).await
        };
        self.trace.stages.enter(Stage::Other);
        place
    }

    async fn send_to(&mut self, place: Place, after: Option<u64>) -> AttemptEnd {
        let Place {
            selection,
            link,
            connection,
        } = place;
        let endpoint = selection.slot.endpoint.clone();
        // Only a replacement is connected to before the silent endpoint is given up.
        let is_replacement = connection.is_some();
        self.record_origin(&endpoint.version);
        let request = self.outgoing_request(&selection, after);
        // Counted before it is sent: if the client disconnects, this function is dropped during the
        // wait, when the endpoint may have begun.
        let was_in_doubt = self.in_doubt;
        if let Some(charge) = &mut self.charge {
            charge.record_begun();
        }
        link.record_sent();
        let sent_at = Instant::now();
        self.attempt_counter.begin(endpoint.id.clone());
        let end = self
            .send_and_wait(selection.slot, request, connection)
            .await;
        self.awaited_connection = None;
        let silent = AttemptOutcome::Doubt(Doubt::Silent);
        let outcome = match &end {
            AttemptEnd::Outcome(outcome) => outcome,
            AttemptEnd::TakenOver(_) => &silent,
        };
        if !matches!(outcome, AttemptOutcome::Response(_)) {
            self.trace.stages.enter(Stage::Other);
        }
        self.attempt_counter
            .record(endpoint.id.clone(), outcome, is_replacement);
        if let (AttemptOutcome::NotRun(_), Some(charge), false) =
            (outcome, &mut self.charge, was_in_doubt)
        {
            charge.record_not_run();
        }
        self.record_outcome(&endpoint, outcome, sent_at.elapsed());
        end
    }

    /// Sends the request and waits for the response head, up to the deadline or until another endpoint
    /// takes over. The connection is closed in that case.
    async fn send_and_wait(
        &mut self,
        mut slot: EndpointSlot,
        mut request: WholeRequest,
        mut connection: Option<Connection>,
    ) -> AttemptEnd {
        let silent_since = Instant::now();
        let connect_deadline = self.replaceable_at(silent_since).unwrap_or(self.deadline);
        let mut silence = Silence::since(silent_since);
        let mut on_new_connection = false;
        loop {
            let outgoing = OutgoingRequest {
                request,
                id: &self.request.id,
                contents: RequestContents {
                    request: self.request_digest,
                    shared: &self.shared,
                },
                connection: connection.take(),
                on_new_connection,
                connect_deadline,
                deadline: self.deadline,
                client: Some(&*self.client),
                watch: &mut self.awaited_connection,
                stages: &mut self.trace.stages,
            };
            let mut sent = match send(&self.gw, slot, outgoing).await {
                Ok(sent) => sent,
                Err(reason) => return AttemptEnd::Outcome(AttemptOutcome::NotRun(reason)),
            };
            let waited = self.wait_or_take_over(&mut silence, sent.head()).await;
            if let Some(written_at) = sent.written_at() {
                self.trace.stages.enter_at(Stage::Response, written_at);
            }
            let head = match waited {
                Waited::Sent(head) => head,
                Waited::TakenOver(place) => return AttemptEnd::TakenOver(place),
                Waited::TimedOut => {
                    return AttemptEnd::Outcome(AttemptOutcome::Doubt(Doubt::Silent));
                }
            };
            match sent.outcome(&self.gw, head).await {
                SendOutcome::Ended(outcome) => return AttemptEnd::Outcome(outcome),
                SendOutcome::Unsent(unsent) => {
                    UnsentRequest { slot, request } = *unsent;
                    on_new_connection = true;
                }
            }
        }
    }

    fn outgoing_request(&self, selection: &Selection, after: Option<u64>) -> WholeRequest {
        let organisation = self.organisation.as_ref();
        let forwarded = ForwardedHead {
            endpoint: &selection.slot.endpoint.id,
            organisation: organisation.map(|organisation| &*organisation.id),
            time_left: self.time_left(),
            priority_class: self.priority_class(),
            resume_after: after.or(self.request.resume_after),
            copy_from: selection.copy_from,
        };
        let mut request = WholeRequest::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = (self.gw.cfg.dialect.forward_headers)(&self.headers, &forwarded);
        request
    }

    /// Refuses a request under which endpoints crash.
    fn refuse_in_quarantine(&mut self) -> Result<(), RequestRefusal> {
        let contents = self.contents();
        let Some(quarantine) = self.gw.quarantine_at_service(&self.service, contents) else {
            return Ok(());
        };
        self.trace.step(format_args!("in quarantine: {quarantine}"));
        let cause = if self.in_doubt {
            Cause::ResponseLost
        } else {
            Cause::CrashesEndpoints
        };
        Err((cause, quarantine.time_left))
    }

    /// Takes a slot at the best endpoint; `with_room_within` as in [`PlacementTerms`].
    pub(super) fn select_endpoint(
        &mut self,
        with_room_within: Option<Duration>,
    ) -> Result<Selection, Unplaced> {
        let terms = PlacementTerms {
            within: self.first_token_within(),
            with_room_within,
            is_replacement: false,
        };
        let new_versions = self.versions_to_avoid();
        let selection = match self.select_avoiding(&new_versions, terms) {
            Err(unplaced) if !new_versions.is_empty() && unplaced != Unplaced::Busy => {
                self.trace
                    .step(format_args!("no place at settled versions: {unplaced:?}"));
                self.select_avoiding(&[], terms)
            }
            selection => selection,
        };
        let selection = selection?;
        self.record_selection(&selection);
        Ok(selection)
    }

    /// Takes a slot at an endpoint in place of a silent one.
    pub(super) fn select_replacement(&mut self) -> Result<Selection, Unplaced> {
        let terms = PlacementTerms {
            within: self.first_token_within(),
            with_room_within: None,
            is_replacement: true,
        };
        let new_versions = self.versions_to_avoid();
        let selection = match self.select_avoiding(&new_versions, terms) {
            Err(_) if !new_versions.is_empty() => self.select_avoiding(&[], terms),
            selection => selection,
        };
        let selection = selection?;
        self.record_selection(&selection);
        Ok(selection)
    }

    fn record_selection(&mut self, selection: &Selection) {
        let endpoint = &selection.slot.endpoint;
        self.trace.step(format_args!(
            "to {} ({}) expecting {:?}, {} tokens to read, {}",
            endpoint.id,
            endpoint.version,
            selection.expected,
            selection.missing_tokens,
            selection.load_summary
        ));
        if let Some(addr) = selection.copy_from {
            self.trace.step(format_args!("copies from {addr}"));
            self.gw.metrics.count(metrics::ATTEMPTS_WITH_COPY);
        }
        self.gw.metrics.count(metrics::ATTEMPTS);
        if !self.attempt_counter.endpoints().is_empty() {
            self.gw.metrics.count(metrics::ATTEMPTS_AFTER_FIRST);
        }
    }

    fn select_avoiding(
        &self,
        avoided: &[SoftwareVersion],
        terms: PlacementTerms,
    ) -> Result<Selection, Unplaced> {
        let prompt = Prompt {
            parts: &self.prompt_parts,
            max_output: self.request.max_output(),
        };
        let constraints = Constraints {
            avoided,
            ..self.constraints()
        };
        self.gw
            .select_endpoint(&self.service, &prompt, constraints, terms)
    }

    /// Longest expected time to the first token with which the request is sent.
    pub(super) fn first_token_within(&self) -> Duration {
        self.time_left().mul_f64(FIRST_TOKEN_FRACTION)
    }

    /// What the request consists of.
    pub(super) fn contents(&self) -> RequestContents<'_> {
        RequestContents {
            request: self.request_digest,
            shared: &self.shared,
        }
    }

    /// Which endpoints the request may be sent to.
    pub(super) fn constraints(&self) -> Constraints<'_> {
        Constraints {
            tried: self.attempt_counter.endpoints(),
            regions: &self.regions,
            version: self.stream_version.as_ref(),
            avoided: &[],
            contents: Some(self.contents()),
        }
    }

    pub(super) fn priority_class(&self) -> u8 {
        let organisation_class = self
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority_class);
        organisation_class
            .unwrap_or(self.route.priority_class)
            .min(LEAST_URGENT_CLASS)
    }

    pub(super) fn refuse_unplaced(&mut self, unplaced: Unplaced) -> RequestRefusal {
        self.trace.step(format_args!("no place: {unplaced:?}"));
        for summary in self.gw.pause_summaries(&self.service) {
            self.trace.step(format_args!("{summary}"));
        }
        if self.in_doubt {
            return (Cause::ResponseLost, DEFAULT_RETRY_AFTER);
        }
        match unplaced {
            Unplaced::Nobody => match self.common_pause() {
                // All were tried, and turned it away.
                Some(wait) => (Cause::EndpointsPaused, spread_return(wait)),
                None => (Cause::NoEndpoint, DEFAULT_RETRY_AFTER),
            },
            Unplaced::VersionGone => (Cause::VersionGone, spread_return(TAKE_UP_RETRY_AFTER)),
            Unplaced::CrashesEndpoints => {
                (Cause::CrashesEndpoints, spread_return(TAKE_UP_RETRY_AFTER))
            }
            Unplaced::OutsideRegions => (Cause::OutsideRegions, OPERATOR_RETRY_AFTER),
            Unplaced::Evacuated => (Cause::Evacuated, OPERATOR_RETRY_AFTER),
            Unplaced::TooLate(_)
            | Unplaced::AtLimit(_)
            | Unplaced::Full
            | Unplaced::OutOfMemory
            | Unplaced::Busy => (Cause::Overloaded, spread_return(MIN_RETRY_AFTER)),
            Unplaced::Paused(wait) => (Cause::EndpointsPaused, spread_return(wait)),
        }
    }
}
