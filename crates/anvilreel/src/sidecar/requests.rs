//! Answers requests of routers.

use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{SidecarReply, SidecarRequest};
use anvil_wire::{ReplySender, WireError};
use tokio::time::sleep;

use super::hub::Replies;
use super::{Core, orders};
use crate::metrics::RUNS_REFUSED;
use crate::runs::{Event, ReaderId};

/// Minimum interval between two load reports to one router.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Answers one request. A lost connection ends the answer, but never the run.
pub async fn handle_request(
    core: Arc<Core>,
    req: SidecarRequest,
    mut tx: ReplySender<SidecarReply>,
) {
    // An error means that the router has disconnected; its run continues, and the end is kept.
    let _ = match req {
        SidecarRequest::Order { fence, kind } => {
            let result = orders::execute(&core, fence, kind).await;
            tx.send(&SidecarReply::Ordered(result)).await
        }
        SidecarRequest::Watch => send_loads(&core, &mut tx).await,
        run_request => {
            let (reader, replies) = core.hub.open_reader(|reader| {
                // Unreachable default: orders and watches are handled above, all other requests are
                // about runs.
                Event::from_request(reader, run_request).unwrap_or(Event::Tick)
            });
            core.publish_run_count();
            let forwarded = forward_replies(&core, reader, replies, &mut tx).await;
            core.hub.close_reader(reader);
            core.publish_run_count();
            forwarded
        }
    };
}

/// Forwards replies as fast as the router reads them.
async fn forward_replies(
    core: &Core,
    reader: ReaderId,
    mut replies: Replies,
    tx: &mut ReplySender<SidecarReply>,
) -> Result<(), WireError> {
    loop {
        let reply = tokio::select! {
            reply = replies.recv() => reply,
            () = tx.cancelled() => return Ok(()),
        };
        let Some(reply) = reply else {
            return Ok(());
        };
        tx.send(&reply).await?;
        match reply {
            SidecarReply::Head(_) | SidecarReply::Frame(_) => {
                core.hub.feed(Event::ReaderReady { reader });
            }
            SidecarReply::Refused(_) => core.metrics.count(RUNS_REFUSED),
            _ => {}
        }
    }
}

async fn send_loads(core: &Core, tx: &mut ReplySender<SidecarReply>) -> Result<(), WireError> {
    let mut loads = core.loads.subscribe();
    loop {
        let load = loads.borrow_and_update().clone();
        tx.send(&SidecarReply::Load(load)).await?;
        sleep(LOAD_REPORT_INTERVAL).await;
        tokio::select! {
            changed = loads.changed() => if changed.is_err() { return Ok(()) },
            () = tx.cancelled() => return Ok(()),
        }
    }
}
