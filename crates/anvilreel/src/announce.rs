//! Signs of life that a process gives the ledger, so that the others know of it.

use std::time::Duration;

use anvil_wire::msg::Heartbeat;
use anvil_world::prelude::*;
use tokio::time::sleep;

use crate::ledger_client::LedgerClient;
use crate::life::Life;

/// Time between two signs of life. The ledger holds an instance to be silent after five of them.
const EVERY: Duration = Duration::from_secs(1);

/// Gives a sign of life every second, for as long as the process lives. `version` is what the
/// process has in force of the ledger's state.
pub async fn run(
    ledger: &LedgerClient,
    life: &Life,
    instance: &Instance,
    version: impl Fn() -> LogIndex,
) {
    loop {
        let heartbeat = Heartbeat {
            instance: instance.clone(),
            version: version(),
            evidence: Vec::new(),
            leaving: life.is_leaving(),
        };
        // A lost sign of life is followed by the next one.
        let _ = ledger.heartbeat(heartbeat, EVERY).await;
        sleep(EVERY).await;
    }
}
