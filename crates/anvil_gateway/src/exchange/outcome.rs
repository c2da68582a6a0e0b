//! Updates the view of endpoints, and of the request itself, after each attempt.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::crash::Evidence;
use anvil_world::suspect::CrashedRun;
use http::StatusCode;

use super::Exchange;
use crate::attempt::{AttemptOutcome, Doubt, MISDIRECTED_STATUS, NotRun};
use crate::endpoint::Endpoint;

/// Pause after an endpoint reported that it is full: about the duration of one of its requests.
const FULL_ENDPOINT_PAUSE: Duration = Duration::from_millis(25);

impl Exchange {
    /// Records the outcome of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        endpoint: &Arc<Endpoint>,
        outcome: &AttemptOutcome,
        waited: Duration,
    ) {
        let now = self.gw.lifecycle.now();
        match outcome {
            AttemptOutcome::Response(response) => {
                self.gw.directory.record_match(&self.service);
                self.gw.record_endpoint_alive(endpoint);
                endpoint.record_taken_on(now);
                endpoint
                    .load()
                    .record_answer(response.parts.status.is_server_error());
            }
            AttemptOutcome::NotRun(NotRun::Refused(MISDIRECTED_STATUS)) => {
                self.gw
                    .record_crash_evidence(&endpoint.id, Evidence::Replaced);
                endpoint.mark_replaced();
                self.gw.directory.record_replaced(&self.service);
                self.gw.list_mismatch.notify_one();
            }
            AttemptOutcome::NotRun(NotRun::NotAccepting | NotRun::Withheld(_)) => {}
            AttemptOutcome::NotRun(NotRun::Refused(_)) => {
                endpoint.load().record_full(now, FULL_ENDPOINT_PAUSE);
            }
            AttemptOutcome::NotRun(NotRun::Unreachable(reason)) => {
                self.record_endpoint_failure(endpoint, reason);
            }
            // Not a sign of failure if the client's timeout is shorter than a normal response
            // takes.
            AttemptOutcome::Doubt(Doubt::Silent) if waited < self.route.target_latency => {}
            AttemptOutcome::Doubt(doubt) => {
                self.record_lost_response(
                    endpoint,
                    CrashedRun::BeforeOutput,
                    &format!("{doubt:?}"),
                );
            }
        }
    }

    /// Records that an endpoint lost the response to this request.
    pub fn record_lost_response(
        &mut self,
        endpoint: &Arc<Endpoint>,
        run: CrashedRun,
        reason: &str,
    ) {
        let parts = self.prompt_parts.iter().map(|(part, _)| *part);
        self.trace.record_lost_contents(self.request_digest, parts);
        self.record_endpoint_failure(endpoint, reason);
        let contents = self.contents().run_at(endpoint.content_scope);
        self.gw.record_lost_response(endpoint, &contents, run);
    }

    /// Records that an endpoint has answered this request completely.
    pub fn record_answered(&self, endpoint: &Endpoint, status: StatusCode) {
        self.gw.record_answered(self.request_digest);
        // An endpoint that answers with an error may not have run the request.
        if status.is_success() {
            self.record_survived_beginning(endpoint);
        }
    }

    /// Records that an endpoint has written more than the beginning of the response.
    pub fn record_survived_beginning(&self, endpoint: &Endpoint) {
        let run = self.contents().run_at(endpoint.content_scope);
        self.gw.record_shared_answered(&run.shared);
    }

    /// Records that an endpoint failed this request.
    pub fn record_endpoint_failure(&self, endpoint: &Endpoint, reason: &str) {
        endpoint.record_failure(self.gw.lifecycle.now(), &self.gw.log, reason);
    }
}
