//! Connects to the ledger: follows its state and sends heartbeats.

use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{FollowScope, Heartbeat, LedgerReply};
use anvil_world::prelude::*;
use tokio::time::{sleep, timeout};

use super::Core;
use crate::event;
use crate::events;
use crate::ledger_view::LedgerView;
use crate::runs::Event;

/// Interval of heartbeats; also the timeout of one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A followed replica that sends nothing for this time is left for another one.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(3);
/// How much longer a non-idempotent key is remembered than the ledger keeps its claim.
const ONCE_RETENTION_MARGIN: Duration = Duration::from_hours(1);
/// Pause before another replica is followed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Follows one replica after the other, for as long as the process runs.
pub async fn follow(core: &Core) {
    let mut ledger_view = LedgerView::default();
    let mut connected = true;
    // Sidecars start at different replicas, so that no single replica has to serve all of them.
    let mut replica = usize::try_from(core.instance.incarnation % 7).unwrap_or(0);
    loop {
        let received = follow_replica(core, replica, &mut ledger_view).await;
        if !received && connected {
            event!(core.log, events::SIDECAR_OUT_OF_TOUCH);
        }
        connected = received;
        replica += 1;
        sleep(RECONNECT_PAUSE).await;
    }
}

async fn follow_replica(core: &Core, replica: usize, ledger_view: &mut LedgerView) -> bool {
    let id = core.instance.id.clone();
    let opening = core
        .ledger
        .follow(replica, id, FollowScope::Sidecar, ledger_view.version);
    let Ok(Ok(mut replies)) = timeout(REPLICA_TIMEOUT, opening).await else {
        return false;
    };
    let mut received = false;
    while let Ok(Ok(Some(LedgerReply::Follow(event)))) =
        timeout(REPLICA_TIMEOUT, replies.next()).await
    {
        received = true;
        if ledger_view.apply(event) {
            apply_state(core, ledger_view);
        }
    }
    received
}

/// Sends a heartbeat every second, with the charge evidence of fenced routers.
pub async fn heartbeat(core: &Core) {
    loop {
        let heartbeat = Heartbeat {
            instance: core.current_instance(),
            version: core.admission.ledger_view.load().version,
            evidence: core.hub.evidence(),
            leaving: core.admission.is_leaving(),
        };
        // A lost heartbeat is not retried; the next one follows.
        if let Ok(reply) = core.ledger.heartbeat(heartbeat, HEARTBEAT_INTERVAL).await {
            core.hub.acknowledge_evidence(&reply.taken);
            if reply.presence == Presence::Gone && core.lifecycle.end_incarnation() {
                event!(core.log, events::SIDECAR_GONE);
            }
        }
        core.hub.feed(Event::Tick);
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Applies a new state of the ledger: fences, the retention of keys, and whether the endpoint is
/// leaving.
fn apply_state(core: &Core, ledger_view: &LedgerView) {
    let before = core
        .admission
        .ledger_view
        .swap(Arc::new(ledger_view.clone()));
    for (router, incarnation) in &ledger_view.fenced {
        if before.fenced.get(router) != Some(incarnation) {
            let router = router.to_string();
            event!(core.log, events::SIDECAR_FENCED_ROUTER, "router" => router);
        }
        core.hub.feed(Event::Fenced {
            router: router.clone(),
            incarnation: *incarnation,
        });
    }
    let fleet = ledger_view.tree.get(&TreePath::Fleet);
    let fleet = fleet.map(|entry| Document::check(&TreePath::Fleet, &entry.text));
    if let Some(Ok(Document::Fleet(fleet))) = fleet {
        core.hub.feed(Event::OnceRetention(
            fleet.keep_claims + ONCE_RETENTION_MARGIN,
        ));
    }
    core.publish_accepting();
}
