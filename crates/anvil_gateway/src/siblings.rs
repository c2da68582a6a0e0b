//! The other gateways of this availability zone, and the service that sends them the list of
//! endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::list_turn::reader_order;
use anvil_wire::msg::{ListCall, ListReply, ListRequest};
use anvil_wire::{Channel, Handlers, Server, WireError};
use anvil_world::prelude::*;
use anvilreel::channel_cache::ChannelCache;
use arc_swap::ArcSwap;

use crate::gateway::Gateway;

/// For how long a sibling that did not answer is skipped: about as long as the ledger takes to
/// regard a process as unresponsive.
const SKIP_TIME: Duration = Duration::from_secs(5);

/// The gateways of one availability zone, according to the ledger's membership.
pub struct Siblings {
    own_id: InstanceId,
    /// Addresses at which they serve siblings, including this gateway's own.
    addrs: ArcSwap<BTreeMap<InstanceId, SocketAddr>>,
    channels: ChannelCache,
    skipped: Mutex<BTreeMap<InstanceId, Now>>,
}

impl Siblings {
    /// Contains only this gateway until the ledger reports others.
    pub fn new(own_id: InstanceId, addr: SocketAddr) -> Self {
        let addrs = BTreeMap::from([(own_id.clone(), addr)]);
        Self {
            own_id,
            addrs: ArcSwap::from_pointee(addrs),
            channels: ChannelCache::default(),
            skipped: Mutex::default(),
        }
    }

    /// Updates the live gateways. All of them serve siblings at the same port.
    pub fn update_members<'a>(&self, live: impl Iterator<Item = &'a Instance>) {
        let Some(own_addr) = self.addrs.load().get(&self.own_id).copied() else {
            return;
        };
        let sibling_addr =
            |instance: &Instance| SocketAddr::new(instance.addr.ip(), own_addr.port());
        let mut addrs: BTreeMap<_, _> = live.map(|i| (i.id.clone(), sibling_addr(i))).collect();
        addrs.insert(self.own_id.clone(), own_addr);
        if addrs == **self.addrs.load() {
            return;
        }
        self.channels
            .retain(|addr| addrs.values().any(|known| known == addr));
        self.addrs.store(Arc::new(addrs));
    }

    /// The gateways that may read the list, in order of preference.
    pub fn reading_order(&self, now: Now) -> Vec<InstanceId> {
        let mut skipped = self.skipped();
        skipped.retain(|_, until| now < *until);
        let addrs = self.addrs.load();
        reader_order(addrs.keys().cloned(), |id| skipped.contains_key(id))
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
