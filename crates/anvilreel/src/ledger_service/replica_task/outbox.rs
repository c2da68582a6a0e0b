//! What waits to be sent to other replicas.

use std::collections::BTreeMap;

use anvil_ledger::core::{Envelope, ReplicaId};
use tokio::sync::mpsc;

/// One queue for each replica that listens.
///
/// A full queue drops: the core repeats whatever matters, and a replica that does not read must
/// not make the leader hold its messages without bound.
#[derive(Default)]
pub struct Outbox {
    queues: BTreeMap<ReplicaId, mpsc::Sender<Envelope>>,
}

impl Outbox {
    /// A replica listens; an older queue of it is closed.
    pub fn open(&mut self, id: ReplicaId, tx: mpsc::Sender<Envelope>) {
        self.queues.insert(id, tx);
    }

    /// Whether a replica listens.
    pub fn is_open(&self, id: ReplicaId) -> bool {
        self.queues.get(&id).is_some_and(|tx| !tx.is_closed())
    }

    /// Sends, or drops when nobody listens or the queue is full.
    pub fn send(&mut self, envelope: Envelope) {
        let to = envelope.to;
        let Some(queue) = self.queues.get(&to) else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Closed(_)) = queue.try_send(envelope) {
            self.queues.remove(&to);
        }
    }
}
