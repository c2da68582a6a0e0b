//! The other gateways of this availability zone: who they are, and what they are told of the list.

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

/// For how long a sibling that didn't answer is not asked: about as long as the ledger takes to hold a
/// process for silent.
const PASSED_OVER_FOR: Duration = Duration::from_secs(5);

/// The gateways of one availability zone, as the ledger's members tell.
pub struct Siblings {
    own: InstanceId,
    /// Where each of them answers siblings; this gateway is among them.
    addrs: ArcSwap<BTreeMap<InstanceId, SocketAddr>>,
    peers: Peers,
    passed_over: Mutex<BTreeMap<InstanceId, Now>>,
}

impl Siblings {
    /// Only this gateway, until the ledger has told of others.
    pub fn of(own: InstanceId, addr: SocketAddr) -> Self {
        let addrs = BTreeMap::from([(own.clone(), addr)]);
        Self {
            own,
            addrs: ArcSwap::from_pointee(addrs),
            peers: Peers::default(),
            passed_over: Mutex::default(),
        }
    }

    /// Takes in who is alive. All answer siblings at the same port.
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

    /// The gateways that may read the list, the first one first.
    pub fn order(&self, now: Now) -> Vec<InstanceId> {
        let mut passed_over = self.passed_over();
        passed_over.retain(|_, until| now < *until);
        let addrs = self.addrs.load();
        in_order(addrs.keys().cloned(), |id| passed_over.contains_key(id))
    }

    /// The way to a sibling.
    pub fn channel(&self, id: &InstanceId) -> Option<Channel> {
        let addrs = self.addrs.load();
        addrs.get(id).map(|addr| self.peers.to(*addr))
    }

    /// A sibling has not answered in time.
    pub fn pass_over(&self, id: &InstanceId, now: Now) {
        self.passed_over().insert(id.clone(), now + PASSED_OVER_FOR);
    }

    fn passed_over(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Now>> {
        // A panic elsewhere leaves names and times, each of them true.
        self.passed_over
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Listens for siblings.
pub async fn listen(gw: &Gateway) -> Result<Server, WireError> {
    Server::bind(gw.cfg.siblings_bind.unwrap_or(gw.cfg.siblings)).await
}

/// Answers siblings for as long as the process lives.
pub async fn answer(gw: Arc<Gateway>, server: Server) {
    let handlers = Handlers::default().with::<ListCall, _, _>(move |ask: ListAsk, tx| {
        let gw = gw.clone();
        async move {
            let reply = tell(&gw, &ask).await;
            // Fails only where the asker is gone.
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
