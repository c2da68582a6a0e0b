//! Queues of messages to other replicas.

use std::collections::BTreeMap;

use anvil_ledger::core::{Envelope, ReplicaId};
use tokio::sync::mpsc;

/// One queue for each connected replica.
///
/// Messages to a full queue are dropped: the core repeats whatever matters, and a replica that does
/// not read must not make the leader buffer messages without bound.
#[derive(Default)]
pub struct Outbox {
    queues: BTreeMap<ReplicaId, mpsc::Sender<Envelope>>,
}

impl Outbox {
    /// Registers a replica's queue and closes its previous one.
    pub fn open(&mut self, id: ReplicaId, tx: mpsc::Sender<Envelope>) {
        self.queues.insert(id, tx);
    }

    /// Whether a replica is connected.
    pub fn is_open(&self, id: ReplicaId) -> bool {
        self.queues.get(&id).is_some_and(|tx| !tx.is_closed())
    }

    /// Queues a message, or drops it if the replica is not connected or its queue is full.
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
