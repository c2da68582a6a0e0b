//! Connects to the ledger: follows its state and sends heartbeats.

use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{FollowScope, Heartbeat, LedgerReply};
use anvil_world::prelude::*;
use tokio::time::{sleep, timeout};

use super::Core;
use crate::event;
use crate::events;
use crate::held::Held;
use crate::runs::Event;

/// Interval of heartbeats; also the time-out of one.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// A followed replica that sends nothing for this time is left for another one.
const SILENCE: Duration = Duration::from_secs(3);
/// How much longer a non-idempotent key is remembered than the ledger keeps its claim.
const REMEMBER_LONGER: Duration = Duration::from_hours(1);
/// Pause before another replica is followed.
const AGAIN: Duration = Duration::from_millis(100);

/// Follows one replica after the other, for as long as the process runs.
pub async fn follow(core: &Core) {
    let mut held = Held::default();
    let mut in_touch = true;
    // Sidecars start at different replicas, so that no single replica has to serve all of them.
    let mut replica = usize::try_from(core.instance.incarnation % 7).unwrap_or(0);
    loop {
        let heard = follow_one(core, replica, &mut held).await;
        if !heard && in_touch {
            event!(core.log, events::SIDECAR_OUT_OF_TOUCH);
        }
        in_touch = heard;
        replica += 1;
        sleep(AGAIN).await;
    }
}

async fn follow_one(core: &Core, replica: usize, held: &mut Held) -> bool {
    let id = core.instance.id.clone();
    let opening = core
        .ledger
        .follow(replica, id, FollowScope::Sidecar, held.version);
    let Ok(Ok(mut replies)) = timeout(SILENCE, opening).await else {
        return false;
    };
    let mut heard = false;
    while let Ok(Ok(Some(LedgerReply::Follow(event)))) = timeout(SILENCE, replies.next()).await {
        heard = true;
        if held.apply(event) {
            take_in(core, held);
        }
    }
    heard
}

/// Sends a heartbeat every second, with the charge evidence of fenced routers.
pub async fn beat(core: &Core) {
    loop {
        let heartbeat = Heartbeat {
            instance: core.present_instance(),
            version: core.gate.held.load().version,
            evidence: core.hub.evidence(),
            leaving: core.gate.is_leaving(),
        };
        // A lost heartbeat is not retried; the next one follows.
        if let Ok(reply) = core.ledger.heartbeat(heartbeat, HEARTBEAT).await {
            core.hub.evidence_taken(&reply.taken);
            if reply.presence == Presence::Gone && core.life.end() {
                event!(core.log, events::SIDECAR_GONE);
            }
        }
        core.hub.feed(Event::Tick);
        sleep(HEARTBEAT).await;
    }
}

/// Applies a new state of the ledger: fences, the retention of keys, and whether the endpoint is
/// leaving.
fn take_in(core: &Core, held: &Held) {
    let before = core.gate.held.swap(Arc::new(held.clone()));
    for (router, incarnation) in &held.fenced {
        if before.fenced.get(router) != Some(incarnation) {
            let router = router.to_string();
            event!(core.log, events::SIDECAR_FENCED_ROUTER, "router" => router);
        }
        core.hub.feed(Event::Fenced {
            router: router.clone(),
            incarnation: *incarnation,
        });
    }
    let fleet = held.tree.get(&TreePath::Fleet);
    let fleet = fleet.map(|entry| Document::check(&TreePath::Fleet, &entry.text));
    if let Some(Ok(Document::Fleet(fleet))) = fleet {
        core.hub
            .feed(Event::OnceRetention(fleet.keep_claims + REMEMBER_LONGER));
    }
    core.show_leaving();
}
