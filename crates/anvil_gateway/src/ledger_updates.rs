//! Keeps the routing table and the membership current by following the ledger.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_wire::msg::{FollowScope, LedgerReply};
use anvil_world::prelude::*;
use anvilreel::event;
use anvilreel::ledger_view::LedgerView;
use anvilreel::members;
use anvilreel::watcher::FOLLOW_TIMEOUT;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::log_events as events;

/// Timeout for opening a stream to a replica.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for a replica's first update. An up-to-date replica sends it at once; one that is
/// joining or has no leader sends none, and a gateway that has just started can't serve until it
/// has one.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause before another replica is followed.
const NEXT_REPLICA_PAUSE: Duration = Duration::from_millis(50);

/// Follows the replicas in turn for as long as the process runs.
pub async fn run(gw: &Gateway) {
    let mut cached = LedgerView::default();
    let mut revision = 0;
    let mut connected = false;
    // Start at a random replica, so that no single replica sends updates to all gateways.
    let mut replica = rand::random_range(0..64);
    loop {
        let updated = follow_one(gw, replica, &mut cached, &mut revision, &mut connected).await;
        if !updated && connected {
            let version = cached.version;
            event!(gw.log, events::GATEWAY_OUT_OF_TOUCH, "version" => version);
            connected = false;
        }
        replica += 1;
        sleep(NEXT_REPLICA_PAUSE).await;
    }
}

async fn follow_one(
    gw: &Gateway,
    replica: usize,
    cached: &mut LedgerView,
    revision: &mut Revision,
    connected: &mut bool,
) -> bool {
    let opening = gw.ledger.follow(
        replica,
        gw.cfg.id.clone(),
        FollowScope::Router,
        cached.version,
    );
    let Ok(Ok(mut replies)) = timeout(OPEN_TIMEOUT, opening).await else {
        return false;
    };
    let mut updated = false;
    let mut update_timeout = FIRST_UPDATE_TIMEOUT;
    while let Ok(Ok(Some(LedgerReply::Follow(update)))) =
        timeout(update_timeout, replies.next()).await
    {
        updated = true;
        update_timeout = FOLLOW_TIMEOUT;
        if !*connected {
            event!(gw.log, events::GATEWAY_IN_TOUCH, "replica" => replica);
            *connected = true;
        }
        gw.ledger_confirmed_ms.store(gw.now_ms(), Ordering::Relaxed);
        if cached.apply(update) {
            apply_update(gw, cached, revision);
            gw.version_in_force.store(cached.version, Ordering::Relaxed);
        }
    }
    updated
}

fn apply_update(gw: &Gateway, cached: &LedgerView, revision: &mut Revision) {
    update_gateway_count(gw, cached);
    let routers = members::live_instances(cached, Role::Router);
    if gw.siblings.update_members(routers) {
        gw.update_origin_holders();
    }
    gw.apply_ledger_suspects(&cached.suspects);
    gw.apply_ledger_limits(&cached.limits);
    gw.apply_ledger_shares(&cached.shares);
    gw.apply_ledger_versions(cached.service_versions.as_ref());
    let returned = gw.apply_zone_documents(&cached.tree);
    gw.record_zones_returned(&returned);
    let replicas = members::replicas(cached, &gw.seeds.load());
    let relays = members::relays(cached, &gw.cfg.id);
    if gw.ledger.set_addresses(&replicas, &relays) {
        event!(
            gw.log, events::GATEWAY_LEDGER_WAYS,
            "replicas" => replicas.len(), "relays" => relays.len()
        );
    }
    let Some(entry) = cached.tree.get(&TreePath::Routing) else {
        return;
    };
    if entry.revision <= *revision {
        return;
    }
    *revision = entry.revision;
    match (gw.cfg.dialect.parse_table)(&entry.text) {
        Ok(table) => {
            let version = table.version;
            let target = table.shortest_stream_target();
            gw.sockets.link.probe.set_shortest_target(target);
            gw.table.store(Some(Arc::new(table)));
            gw.state_changed.notify_waiters();
            event!(
                gw.log, events::GATEWAY_TABLE_IN_FORCE,
                "table" => version, "version" => cached.version
            );
        }
        Err(e) => {
            event!(gw.log, events::GATEWAY_TABLE_UNREADABLE, "error" => e.to_string());
        }
    }
}

fn update_gateway_count(gw: &Gateway, cached: &LedgerView) {
    let live = members::live_instances(cached, Role::Router);
    let mut ids: BTreeSet<_> = live.map(|router| &router.id).collect();
    gw.is_counted
        .store(ids.contains(&gw.cfg.id), Ordering::Relaxed);
    // This gateway may not be in the ledger's membership yet.
    ids.insert(&gw.cfg.id);
    let rank = ids.iter().position(|id| **id == gw.cfg.id).unwrap_or(0);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let count = u32::try_from(ids.len()).unwrap_or(u32::MAX);
    let has_moved = gw.gateway_rank.load(Ordering::Relaxed) != rank
        || gw.gateway_count.load(Ordering::Relaxed) != count;
    if has_moved {
        gw.position_since_ms.store(gw.now_ms(), Ordering::Relaxed);
    }
    gw.gateway_rank.store(rank, Ordering::Relaxed);
    gw.grant_account.set_routers(count);
    if gw.gateway_count.swap(count, Ordering::Relaxed) != count {
        event!(gw.log, events::GATEWAY_PEERS_CHANGED, "gateways" => count);
    }
}
