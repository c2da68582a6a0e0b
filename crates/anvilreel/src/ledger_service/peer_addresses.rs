//! Addresses of other replicas, beyond those in this replica's own log.

use std::net::SocketAddr;

use tokio::sync::watch;

/// Addresses of other replicas that a replica learns while it runs. Clones share the same state.
///
/// The log of a replica with a new disk is empty, so it would connect only to the replicas in its
/// settings. A leader that is not among them would add it as a learner and never receive its
/// answers, or none of the named replicas would exist any more and it could not join at all. Either
/// way it would not vote, and the next loss would leave the ledger without a majority. So it also
/// connects to the leader that it was referred to, and asks the seeds that its settings name later.
#[derive(Clone, Default)]
pub struct PeerAddresses {
    learned: watch::Sender<LearnedAddresses>,
}

/// Addresses learned while the replica runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LearnedAddresses {
    /// Replicas that the settings name now, beyond the founders.
    pub seeds: Vec<SocketAddr>,
    /// The leader's address, as it or another replica reported it.
    pub leader: Option<SocketAddr>,
}

impl PeerAddresses {
    /// Replaces the seeds by those that the settings name now.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.change(|learned| seeds.clone_into(&mut learned.seeds));
    }

    /// Records the leader's address.
    pub fn set_leader(&self, addr: SocketAddr) {
        self.change(|learned| learned.leader = Some(addr));
    }

    /// The learned addresses and their changes.
    pub fn subscribe(&self) -> watch::Receiver<LearnedAddresses> {
        self.learned.subscribe()
    }

    fn change(&self, f: impl FnOnce(&mut LearnedAddresses)) {
        self.learned.send_if_modified(|learned| {
            let before = learned.clone();
            f(learned);
            *learned != before
        });
    }
}
