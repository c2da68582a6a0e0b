//! Where other replicas are, beyond what this one's own log names.

use std::net::SocketAddr;

use tokio::sync::watch;

/// Addresses of other replicas that a replica is told while it runs. Cheap to clone; all clones say
/// the same.
///
/// Failure: a replica with a new disk hears only those whom its settings name, because its log is
/// empty. A leader that isn't among them takes it in as a learner and never reaches it; or none of them
/// is there any more, and nobody takes it in. Either way it doesn't vote, and the next loss leaves the
/// ledger without a majority. So it listens to the leader that it was directed to, wherever that is,
/// and asks those, too, whom its settings have come to name.
#[derive(Clone, Default)]
pub struct Contacts {
    learned: watch::Sender<LearnedAddresses>,
}

/// What a replica was told of others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LearnedAddresses {
    /// Whom its settings name now, beyond the founders.
    pub seeds: Vec<SocketAddr>,
    /// Where the leader is, as it or another replica said.
    pub leader: Option<SocketAddr>,
}

impl Contacts {
    /// Takes other seeds, as the settings name them now.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.change(|learned| seeds.clone_into(&mut learned.seeds));
    }

    /// Notes where the leader is.
    pub fn set_leader(&self, addr: SocketAddr) {
        self.change(|learned| learned.leader = Some(addr));
    }

    /// What was told, and each change of it.
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
