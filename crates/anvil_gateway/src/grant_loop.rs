//! Exchanges grant batches with the ledger. Only this task does so.

use std::time::Duration;

use anvil_world::prelude::*;
use anvilreel::event;
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::Gateway;
use crate::log_events as events;

/// Longest wait for the ledger's answer; afterwards the same batch is sent again.
const BATCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between checks whether a batch is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(125);
/// Minimum time between two batches, also if a request waits for tokens.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Exchanges batches for as long as the process runs.
pub async fn run(gw: &Gateway) {
    loop {
        exchange_batch(gw).await;
        sleep(MIN_BATCH_INTERVAL).await;
        if !gw.grant_account.is_urgent() {
            // The loop checks after each wake-up, so its reason does not matter.
            let _ = timeout(CHECK_INTERVAL, gw.grants_wanted.notified()).await;
        }
    }
}

/// Returns all grants to the ledger, as far as possible within this time.
pub async fn return_grants(gw: &Gateway, within: Duration) {
    gw.grant_account.begin_drain();
    let deadline = Instant::now() + within;
    while !gw.grant_account.is_empty() && Instant::now() < deadline {
        gw.grants_wanted.notify_one();
        sleep(MIN_BATCH_INTERVAL).await;
    }
}

async fn exchange_batch(gw: &Gateway) {
    let Some(batch) = gw.grant_account.next_batch(gw.lifecycle.now()) else {
        return;
    };
    let command = Command::GrantBatch(batch);
    let sent_at = Instant::now();
    let proposed = gw.ledger.propose(command, BATCH_TIMEOUT).await;
    if proposed.is_ok() {
        let link = &gw.sockets.link;
        link.record_control_delay(sent_at.elapsed());
    }
    match proposed {
        Ok(Answer::Grants(answer)) => {
            gw.clear_starved();
            if !answer.opened.is_empty() || !answer.refused.is_empty() {
                event!(
                    gw.log, events::GATEWAY_GRANTS,
                    "opened" => format!("{:?}", summarize_opened(&answer.opened)),
                    "recalled" => answer.recalled.len(),
                    "refused" => format!("{:?}", answer.refused)
                );
            }
            if let Err(e) = gw.grant_account.apply_answer(gw.lifecycle.now(), &answer) {
                event!(gw.log, events::GATEWAY_SETTLEMENT_REFUSED, "error" => e.to_string());
            }
            if !answer.recalled.is_empty() {
                gw.charge_recalled_prompts();
            }
            log_scarcity(gw);
        }
        Ok(Answer::Denied(denial)) => {
            if gw.grant_account.apply_denial(gw.lifecycle.now(), &denial) {
                event!(gw.log, events::GATEWAY_FENCED, "why" => denial.to_string());
                gw.stop_holding_prompts();
            }
        }
        // The same batch is sent again when it is due.
        Ok(_) | Err(_) => {}
    }
}

fn log_scarcity(gw: &Gateway) {
    for change in gw.grant_account.take_scarcity_changes(gw.lifecycle.now()) {
        event!(
            gw.log, events::GATEWAY_BUDGET_SCARCE,
            "budget" => change.budget.to_string(), "scarce" => change.is_scarce,
            "free" => change.free
        );
    }
}

fn summarize_opened(grants: &[Grant]) -> Vec<(&BudgetId, Tokens)> {
    let grants = grants.iter();
    grants.map(|grant| (&grant.budget, grant.amount)).collect()
}
