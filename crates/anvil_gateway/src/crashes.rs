//! Finds out whether an endpoint that lost answers has crashed. What that rests on is decided in
//! [`anvil_policy::crash`].

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

/// Pause before the look: a process that ends closes its sockets one after the other.
const LOOK_AFTER: Duration = Duration::from_millis(20);
/// Contents named in one log line.
const MOST_NAMED: usize = 16;

impl Gateway {
    /// A request's answer was lost at an endpoint. One that is leaving may end in its own time.
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

    /// An endpoint begins to answer.
    pub fn endpoint_lives(&self, endpoint: &Endpoint) {
        self.crash_watch().lives(&endpoint.id);
    }

    /// An endpoint has answered a request to the end.
    pub fn answered(&self, content: RequestDigest) {
        self.crash_watch().answered(self.life.now(), content);
        self.suspects.answered(content);
    }

    /// There is evidence that an endpoint's process has ended though it wasn't leaving.
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

    /// Whether an endpoint has answered a request a moment before.
    pub fn was_answered(&self, content: RequestDigest) -> bool {
        let now = self.life.now();
        self.crash_watch().was_answered(now, content)
    }

    fn crash_watch(&self) -> MutexGuard<'_, CrashWatch> {
        // A panic elsewhere leaves ids and times, each of them true.
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Looks whether an endpoint still listens. The connection takes the place of the one that was lost.
async fn look(gw: Arc<Gateway>, endpoint: Arc<Endpoint>) {
    sleep(LOOK_AFTER).await;
    match endpoint.pool.connect().await {
        Ok(connection) => endpoint.pool.put(connection.sender, connection.watch, None),
        Err(ConnectError::Refused { source, .. })
            if source.kind() == ErrorKind::ConnectionRefused =>
        {
            gw.endpoint_crashed(&endpoint.id, Evidence::Refused);
        }
        // It may only be cut off: the platform's list tells.
        Err(_) => {}
    }
}
