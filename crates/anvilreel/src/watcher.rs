//! Keeps up with who leads to the ledger.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvil_wire::msg::{FollowScope, LedgerReply};
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use tokio::time::{sleep, timeout};

use crate::held::Held;
use crate::ledger_client::LedgerClient;
use crate::members;

/// A followed replica that says nothing for so long is left for another one. A replica that is
/// current says so every 0.3 s.
pub const SILENCE: Duration = Duration::from_millis(900);
/// Pause before another replica is followed.
const AGAIN: Duration = Duration::from_millis(100);

/// Follows the ledger only for its members, and tells a client which replicas there are.
pub struct Watcher {
    /// Whom it tells.
    pub ledger: LedgerClient,
    id: InstanceId,
    seeds: ArcSwap<Vec<SocketAddr>>,
    followed: AtomicUsize,
}

impl Watcher {
    /// For the process of this name; the seeds are used beside all replicas that are known.
    pub fn new(ledger: LedgerClient, id: InstanceId, seeds: &[SocketAddr]) -> Self {
        Self {
            ledger,
            id,
            seeds: ArcSwap::from_pointee(seeds.to_vec()),
            followed: AtomicUsize::new(rand::random_range(0..64)),
        }
    }

    /// Takes other seeds, as the settings name them now, beside the replicas that are known.
    ///
    /// Failure: the settings come to name replicas that are cut off, and whoever replaces what it
    /// knows by them gets no answer until the ledger's members change. Replicas that are gone leave
    /// the list with the next change of the members.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.seeds.store(Arc::new(seeds.to_vec()));
        self.ledger.add_ways(seeds);
    }

    /// Number of a replica that is current, as far as is known: for others to follow.
    pub fn followed(&self) -> usize {
        self.followed.load(Ordering::Relaxed)
    }

    /// Follows one replica after the other, for as long as the process lives.
    pub async fn run(&self) {
        let mut held = Held::default();
        loop {
            let replica = self.followed();
            self.follow_one(replica, &mut held).await;
            self.followed
                .store(replica.wrapping_add(1), Ordering::Relaxed);
            sleep(AGAIN).await;
        }
    }

    async fn follow_one(&self, replica: usize, held: &mut Held) {
        let opening =
            self.ledger
                .follow(replica, self.id.clone(), FollowScope::Members, held.version);
        let Ok(Ok(mut replies)) = timeout(SILENCE, opening).await else {
            return;
        };
        while let Ok(Ok(Some(LedgerReply::Follow(told)))) = timeout(SILENCE, replies.next()).await {
            if held.apply(told) {
                let replicas = members::replicas(held, &self.seeds.load());
                self.ledger.set_ways(&replicas, &[]);
            }
        }
    }
}
