//! The other gateways of the fleet, and the service that sends them the list of endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::list_turn::ListTree;
use anvil_wire::msg::{ListCall, ListReply, ListRequest};
use anvil_wire::{Channel, Handlers, Server, WireError};
use anvil_world::prelude::*;
use anvilreel::channel_cache::ChannelCache;
use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::gateway::Gateway;

/// For how long a sibling that did not answer is skipped: about as long as the ledger takes to
/// regard a process as unresponsive.
const SKIP_TIME: Duration = Duration::from_secs(5);

/// The gateways of the fleet, according to the ledger's membership.
pub struct Siblings {
    own_id: InstanceId,
    own_zone: ZoneId,
    /// Addresses at which they serve siblings, including this gateway's own.
    addrs: ArcSwap<BTreeMap<InstanceId, SocketAddr>>,
    tree: ArcSwap<ListTree>,
    channels: ChannelCache,
    skipped: Mutex<BTreeMap<InstanceId, Now>>,
    /// Whether the ledger has reported the membership.
    are_known: watch::Sender<bool>,
}

impl Siblings {
    /// Contains only this gateway until the ledger reports others.
    pub fn new(own_id: InstanceId, own_zone: ZoneId, addr: SocketAddr) -> Self {
        let addrs = BTreeMap::from([(own_id.clone(), addr)]);
        let tree = ListTree::new([(own_id.clone(), own_zone.clone())]);
        Self {
            own_id,
            own_zone,
            addrs: ArcSwap::from_pointee(addrs),
            tree: ArcSwap::from_pointee(tree),
            channels: ChannelCache::default(),
            skipped: Mutex::default(),
            are_known: watch::Sender::new(false),
        }
    }

    /// Updates the live gateways. All of them serve siblings at the same port.
    pub fn update_members<'a>(&self, live: impl Iterator<Item = &'a Instance>) {
        let Some(own_addr) = self.addrs.load().get(&self.own_id).copied() else {
            return;
        };
        let mut addrs = BTreeMap::new();
        let mut zones = BTreeMap::new();
        for instance in live {
            let addr = SocketAddr::new(instance.addr.ip(), own_addr.port());
            addrs.insert(instance.id.clone(), addr);
            zones.insert(instance.id.clone(), instance.zone.id.clone());
        }
        addrs.insert(self.own_id.clone(), own_addr);
        zones.insert(self.own_id.clone(), self.own_zone.clone());
        if addrs != **self.addrs.load() {
            self.channels
                .retain(|addr| addrs.values().any(|known| known == addr));
            self.addrs.store(Arc::new(addrs));
            self.tree.store(Arc::new(ListTree::new(zones)));
        }
        self.are_known.send_replace(true);
    }

    /// Waits until the ledger has reported the membership.
    pub async fn known(&self) {
        let mut are_known = self.are_known.subscribe();
        // The sender lives as long as `self`.
        let _ = are_known.wait_for(|known| *known).await;
    }

    /// All gateways in the order in which they read the list.
    pub fn tree(&self) -> Arc<ListTree> {
        self.tree.load_full()
    }

    /// The siblings that recently did not answer.
    pub fn skipped_at(&self, now: Now) -> BTreeSet<InstanceId> {
        let mut skipped = self.skipped();
        skipped.retain(|_, until| now < *until);
        skipped.keys().cloned().collect()
    }

    /// The channel to a sibling.
    pub fn channel(&self, id: &InstanceId) -> Option<Channel> {
        let addrs = self.addrs.load();
        addrs.get(id).map(|addr| self.channels.channel(*addr))
    }

    /// Skips a sibling that has not answered in time.
    pub fn mark_skipped(&self, id: &InstanceId, now: Now) {
        self.skipped().insert(id.clone(), now + SKIP_TIME);
    }

    fn skipped(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Now>> {
        // Sound after a panic elsewhere: each entry is valid by itself.
        self.skipped.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Listens for siblings.
pub async fn listen(gw: &Gateway) -> Result<Server, WireError> {
    Server::bind(gw.cfg.siblings_bind.unwrap_or(gw.cfg.siblings_addr)).await
}

/// Serves siblings for as long as the process runs.
pub async fn serve_siblings(gw: Arc<Gateway>, server: Server) {
    let handlers = Handlers::default().with::<ListCall, _, _>(move |request: ListRequest, tx| {
        let gw = gw.clone();
        async move {
            let reply = reply_to(&gw, &request).await;
            // Fails only if the sibling has disconnected.
            let _ = tx.finish(&reply).await;
        }
    });
    server.serve(handlers, std::future::pending()).await;
}

async fn reply_to(gw: &Gateway, request: &ListRequest) -> ListReply {
    if request.read_within.is_zero() {
        gw.list_read_requested.notify_one();
    }
    gw.list_cache
        .answer_when_fresh(request, gw.cfg.max_list_age)
        .await
}
