//! The other gateways of the fleet, and the service that sends them the list of endpoints and the
//! versions at which streams began, and receives which prompts they hold.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::list_turn::ListTree;
use anvil_wire::msg::{
    HeldPromptCall, HeldPromptRequest, ListCall, ListReply, ListRequest, OriginCall, OriginRequest,
};
use anvil_wire::{Channel, Handlers, Server, WireError};
use anvil_world::prelude::*;
use anvilreel::channel_cache::ChannelCache;
use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::gateway::Gateway;

/// For how long a sibling that did not answer is skipped: about as long as the ledger takes to
/// regard a process as unresponsive.
const SKIP_TIME: Duration = Duration::from_secs(5);

/// One live gateway of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sibling {
    /// Address at which it serves siblings.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation; 0 for this gateway itself.
    pub incarnation: Incarnation,
}

/// Live gateways by id, this gateway included.
pub type SiblingMap = BTreeMap<InstanceId, Sibling>;

/// The gateways of the fleet, according to the ledger's membership.
pub struct Siblings {
    own_id: InstanceId,
    members: ArcSwap<SiblingMap>,
    tree: ArcSwap<ListTree>,
    channels: ChannelCache,
    skipped: Mutex<BTreeMap<InstanceId, Now>>,
    /// Whether the ledger has reported the membership.
    are_known: watch::Sender<bool>,
}

impl Siblings {
    /// Contains only this gateway until the ledger reports others.
    pub fn new(own_id: InstanceId, own_zone: ZoneId, addr: SocketAddr) -> Self {
        let tree = ListTree::new([(own_id.clone(), own_zone.clone())]);
        let own = Sibling {
            addr,
            zone: own_zone,
            incarnation: 0,
        };
        let members = BTreeMap::from([(own_id.clone(), own)]);
        Self {
            own_id,
            members: ArcSwap::from_pointee(members),
            tree: ArcSwap::from_pointee(tree),
            channels: ChannelCache::default(),
            skipped: Mutex::default(),
            are_known: watch::Sender::new(false),
        }
    }

    /// Updates the live gateways, and returns whether they have changed. All of them serve siblings at
    /// the same port.
    pub fn update_members<'a>(&self, live: impl Iterator<Item = &'a Instance>) -> bool {
        let before = self.members();
        let Some(own) = before.get(&self.own_id) else {
            return false;
        };
        let sibling = |instance: &Instance| Sibling {
            addr: SocketAddr::new(instance.addr.ip(), own.addr.port()),
            zone: instance.zone.id.clone(),
            incarnation: instance.incarnation,
        };
        let mut members: SiblingMap = live
            .map(|instance| (instance.id.clone(), sibling(instance)))
            .collect();
        members.insert(self.own_id.clone(), own.clone());
        let has_changed = members != *before;
        if has_changed {
            self.channels
                .retain(|addr| members.values().any(|known| known.addr == *addr));
            let zones = members
                .iter()
                .map(|(id, member)| (id.clone(), member.zone.clone()));
            self.tree.store(Arc::new(ListTree::new(zones)));
            self.members.store(Arc::new(members));
        }
        self.are_known.send_replace(true);
        has_changed
    }

    /// The live gateways.
    pub fn members(&self) -> Arc<SiblingMap> {
        self.members.load_full()
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
        let members = self.members.load();
        let sibling = members.get(id)?;
        Some(self.channels.channel(sibling.addr))
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
    let (list_gw, held_gw) = (gw.clone(), gw.clone());
    let handlers = Handlers::default()
        .with::<ListCall, _, _>(move |request: ListRequest, tx| {
            let gw = list_gw.clone();
            async move {
                let reply = reply_to(&gw, &request).await;
                // Fails only if the sibling has disconnected.
                let _ = tx.finish(&reply).await;
            }
        })
        .with::<HeldPromptCall, _, _>(move |request: HeldPromptRequest, tx| {
            let reply = held_gw.answer_held_prompt_request(request);
            async move {
                // Fails only if the sibling has disconnected.
                let _ = tx.finish(&reply).await;
            }
        })
        .with::<OriginCall, _, _>(move |request: OriginRequest, tx| {
            let reply = gw.answer_origin_request(request);
            async move {
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
