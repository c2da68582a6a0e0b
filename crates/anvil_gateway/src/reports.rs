//! Delivers observations to the ledger, one report at a time, each until it is accepted.

use std::time::Duration;

use anvil_world::prelude::*;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// Longest wait for the ledger to accept a report.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a report is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Sends the reports that `next_report` returns, whenever `report_wanted` is notified, for as long as the process
/// runs. `next_report` returns the same report until `mark_accepted` was called with it, so the ledger may receive
/// a report twice.
pub async fn run(
    gw: &Gateway,
    report_wanted: &Notify,
    next_report: impl Fn() -> Option<Command>,
    mark_accepted: impl Fn(&Command),
) {
    loop {
        let Some(report) = next_report() else {
            report_wanted.notified().await;
            continue;
        };
        match gw.ledger.propose(report.clone(), ACCEPT_TIMEOUT).await {
            Ok(_) => mark_accepted(&report),
            // The report is applied locally in the meantime.
            Err(_) => sleep(RESEND_PAUSE).await,
        }
    }
}
