//! The other gateways of this availability zone, and the service that sends them the list of
//! endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::list_turn::in_order;
use anvil_wire::msg::{ListAsk, ListCall, ListReply};
use anvil_wire::{Channel, Handlers, Server, WireError};
use anvil_world::prelude::*;
use anvilreel::peers::Peers;
use arc_swap::ArcSwap;

use crate::gateway::Gateway;

/// For how long a sibling that did not answer is skipped: about as long as the ledger takes to
/// regard a process as unresponsive.
const PASSED_OVER_FOR: Duration = Duration::from_secs(5);

/// The gateways of one availability zone, according to the ledger's membership.
pub struct Siblings {
    own: InstanceId,
    /// Addresses at which they serve siblings, including this gateway's own.
    addrs: ArcSwap<BTreeMap<InstanceId, SocketAddr>>,
    peers: Peers,
    passed_over: Mutex<BTreeMap<InstanceId, Now>>,
}

impl Siblings {
    /// Contains only this gateway until the ledger reports others.
    pub fn of(own: InstanceId, addr: SocketAddr) -> Self {
        let addrs = BTreeMap::from([(own.clone(), addr)]);
        Self {
            own,
            addrs: ArcSwap::from_pointee(addrs),
            peers: Peers::default(),
            passed_over: Mutex::default(),
        }
    }

    /// Updates the live gateways. All of them serve siblings at the same port.
    pub fn set<'a>(&self, alive: impl Iterator<Item = &'a Instance>) {
        let Some(own) = self.addrs.load().get(&self.own).copied() else {
            return;
        };
        let at = |instance: &Instance| SocketAddr::new(instance.addr.ip(), own.port());
        let mut addrs: BTreeMap<_, _> = alive.map(|i| (i.id.clone(), at(i))).collect();
        addrs.insert(self.own.clone(), own);
        if addrs == **self.addrs.load() {
            return;
        }
        self.peers
            .keep(|addr| addrs.values().any(|known| known == addr));
        self.addrs.store(Arc::new(addrs));
    }

    /// The gateways that may read the list, in order of preference.
    pub fn order(&self, now: Now) -> Vec<InstanceId> {
        let mut passed_over = self.passed_over();
        passed_over.retain(|_, until| now < *until);
        let addrs = self.addrs.load();
        in_order(addrs.keys().cloned(), |id| passed_over.contains_key(id))
    }

    /// The channel to a sibling.
    pub fn channel(&self, id: &InstanceId) -> Option<Channel> {
        let addrs = self.addrs.load();
        addrs.get(id).map(|addr| self.peers.to(*addr))
    }

    /// Skips a sibling that has not answered in time.
    pub fn pass_over(&self, id: &InstanceId, now: Now) {
        self.passed_over().insert(id.clone(), now + PASSED_OVER_FOR);
    }

    fn passed_over(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Now>> {
        // Sound after a panic elsewhere: each entry is valid by itself.
        self.passed_over
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Listens for siblings.
pub async fn listen(gw: &Gateway) -> Result<Server, WireError> {
    Server::bind(gw.cfg.siblings_bind.unwrap_or(gw.cfg.siblings)).await
}

/// Serves siblings for as long as the process runs.
pub async fn answer(gw: Arc<Gateway>, server: Server) {
    let handlers = Handlers::default().with::<ListCall, _, _>(move |ask: ListAsk, tx| {
        let gw = gw.clone();
        async move {
            let reply = tell(&gw, &ask).await;
            // Fails only if the sibling has disconnected.
            let _ = tx.finish(&reply).await;
        }
    });
    server.serve(handlers, std::future::pending()).await;
}

async fn tell(gw: &Gateway, ask: &ListAsk) -> ListReply {
    if ask.read_within.is_zero() {
        gw.read_wanted.notify_one();
    }
    gw.listings.answer(ask, gw.cfg.list_within).await
}
