//! The only task that exchanges grant batches with the ledger: one batch a second, sooner when a
//! request could not reserve its tokens.

use std::time::Duration;

use anvil_world::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use super::Core;
use crate::event;
use crate::events;

/// Timeout for the ledger's answer to a batch; the same batch is then sent again.
const BATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the loop checks whether a batch is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum pause between two batches, also while a request waits for a grant.
const MIN_BATCH_PAUSE: Duration = Duration::from_millis(5);

/// Exchanges batches for as long as the process runs.
pub async fn run(core: &Core) {
    loop {
        exchange_batch(core).await;
        sleep(MIN_BATCH_PAUSE).await;
        if !core.grant_account.is_urgent() {
            // Both wake-ups are followed by the same check, so it does not matter which one
            // occurred.
            let _ = timeout(POLL_INTERVAL, core.batch_wanted.notified()).await;
        }
    }
}

/// Returns every grant to the ledger, within this time.
pub async fn return_grants(core: &Core, within: Duration) {
    core.grant_account.begin_drain();
    let deadline = Instant::now() + within;
    while !core.grant_account.is_empty() && Instant::now() < deadline {
        core.batch_wanted.notify_one();
        sleep(POLL_INTERVAL).await;
    }
}

async fn exchange_batch(core: &Core) {
    let Some(batch) = core.grant_account.next_batch(core.lifecycle.now()) else {
        return;
    };
    let command = Command::GrantBatch(batch);
    match core.ledger.propose(command, BATCH_TIMEOUT).await {
        Ok(Answer::Grants(answer)) => {
            if let Err(e) = core
                .grant_account
                .apply_answer(core.lifecycle.now(), &answer)
            {
                event!(core.log, events::ROUTER_SETTLEMENT_REFUSED, "error" => e.to_string());
            }
        }
        Ok(Answer::Denied(denial)) => {
            if core
                .grant_account
                .apply_denial(core.lifecycle.now(), &denial)
            {
                event!(core.log, events::ROUTER_FENCED);
            }
        }
        // The grant account returns the same batch again when it is due.
        Ok(_) | Err(_) => {}
    }
}
