//! Shares of overloaded services: orders that set them, and those in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::SystemTime;

use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::command::SetShare;
use anvil_world::prelude::*;

use super::change::{change_everywhere, new_change_id};
use super::{Client, CommittedChange, OperatorError};

/// Reads the factors in force; `None` if the leader does not answer the query.
pub(super) async fn shares(client: &Client) -> Option<BTreeMap<String, f64>> {
    let QueryAnswer::Shares(shares) = client.query_new(Query::Shares).await? else {
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
    change_everywhere(client, &id, Command::SetShare(order)).await
}
