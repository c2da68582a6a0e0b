//! Exchanges grant batches with the ledger. Only this task does so.

use std::time::Duration;

use anvil_world::prelude::*;
use anvilreel::event;
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::Gateway;
use crate::log_events as events;

/// Longest wait for the ledger's answer; afterwards the same batch is sent again.
const BATCH_WITHIN: Duration = Duration::from_millis(800);
/// Interval between checks whether a batch is due.
const LOOK: Duration = Duration::from_millis(125);
/// Minimum time between two batches, also if a request waits for tokens.
const URGENT: Duration = Duration::from_millis(10);

/// Exchanges batches for as long as the process runs.
pub async fn run(gw: &Gateway) {
    loop {
        exchange(gw).await;
        sleep(URGENT).await;
        if !gw.purse.is_urgent() {
            // The loop checks after each wake-up, so its reason does not matter.
            let _ = timeout(LOOK, gw.money_wanted.notified()).await;
        }
    }
}

/// Returns all grants to the ledger, as far as possible within this time.
pub async fn give_back(gw: &Gateway, within: Duration) {
    gw.purse.stop();
    let deadline = Instant::now() + within;
    while !gw.purse.is_empty() && Instant::now() < deadline {
        gw.money_wanted.notify_one();
        sleep(URGENT).await;
    }
}

async fn exchange(gw: &Gateway) {
    let Some(batch) = gw.purse.batch(gw.life.now()) else {
        return;
    };
    let command = Command::GrantBatch(batch);
    match gw.ledger.propose(command, BATCH_WITHIN).await {
        Ok(Answer::Grants(answer)) => {
            gw.fed();
            if !answer.opened.is_empty() || !answer.refused.is_empty() {
                event!(
                    gw.log, events::GATEWAY_GRANTS,
                    "opened" => format!("{:?}", opened(&answer.opened)),
                    "recalled" => answer.recalled.len(),
                    "refused" => format!("{:?}", answer.refused)
                );
            }
            if let Err(e) = gw.purse.answered(gw.life.now(), &answer) {
                event!(gw.log, events::GATEWAY_SETTLEMENT_REFUSED, "error" => e.to_string());
            }
        }
        Ok(Answer::Denied(denial)) => {
            if gw.purse.denied(gw.life.now(), &denial) {
                event!(gw.log, events::GATEWAY_FENCED, "why" => denial.to_string());
            }
        }
        // The same batch is sent again when it is due.
        Ok(_) | Err(_) => {}
    }
}

fn opened(grants: &[Grant]) -> Vec<(&BudgetId, Tokens)> {
    let each = grants.iter();
    each.map(|grant| (&grant.budget, grant.amount)).collect()
}
