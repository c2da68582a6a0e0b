//! Shares of overloaded services: orders that set them, and those in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::command::SetShare;
use anvil_world::prelude::*;

use super::change::{new_change_id, propose_change, wait_in_force};
use super::{Client, CommittedChange, OperatorError};

/// Timeout of the query for the shares in force. A leader of an earlier build does not answer it,
/// which must not delay the rest of the status.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the factors in force; `None` if the leader does not answer the query.
pub(super) async fn shares(client: &Client) -> Option<BTreeMap<String, f64>> {
    let timeout = QUERY_TIMEOUT.min(client.timeout());
    let client = client.clone().with_timeout(timeout);
    let Ok(QueryAnswer::Shares(shares)) = client.query(Query::Shares).await else {
        return None;
    };
    let all = shares.all().iter();
    Some(
        all.map(|(target, factor)| (target.to_string(), factor.get()))
            .collect(),
    )
}

/// Sets the share of an organisation or a route, then waits until that is in force everywhere or
/// the client's timeout has passed. A factor of 1 ends the order. Idempotent: under the same id an
/// order is applied only once.
pub async fn set_share(
    client: &Client,
    target: ShareTarget,
    factor: ShareFactor,
    reason: Arc<str>,
    id: Option<ChangeId>,
) -> Result<CommittedChange, OperatorError> {
    let id = id.unwrap_or_else(new_change_id);
    let order = SetShare {
        id: id.clone(),
        operator: client.operator().clone(),
        target,
        factor,
        before: ShareFactor::ONE,
        reason,
        at: SystemTime::now(),
    };
    let receipt = propose_change(client, &id, Command::SetShare(order)).await?;
    let spread = wait_in_force(client, receipt.revision).await?;
    Ok(CommittedChange { receipt, spread })
}
