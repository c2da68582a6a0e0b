//! Detects whether an endpoint that lost responses has crashed. [`anvil_policy::crash`] decides
//! which evidence counts.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::crash::{CrashWatch, Evidence, Lost};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use anvilreel::event;
use tokio::time::sleep;

use crate::content;
use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;
use crate::pool::ConnectError;

/// Pause before the probe, because a process that ends closes its sockets one after the other.
const LOOK_AFTER: Duration = Duration::from_millis(20);
/// Maximum number of request digests in one log line.
const MOST_NAMED: usize = 16;

impl Gateway {
    /// Records that an endpoint lost the response to a request. Ignored if it is leaving, since it
    /// may stop at any time.
    pub fn lost_at(
        self: &Arc<Self>,
        endpoint: &Arc<Endpoint>,
        content: RequestDigest,
        run: CrashedRun,
    ) {
        if endpoint.is_leaving() {
            return;
        }
        let now = self.life.now();
        let lost = self.crash_watch().lost(now, &endpoint.id, content, run);
        match lost {
            Lost::Wait => {}
            Lost::Look => {
                tokio::spawn(look(self.clone(), endpoint.clone()));
            }
            Lost::Crashed => {
                self.crashed_under(&endpoint.id, BTreeMap::from([(content, run)]), None);
            }
        }
    }

    /// Records that an endpoint has begun to respond, so it is alive.
    pub fn endpoint_lives(&self, endpoint: &Endpoint) {
        self.crash_watch().lives(&endpoint.id);
    }

    /// Records that an endpoint has answered a request completely.
    pub fn answered(&self, content: RequestDigest) {
        self.crash_watch().answered(self.life.now(), content);
        self.suspects.answered(content);
    }

    /// Records evidence that an endpoint's process has ended although it was not leaving.
    pub fn endpoint_crashed(&self, endpoint: &InstanceId, evidence: Evidence) {
        let contents = self.crash_watch().crashed(self.life.now(), endpoint);
        self.crashed_under(endpoint, contents, Some(evidence));
    }

    fn crashed_under(
        &self,
        endpoint: &InstanceId,
        contents: BTreeMap<RequestDigest, CrashedRun>,
        evidence: Option<Evidence>,
    ) {
        if contents.is_empty() {
            return;
        }
        self.metrics.count(metrics::CRASHES);
        let named = contents.keys().take(MOST_NAMED);
        let named: Vec<_> = named.map(|content| content::text(*content)).collect();
        event!(
            self.log, events::GATEWAY_ENDPOINT_CRASHED, "endpoint" => &**endpoint,
            "evidence" => evidence.map(|evidence| format!("{evidence:?}")),
            "requests" => contents.len(), "contents" => named.join(" ")
        );
        if self.suspects.crashed(endpoint, contents) {
            self.metrics.count(metrics::CRASHES_UNTOLD);
        }
    }

    /// Whether an endpoint answered a request shortly before.
    pub fn was_answered(&self, content: RequestDigest) -> bool {
        let now = self.life.now();
        self.crash_watch().was_answered(now, content)
    }

    fn crash_watch(&self) -> MutexGuard<'_, CrashWatch> {
        // Sound after a panic elsewhere: each entry is valid by itself.
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Probes whether an endpoint still listens. The new connection replaces the one that was lost.
async fn look(gw: Arc<Gateway>, endpoint: Arc<Endpoint>) {
    sleep(LOOK_AFTER).await;
    match endpoint.pool.connect().await {
        Ok(connection) => endpoint.pool.put(connection.sender, connection.watch, None),
        Err(ConnectError::Refused { source, .. })
            if source.kind() == ErrorKind::ConnectionRefused =>
        {
            gw.endpoint_crashed(&endpoint.id, Evidence::Refused);
        }
        // The endpoint may just be unreachable; the platform's list will show whether it is gone.
        Err(_) => {}
    }
}
