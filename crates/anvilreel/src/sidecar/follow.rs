//! Keeps what the gate knows current, and tells the ledger that the sidecar lives.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{Evidence, Heartbeat, Interest, KeyCharge, LedgerReply};
use anvil_world::prelude::*;
use tokio::time::{sleep, timeout};

use super::Core;
use crate::event;
use crate::events;
use crate::held::Held;

/// Time between two signs of life.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Longest wait for anything from a followed replica before another one is tried.
const SILENCE: Duration = Duration::from_secs(3);
/// Pause before another replica is followed.
const AGAIN: Duration = Duration::from_millis(100);

/// Follows one replica after the other, for as long as the process lives.
pub async fn follow(core: &Core) {
    let mut held = Held::default();
    let mut in_touch = true;
    // Sidecars start at different replicas, so that no replica spreads to all of them.
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
        .follow(replica, id, Interest::Sidecar, held.version);
    let Ok(Ok(mut replies)) = timeout(SILENCE, opening).await else {
        return false;
    };
    let mut heard = false;
    while let Ok(Ok(Some(LedgerReply::Follow(event)))) = timeout(SILENCE, replies.next()).await {
        heard = true;
        if held.apply(event) {
            core.gate.held.store(Arc::new(held.clone()));
            core.show_leaving();
        }
    }
    heard
}

/// Sends a sign of life every second, with the evidence of fenced routers.
pub async fn beat(core: &Core) {
    let mut taken = BTreeSet::new();
    loop {
        let heartbeat = Heartbeat {
            instance: core.present_instance(),
            version: core.gate.held.load().version,
            evidence: evidence(core, &taken),
            leaving: core.gate.is_leaving(),
        };
        // A lost sign of life is followed by the next one.
        if let Ok(reply) = core.ledger.heartbeat(heartbeat, HEARTBEAT).await {
            taken.extend(reply.taken);
        }
        core.table.sweep(core.life.now());
        sleep(HEARTBEAT).await;
    }
}

/// What was charged under each fenced router's grants, once none of its runs goes on.
fn evidence(core: &Core, taken: &BTreeSet<(InstanceId, Incarnation)>) -> Vec<Evidence> {
    let held = core.gate.held.load();
    let fenced = held
        .fenced
        .iter()
        .map(|(router, upto)| (router.clone(), *upto));
    let open = fenced.filter(|fenced| !taken.contains(fenced));
    open.filter_map(|(router, upto)| evidence_of(core, router, upto))
        .collect()
}

fn evidence_of(core: &Core, router: InstanceId, upto: Incarnation) -> Option<Evidence> {
    let mut charges = BTreeMap::new();
    for run in core.table.all() {
        let payment = &run.start.payment;
        if payment.router != router || payment.incarnation > upto {
            continue;
        }
        let end = run.end()?;
        for (grant, charged) in &end.charged {
            let charge = KeyCharge {
                grant: *grant,
                key: run.start.key.clone(),
                attempt: run.start.attempt,
                charged: *charged,
            };
            charges.insert((*grant, run.start.key.clone()), charge);
        }
    }
    Some(Evidence {
        router,
        incarnation: upto,
        charges: charges.into_values().collect(),
    })
}
