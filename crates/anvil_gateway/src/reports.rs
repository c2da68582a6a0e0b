//! Tells the ledger what is seen here, one report after the other, until it has taken each.

use std::time::Duration;

use anvil_world::prelude::*;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// Longest wait for the ledger to take a report; afterwards it is sent again.
const TAKEN_WITHIN: Duration = Duration::from_secs(2);
/// Pause before a report is sent again.
const AGAIN: Duration = Duration::from_millis(100);

/// Sends what `next` has, whenever `wanted` is notified, for as long as the process lives. A report may come twice, and
/// `next` gives it until `taken` was told that the ledger has it.
pub async fn run(
    gw: &Gateway,
    wanted: &Notify,
    next: impl Fn() -> Option<Command>,
    taken: impl Fn(&Command),
) {
    loop {
        let Some(report) = next() else {
            wanted.notified().await;
            continue;
        };
        match gw.ledger.propose(report.clone(), TAKEN_WITHIN).await {
            Ok(_) => taken(&report),
            // What it says counts here meanwhile.
            Err(_) => sleep(AGAIN).await,
        }
    }
}
