//! Periodic heartbeats from a process to the ledger, which keep it in the membership.

use std::time::Duration;

use anvil_wire::msg::Heartbeat;
use anvil_world::prelude::*;
use tokio::time::sleep;

use crate::ledger_client::LedgerClient;
use crate::lifecycle::Lifecycle;

/// Time between two heartbeats. The ledger marks an instance as unresponsive after five missed
/// ones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Sends a heartbeat every second, for as long as the process runs. `version` returns the version of
/// the ledger's state that the process has in force; 0 for a role that applies no settings.
pub async fn run(
    ledger: &LedgerClient,
    lifecycle: &Lifecycle,
    instance: &Instance,
    version: impl Fn() -> LogIndex,
) {
    loop {
        let heartbeat = Heartbeat {
            instance: instance.clone(),
            version: version(),
            evidence: Vec::new(),
            leaving: lifecycle.is_draining(),
        };
        // No retry: the next heartbeat makes up for a lost one.
        let _ = ledger.heartbeat(heartbeat, HEARTBEAT_INTERVAL).await;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}
