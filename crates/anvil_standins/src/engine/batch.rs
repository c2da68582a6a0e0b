//! Slots of the batch: the waiting run of the lowest priority number comes next.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::oneshot;

/// Lower is sooner.
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
    /// A batch of so many slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            state: Mutex::default(),
        }
    }

    /// Runs in the batch.
    pub fn running(&self) -> u32 {
        self.state().running
    }

    /// Runs that wait for a slot.
    pub fn queued(&self) -> u32 {
        u32::try_from(self.state().waiting.len()).unwrap_or(u32::MAX)
    }

    /// How many slots there are.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Waits for a slot.
    pub async fn enter(self: &Arc<Self>, priority: Priority) -> Slot {
        let turn = {
            let mut state = self.state();
            if state.running < self.slots {
                state.running += 1;
                None
            } else {
                let (tx, rx) = oneshot::channel();
                state.arrivals += 1;
                let arrival = state.arrivals;
                state.waiting.insert((priority, arrival), tx);
                Some(Turn {
                    rx,
                    batch: self.clone(),
                    key: (priority, arrival),
                })
            }
        };
        if let Some(mut turn) = turn {
            // The sender is only dropped after it has sent.
            let _ = (&mut turn.rx).await;
        }
        Slot {
            batch: self.clone(),
        }
    }

    fn leave(&self) {
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

/// A place in the queue; dropping it gives the place up.
struct Turn {
    rx: oneshot::Receiver<()>,
    batch: Arc<Batch>,
    key: (Priority, u64),
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.batch.state().waiting.remove(&self.key);
    }
}

/// A slot in the batch; dropping it lets the next run in.
#[derive(Debug)]
pub struct Slot {
    batch: Arc<Batch>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.batch.leave();
    }
}
