//! Signs of life that a process gives the ledger, so that the others know of it.

use std::time::Duration;

use anvil_wire::msg::Heartbeat;
use anvil_world::prelude::*;
use tokio::time::sleep;

use crate::ledger_client::LedgerClient;
use crate::life::Life;

/// Time between two signs of life. The ledger holds an instance to be silent after five of them.
const EVERY: Duration = Duration::from_secs(1);

/// Gives a sign of life every second, for as long as the process lives. It tells of no version in
/// force: those who are asked for one give their signs of life themselves.
pub async fn run(ledger: &LedgerClient, life: &Life, instance: &Instance) {
    loop {
        let heartbeat = Heartbeat {
            instance: instance.clone(),
            version: 0,
            evidence: Vec::new(),
            leaving: life.is_leaving(),
        };
        // A lost sign of life is followed by the next one.
        let _ = ledger.heartbeat(heartbeat, EVERY).await;
        sleep(EVERY).await;
    }
}
