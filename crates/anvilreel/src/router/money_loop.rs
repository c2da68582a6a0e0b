//! The one task that talks to the ledger about money: a batch a second, sooner when one lacks.

use std::time::Duration;

use anvil_world::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use super::Core;
use crate::event;
use crate::events;

/// Longest wait for the ledger's answer to a batch; afterwards the same batch is sent again.
const BATCH_WITHIN: Duration = Duration::from_secs(1);
/// Time between two looks at whether a batch is due.
const LOOK: Duration = Duration::from_millis(100);
/// Least time between two batches, also when a request waits for money.
const URGENT: Duration = Duration::from_millis(5);

/// Exchanges batches, for as long as the process lives.
pub async fn run(core: &Core) {
    loop {
        exchange(core).await;
        sleep(URGENT).await;
        if !core.purse.is_urgent() {
            // Either wake-up is followed by a look, so it does not matter which one it was.
            let _ = timeout(LOOK, core.money_wanted.notified()).await;
        }
    }
}

/// Gives every grant back, within this time.
pub async fn give_back(core: &Core, within: Duration) {
    core.purse.stop();
    let deadline = Instant::now() + within;
    while !core.purse.is_empty() && Instant::now() < deadline {
        core.money_wanted.notify_one();
        sleep(LOOK).await;
    }
}

async fn exchange(core: &Core) {
    let Some(batch) = core.purse.batch(core.life.now()) else {
        return;
    };
    let command = Command::GrantBatch(batch);
    match core.ledger.propose(command, BATCH_WITHIN).await {
        Ok(Answer::Grants(answer)) => {
            if let Err(e) = core.purse.answered(core.life.now(), &answer) {
                event!(core.log, events::ROUTER_SETTLEMENT_REFUSED, "error" => e.to_string());
            }
        }
        Ok(Answer::Denied(denial)) => {
            if core.purse.denied(core.life.now(), &denial) {
                event!(core.log, events::ROUTER_FENCED);
            }
        }
        // The purse gives the same batch again when it is due.
        Ok(_) | Err(_) => {}
    }
}
