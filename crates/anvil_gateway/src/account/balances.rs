//! Reads the balances of budgets from the ledger, for the decision how much is held for an outage.

use std::time::Duration;

use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::prelude::*;
use anvilreel::ledger_client::LedgerClient;
use anvilreel::lifecycle::Lifecycle;
use anvilreel::metrics::Metrics;
use anvilreel::money::GrantAccount;
use tokio::time::sleep;

use crate::metrics::BALANCE_READS_FAILED;

/// Interval between two reads: a budget's spending is averaged over many of them.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for an answer, which is of no use once the next read is due.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of budgets in one read.
const MAX_BUDGETS: usize = 64;
/// Maximum bytes of their names, so that query and answer stay below 4 KB.
const MAX_NAME_BYTES: usize = 2_500;

/// Reads balances for as long as the process runs; not at all if no tokens are held for an outage.
pub async fn run(
    ledger: &LedgerClient,
    account: &GrantAccount,
    lifecycle: &Lifecycle,
    metrics: &Metrics,
) {
    if !account.covers_outages() {
        return;
    }
    let mut last_read = None;
    loop {
        sleep(READ_INTERVAL).await;
        let budgets = account.budgets_in_demand(lifecycle.now());
        let page = next_page(&budgets, last_read.as_ref());
        if page.is_empty() {
            continue;
        }
        last_read = page.last().cloned();
        match ledger.query(Query::Balances(page), READ_TIMEOUT).await {
            Ok(QueryAnswer::Balances(balances)) => {
                account.record_balances(lifecycle.now(), &balances);
            }
            // Not logged: an outage, or a replica of a previous build, fails every read.
            Ok(_) | Err(_) => metrics.count(BALANCE_READS_FAILED),
        }
    }
}

/// The budgets to be read next: those that follow `last_read` in order, and then the first ones.
pub fn next_page(budgets: &[BudgetId], last_read: Option<&BudgetId>) -> Vec<BudgetId> {
    let start = last_read.map_or(0, |last| budgets.partition_point(|id| id <= last));
    let (before, after) = budgets.split_at(start);
    let mut bytes = 0;
    let fits = |id: &&BudgetId| {
        bytes += id.len();
        bytes <= MAX_NAME_BYTES
    };
    let page = after.iter().chain(before).take(MAX_BUDGETS);
    page.take_while(fits).cloned().collect()
}
