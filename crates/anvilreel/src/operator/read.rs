//! Queries: documents, budgets, the audit trail and the state of the fleet.

use std::collections::BTreeMap;

use anvil_wire::msg::{AuditFilter, BudgetView, Query, QueryAnswer};
use anvil_world::prelude::*;
use similar::TextDiff;

use super::change::query_rollout;
use super::quarantine::quarantined;
use super::report::{AuditReport, BudgetReport, DiffReport, StatusReport, TreeReport};
use super::share::shares;
use super::{Client, OperatorError};

/// Prefix of the paths of all zones' documents.
const ZONES_PREFIX: &str = "zones/";
/// Number of budgets requested at a time.
const PAGE_SIZE: u32 = 1_000;

/// Reads the documents whose path starts with this text.
pub async fn get(client: &Client, prefix: &str) -> Result<TreeReport, OperatorError> {
    match client.query(Query::Tree(prefix.into())).await? {
        QueryAnswer::Tree(tree) => Ok(TreeReport(tree)),
        _ => Err(OperatorError::Unexpected),
    }
}

/// Reads one document, if it exists.
pub(super) async fn read_document(
    client: &Client,
    path: &TreePath,
) -> Result<Option<TreeEntry>, OperatorError> {
    let TreeReport(mut tree) = get(client, &path.to_string()).await?;
    Ok(tree.remove(path))
}

/// Compares a text with the document in the tree.
pub async fn diff(
    client: &Client,
    path: TreePath,
    text: &str,
) -> Result<DiffReport, OperatorError> {
    let entry = read_document(client, &path).await?;
    let revision = entry.as_ref().map_or(0, |entry| entry.revision);
    let old = entry.map(|entry| entry.text).unwrap_or_default();
    let diff = TextDiff::from_lines(&*old, text);
    let name = path.to_string();
    let diff = diff.unified_diff().header(&name, "file").to_string();
    Ok(DiffReport {
        path,
        revision,
        diff,
    })
}

/// Reads one budget, or all of them.
pub async fn budgets(
    client: &Client,
    one: Option<BudgetId>,
) -> Result<BudgetReport, OperatorError> {
    if let Some(id) = one {
        return Ok(BudgetReport(
            query_budgets(client, Query::Budget(id)).await?,
        ));
    }
    let mut all: Vec<BudgetView> = Vec::new();
    loop {
        let after = all.last().map(|view| view.id.clone());
        let query = Query::Budgets {
            after,
            limit: PAGE_SIZE,
        };
        let more = query_budgets(client, query).await?;
        if more.is_empty() {
            return Ok(BudgetReport(all));
        }
        all.extend(more);
    }
}

async fn query_budgets(client: &Client, query: Query) -> Result<Vec<BudgetView>, OperatorError> {
    match client.query(query).await? {
        QueryAnswer::Budgets(views) => Ok(views),
        _ => Err(OperatorError::Unexpected),
    }
}

/// Reads lines of the audit trail.
pub async fn audit(client: &Client, filter: AuditFilter) -> Result<AuditReport, OperatorError> {
    match client.query(Query::Audit(filter)).await? {
        QueryAnswer::Audit(lines) => Ok(AuditReport(lines)),
        _ => Err(OperatorError::Unexpected),
    }
}

/// Reads all members, including those that are gone.
pub async fn members(client: &Client) -> Result<BTreeMap<InstanceId, Member>, OperatorError> {
    match client.query(Query::Members).await? {
        QueryAnswer::Members(members) => Ok(members),
        _ => Err(OperatorError::Unexpected),
    }
}

fn is_evacuated((path, entry): &(TreePath, TreeEntry)) -> bool {
    let document = Document::check(path, &entry.text);
    matches!(document, Ok(Document::Zone(zone)) if zone.evacuated)
}

/// Reads the state of the ledger and of the fleet.
pub async fn status(client: &Client) -> Result<StatusReport, OperatorError> {
    let QueryAnswer::Status(ledger) = client.query(Query::Status).await? else {
        return Err(OperatorError::Unexpected);
    };
    let spread = query_rollout(client, ledger.version).await?;
    let members = members(client).await?;
    let TreeReport(zones) = get(client, ZONES_PREFIX).await?;
    Ok(StatusReport {
        ledger,
        spread,
        evacuated: zones.into_iter().filter(is_evacuated).collect(),
        quarantined: quarantined(client).await,
        shares: shares(client).await,
        members,
    })
}
