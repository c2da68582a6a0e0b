//! Orders to endpoints.

use std::time::{Duration, Instant, SystemTime};

use anvil_wire::Channel;
use anvil_wire::msg::{SidecarCall, SidecarReply, SidecarRequest};
use anvil_world::command::{FenceNumber, Order, OrderKind, change_id};
use anvil_world::prelude::*;
use snafu::ResultExt;

use super::error::SidecarSnafu;
use super::read::members;
use super::report::OrderReport;
use super::{Client, OperatorError};

/// Timeout of an order. Long, because loading a model's weights from the weight store takes
/// minutes.
const ORDER_TIMEOUT: Duration = Duration::from_mins(10);

/// Obtains the next fencing number from the ledger and sends the order to the sidecar.
pub async fn order(
    client: &Client,
    sidecar: InstanceId,
    kind: OrderKind,
) -> Result<OrderReport, OperatorError> {
    let started = Instant::now();
    let fence = next_fence_number(client, &sidecar, &kind).await?;
    let addr = sidecar_addr(client, &sidecar).await?;
    let req = SidecarRequest::Order { fence, kind };
    let call = Channel::new(addr);
    let reply = call.call::<SidecarCall>(&req, ORDER_TIMEOUT).await;
    let context = SidecarSnafu {
        sidecar: sidecar.clone(),
    };
    let SidecarReply::Ordered(result) = reply.context(context)? else {
        return Err(OperatorError::Unexpected);
    };
    Ok(OrderReport {
        sidecar,
        fence,
        result,
        took: started.elapsed(),
    })
}

async fn next_fence_number(
    client: &Client,
    sidecar: &InstanceId,
    kind: &OrderKind,
) -> Result<FenceNumber, OperatorError> {
    // The ledger does not deduplicate orders: resending only consumes another number, which is
    // harmless. The id is used only in the error message.
    let id = change_id(SystemTime::now(), "order");
    let order = Order {
        sidecar: sidecar.clone(),
        kind: kind.clone(),
    };
    match client.propose(&id, Command::Order(order)).await? {
        Answer::Fencing(fence) => Ok(fence),
        _ => Err(OperatorError::Unexpected),
    }
}

async fn sidecar_addr(
    client: &Client,
    sidecar: &InstanceId,
) -> Result<std::net::SocketAddr, OperatorError> {
    let members = members(client).await?;
    let member = members.get(sidecar);
    let addr = member.map(|member| member.instance.addr);
    addr.ok_or_else(|| OperatorError::NoInstance {
        id: sidecar.clone(),
    })
}
