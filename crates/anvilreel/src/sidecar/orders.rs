//! Orders to the endpoint, and the fencing number that keeps stale ones out.
//!
//! Failure: a control instance that was isolated for a long time returns and sends an order that
//! was replaced in the meantime; some engines ignore the number and execute it, for example unload
//! a model that they should keep. The sidecar keeps the highest number it has seen and refuses
//! lower ones. After a restart it first learns the newest number from a majority of the ledger, so
//! that no stale order passes because of the lost state.

use anvil_wire::msg::{OrderResult, Query, QueryAnswer};
use anvil_world::command::{FenceNumber, OrderKind};
use bytes::Bytes;
use serde::Serialize;
use std::time::Duration;
use tokio::sync::Mutex;

use super::Core;
use super::http::CallPurpose;
use crate::event;
use crate::events;

/// Timeout of the query of the newest number.
const LEARN_TIMEOUT: Duration = Duration::from_secs(2);

/// The highest number seen; `None` until it was learned in this incarnation.
pub type HighestFence = Mutex<Option<FenceNumber>>;

#[derive(Serialize)]
struct EngineOrder<'a> {
    term: u64,
    index: u64,
    order: &'a OrderKind,
}

/// Executes an order unless its number is stale. One order at a time, so that they reach the
/// endpoint in the order of their numbers.
pub async fn execute(core: &Core, fence: FenceNumber, kind: OrderKind) -> OrderResult {
    let mut highest = core.highest.lock().await;
    let known = match *highest {
        Some(known) => known,
        None => match query_number(core).await {
            Some(learned) => learned,
            None => return OrderResult::NumberUnknown,
        },
    };
    if fence < known {
        *highest = Some(known);
        event!(core.log, events::SIDECAR_STALE_ORDER, "index" => fence.index);
        return OrderResult::Stale(known);
    }
    // Stored before the endpoint receives the order: even if it fails, no older one may pass.
    *highest = Some(fence);
    send_order(core, fence, &kind).await
}

async fn query_number(core: &Core) -> Option<FenceNumber> {
    let query = Query::Fencing(core.instance.id.clone());
    let answer = core.ledger.query(query, LEARN_TIMEOUT).await.ok()?;
    let QueryAnswer::Fencing(number) = answer else {
        return None;
    };
    event!(core.log, events::SIDECAR_NUMBER_LEARNED, "index" => number.index);
    Some(number)
}

async fn send_order(core: &Core, fence: FenceNumber, kind: &OrderKind) -> OrderResult {
    let order = EngineOrder {
        term: fence.term,
        index: fence.index,
        order: kind,
    };
    let Ok(body) = serde_json::to_vec(&order) else {
        return OrderResult::Failed;
    };
    let headers = [(
        "content-type".into(),
        Bytes::from_static(b"application/json"),
    )];
    match core
        .client
        .send(CallPurpose::Other, "POST", "/orders", &headers, body.into())
        .await
    {
        Ok(response) if response.status().is_success() => OrderResult::Done,
        Ok(response) if response.status().as_u16() == 409 => OrderResult::Stale(fence),
        _ => OrderResult::Failed,
    }
}
