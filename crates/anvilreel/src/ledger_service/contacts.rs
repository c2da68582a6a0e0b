//! Where other replicas are, beyond what this one's own log names.

use std::net::SocketAddr;

use tokio::sync::watch;

/// The leader's address as other replicas tell it to one that asks to be taken in.
///
/// Failure: a replica with a new disk hears only those whom its settings name, because its log is
/// empty. A leader that isn't among them takes it in as a learner and never reaches it; it doesn't
/// vote, and the next loss leaves the ledger without a majority. Whoever asks the leader to be taken
/// in therefore listens to it from then on, wherever it is.
#[derive(Clone)]
pub struct Contacts {
    leader: watch::Sender<Option<SocketAddr>>,
}

impl Default for Contacts {
    fn default() -> Self {
        Self {
            leader: watch::Sender::new(None),
        }
    }
}

impl Contacts {
    /// Notes where the leader is.
    pub fn note_leader(&self, addr: SocketAddr) {
        self.leader.send_if_modified(|known| {
            let is_new = *known != Some(addr);
            *known = Some(addr);
            is_new
        });
    }

    /// The leader's address, as it was last noted, and each change of it.
    pub fn leader(&self) -> watch::Receiver<Option<SocketAddr>> {
        self.leader.subscribe()
    }
}
