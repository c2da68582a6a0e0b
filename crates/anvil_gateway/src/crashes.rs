//! Detects whether an endpoint that lost responses has crashed. [`anvil_policy::crash`] decides
//! which evidence counts.

use std::io::ErrorKind;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::crash::{CrashWatch, Evidence, LostAnswerAction, RunContents};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use anvilreel::event;
use tokio::time::sleep;

use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;
use crate::pool::ConnectError;
use crate::request_digest;
use crate::send::new_connection::open_connection;

/// Pause before a check, because a process that ends closes its sockets one after the other.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of request digests in one log line.
const MAX_LOGGED_DIGESTS: usize = 16;

impl Gateway {
    /// Records that an endpoint lost the response to a request. Ignored if it is leaving, since it
    /// may stop at any time.
    pub fn record_lost_response(
        self: &Arc<Self>,
        endpoint: &Arc<Endpoint>,
        contents: &RunContents,
        progress: CrashedRun,
    ) {
        if endpoint.is_leaving() {
            return;
        }
        let now = self.lifecycle.now();
        let action = self
            .crash_watch()
            .record_lost_answer(now, &endpoint.id, contents, progress);
        match action {
            LostAnswerAction::Wait => {}
            LostAnswerAction::Probe => {
                tokio::spawn(probe(self.clone(), endpoint.clone()));
            }
            LostAnswerAction::Crashed => {
                self.report_crash(&endpoint.id, None);
            }
        }
    }

    /// Records that an endpoint closed an idle connection before its idle time.
    pub fn record_early_close(self: &Arc<Self>, endpoint: &Arc<Endpoint>) {
        let warms_up = self.warm_up_terms(&endpoint.service).is_some();
        // The last one to be closed counts for all.
        if warms_up && !endpoint.pool.has_kept() {
            tokio::spawn(check_for_restart(self.clone(), endpoint.clone()));
        }
    }

    /// Records that an endpoint has begun to respond, so it is alive.
    pub fn record_endpoint_alive(&self, endpoint: &Endpoint) {
        self.crash_watch().record_alive(&endpoint.id);
        let now = self.lifecycle.now();
        endpoint.warm_up().view().record_answer(now);
    }

    /// Records that an endpoint has answered a request completely.
    pub fn record_answered(&self, digest: ContentDigest) {
        self.crash_watch()
            .record_answer(self.lifecycle.now(), digest);
        self.suspects.record_answered(digest);
    }

    /// Records that an endpoint survived the beginning of its answer to a request with these shared
    /// contents.
    pub fn record_shared_answered(&self, contents: &[ContentDigest]) {
        self.crash_watch()
            .record_shared_answers(self.lifecycle.now(), contents);
        for content in contents {
            self.suspects.record_answered(*content);
        }
    }

    /// Records evidence that an endpoint's process has ended although it was not leaving.
    pub fn record_crash_evidence(&self, endpoint: &InstanceId, evidence: Evidence) {
        self.report_crash(endpoint, Some(evidence));
    }

    fn report_crash(&self, endpoint: &InstanceId, evidence: Option<Evidence>) {
        let now = self.lifecycle.now();
        let digests = self.crash_watch().record_crash(now, endpoint);
        if digests.is_empty() {
            return;
        }
        self.metrics.count(metrics::ENDPOINT_CRASHES);
        let logged = digests.keys().take(MAX_LOGGED_DIGESTS);
        let logged: Vec<_> = logged
            .map(|digest| request_digest::to_hex(*digest))
            .collect();
        event!(
            self.log, events::GATEWAY_ENDPOINT_CRASHED, "endpoint" => &**endpoint,
            "evidence" => evidence.map(|evidence| format!("{evidence:?}")),
            "requests" => digests.len(), "contents" => logged.join(" ")
        );
        if self.suspects.record_crash(endpoint, digests) {
            self.metrics.count(metrics::CRASHES_UNREPORTED);
        }
        // One that is no longer listed is named by the gateways that noticed its crash earlier.
        if let Some(known) = self.directory.find(endpoint) {
            self.suspects.report_service(&known.service, endpoint);
        }
    }

    /// Whether a shared content was answered here, at its service and software version.
    pub fn was_shared_answered(&self, content: ContentDigest) -> bool {
        let now = self.lifecycle.now();
        self.crash_watch().was_shared_answered(now, content)
    }

    /// Whether an earlier answer here clears a content that is suspected now.
    pub fn clears(&self, content: ContentDigest) -> bool {
        let now = self.lifecycle.now();
        self.crash_watch().clears(now, content)
    }

    fn crash_watch(&self) -> MutexGuard<'_, CrashWatch> {
        // Sound after a panic elsewhere: each entry is valid by itself.
        self.crash_watch
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts an endpoint that closed its idle connections early as restarted, if it has closed all
/// connections and no request is in flight there that would show whether it is alive.
///
/// Failure: an endpoint crashes and restarts under the same id before the list shows it. A gateway
/// that did not try it meanwhile sends it more than it tolerates while it warms up.
async fn check_for_restart(gw: Arc<Gateway>, endpoint: Arc<Endpoint>) {
    sleep(PROBE_DELAY).await;
    let is_in_use = endpoint.pool.has_open() || endpoint.load().running > 0;
    if is_in_use || endpoint.is_leaving() {
        return;
    }
    gw.suspect_restart(&endpoint);
    // It may still be down when the next list is read.
    probe(gw, endpoint).await;
}

/// Probes whether an endpoint still listens. The new connection replaces the one that was lost.
async fn probe(gw: Arc<Gateway>, endpoint: Arc<Endpoint>) {
    sleep(PROBE_DELAY).await;
    match open_connection(&gw, &endpoint).await {
        Ok(connection) => endpoint.pool.put(connection.sender, connection.watch, None),
        Err(ConnectError::Refused { source, .. })
            if source.kind() == ErrorKind::ConnectionRefused =>
        {
            gw.record_unreachable(&endpoint);
            gw.record_crash_evidence(&endpoint.id, Evidence::Refused);
        }
        // The endpoint may just be unreachable; the platform's list will show whether it is gone.
        Err(_) => {}
    }
}
