//! Keeps a ledger client's list of replicas up to date.
//!
//! A [`ReplicaWatcher`] follows the ledger's membership at one replica at a time and moves on to
//! the next one when the stream ends or the replica becomes unresponsive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvil_wire::msg::{FollowScope, LedgerReply};
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use tokio::time::{sleep, timeout};

use crate::ledger_client::LedgerClient;
use crate::ledger_view::LedgerView;
use crate::members;

/// Maximum time without a message from a followed replica; after it another replica is followed.
/// An up-to-date replica sends an event at least every 0.3 s.
pub const FOLLOW_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before the next replica is followed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Follows only the ledger's membership, and sets the replicas of a ledger client from it.
pub struct ReplicaWatcher {
    /// The client whose replicas are kept up to date.
    pub ledger: LedgerClient,
    id: InstanceId,
    seeds: ArcSwap<Vec<SocketAddr>>,
    followed_replica: AtomicUsize,
}

impl ReplicaWatcher {
    /// A watcher for the process of this name. The seeds are used in addition to all replicas
    /// learned from the membership.
    pub fn new(ledger: LedgerClient, id: InstanceId, seeds: &[SocketAddr]) -> Self {
        Self {
            ledger,
            id,
            seeds: ArcSwap::from_pointee(seeds.to_vec()),
            followed_replica: AtomicUsize::new(rand::random_range(0..64)),
        }
    }

    /// Replaces the seeds after the settings have changed, and adds them to the client's replicas.
    ///
    /// The client's other replicas stay: if the settings name only replicas that are cut off, a
    /// client that used nothing else would get no reply until the ledger's membership changes.
    /// Replicas that have been removed leave the list with the next change of the membership.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.seeds.store(Arc::new(seeds.to_vec()));
        self.ledger.add_addresses(seeds);
    }

    /// Index of the replica that is being followed, and so probably up to date, for other
    /// streams to follow as well.
    pub fn followed_replica(&self) -> usize {
        self.followed_replica.load(Ordering::Relaxed)
    }

    /// Follows one replica after the other, for as long as the process runs.
    pub async fn run(&self) {
        let mut view = LedgerView::default();
        loop {
            let replica = self.followed_replica();
            self.follow_replica(replica, &mut view).await;
            self.followed_replica
                .store(replica.wrapping_add(1), Ordering::Relaxed);
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn follow_replica(&self, replica: usize, view: &mut LedgerView) {
        let opening =
            self.ledger
                .follow(replica, self.id.clone(), FollowScope::Members, view.version);
        let Ok(Ok(mut replies)) = timeout(FOLLOW_TIMEOUT, opening).await else {
            return;
        };
        while let Ok(Ok(Some(LedgerReply::Follow(event)))) =
            timeout(FOLLOW_TIMEOUT, replies.next()).await
        {
            if view.apply(event) {
                let replicas = members::replicas(view, &self.seeds.load());
                self.ledger.set_addresses(&replicas, &[]);
            }
        }
    }
}
