//! The slots of the batch. A free slot goes to the waiting run with the lowest priority number,
//! and among equals to the one that arrived first.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::oneshot;

/// Priority of a run; lower numbers run first.
pub type Priority = i64;

/// A batch with a fixed number of slots.
#[derive(Debug)]
pub struct Batch {
    slots: u32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<()>>,
}

impl Batch {
    /// An empty batch with this number of slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            state: Mutex::default(),
        }
    }

    /// Number of runs in the batch.
    pub fn running(&self) -> u32 {
        self.state().running
    }

    /// Number of runs that wait for a slot.
    pub fn queued(&self) -> u32 {
        u32::try_from(self.state().waiting.len()).unwrap_or(u32::MAX)
    }

    /// Number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Waits for a slot.
    pub async fn acquire_slot(self: &Arc<Self>, priority: Priority) -> Slot {
        let entry = {
            let mut state = self.state();
            if state.running < self.slots {
                state.running += 1;
                None
            } else {
                let (tx, rx) = oneshot::channel();
                state.arrivals += 1;
                let arrival = state.arrivals;
                state.waiting.insert((priority, arrival), tx);
                Some(QueueEntry {
                    rx,
                    batch: self.clone(),
                    key: (priority, arrival),
                })
            }
        };
        if let Some(mut entry) = entry {
            // The sender is dropped only after it has sent.
            let _ = (&mut entry.rx).await;
        }
        Slot {
            batch: self.clone(),
        }
    }

    fn release_slot(&self) {
        let mut state = self.state();
        while let Some((_, tx)) = state.waiting.pop_first() {
            if tx.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An entry in the queue; dropping it removes the entry.
struct QueueEntry {
    rx: oneshot::Receiver<()>,
    batch: Arc<Batch>,
    key: (Priority, u64),
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.batch.state().waiting.remove(&self.key);
    }
}

/// A slot in the batch; dropping it passes the slot to the next waiting run.
#[derive(Debug)]
pub struct Slot {
    batch: Arc<Batch>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.batch.release_slot();
    }
}
