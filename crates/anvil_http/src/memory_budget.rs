//! Memory that bodies share, and which of them gives way when it runs short.
//!
//! Failure: clients send large bodies up to just before their end, and stop. Each body is within its limit,
//! and all of them together exceed the memory of the process; if newcomers are refused instead, nobody
//! else is served for as long as these stay. So the unfinished body that has held most for the longest time
//! without progress gives way, if it has held more than the one that needs room.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;

/// Part of what a body holds that it has to receive to count as making progress, as a divisor.
const PROGRESS_DIVISOR: u64 = 16;

/// Memory that bodies share. Cheap to clone; clones share the same budget.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    max_total: u64,
    free_bytes: u64,
    total: AtomicU64,
    unfinished: Mutex<Unfinished>,
    released: Notify,
}

#[derive(Debug, Default)]
struct Unfinished {
    next_id: u64,
    holders: BTreeMap<u64, Arc<Holder>>,
}

/// An unfinished body.
#[derive(Debug)]
struct Holder {
    state: Mutex<HolderState>,
    evicted: Notify,
}

#[derive(Debug, Clone, Copy)]
struct HolderState {
    held: u64,
    /// When it last made progress, and how much it had received by then.
    progress: (Instant, u64),
    is_evicted: bool,
}

impl MemoryBudget {
    /// Nothing held yet, of so many bytes. Of each body, `free_bytes` need no room.
    pub fn new(max_total: u64, free_bytes: u64) -> Self {
        Self {
            shared: Arc::new(Shared {
                max_total,
                free_bytes,
                total: AtomicU64::new(0),
                unfinished: Mutex::default(),
                released: Notify::new(),
            }),
        }
    }

    /// Bytes that are held.
    pub fn total(&self) -> u64 {
        self.shared.total.load(Ordering::Relaxed)
    }

    /// Whether less than half of it is held.
    fn has_plenty(&self) -> bool {
        self.total() < self.shared.max_total / 2
    }

    /// A new body, which holds nothing yet.
    pub(crate) fn begin(&self) -> Room {
        let holder = Arc::new(Holder {
            state: Mutex::new(HolderState {
                held: 0,
                progress: (Instant::now(), 0),
                is_evicted: false,
            }),
            evicted: Notify::new(),
        });
        let mut unfinished = lock(&self.shared.unfinished);
        let id = unfinished.next_id;
        unfinished.next_id += 1;
        unfinished.holders.insert(id, holder.clone());
        drop(unfinished);
        Room {
            budget: self.clone(),
            holder,
            id,
            held: 0,
        }
    }

    fn try_take(&self, bytes: u64) -> bool {
        let max_total = self.shared.max_total;
        let add = |total: u64| {
            let total = total.saturating_add(bytes);
            (total <= max_total).then_some(total)
        };
        let total = &self.shared.total;
        let taken = total.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.is_ok()
    }

    fn give_back(&self, bytes: u64) {
        if bytes > 0 {
            self.shared.total.fetch_sub(bytes, Ordering::Relaxed);
            self.shared.released.notify_waiters();
        }
    }

    /// Evicts the unfinished body that has held most for the longest time without progress, unless one is
    /// about to give way already; false if that is none but the one that asks, or this one is no better.
    fn evict_for(&self, asking: &Room) -> bool {
        let now = Instant::now();
        let unfinished = lock(&self.shared.unfinished);
        if unfinished
            .holders
            .values()
            .any(|holder| holder.is_giving_way())
        {
            return true;
        }
        let own = asking.holder.weight(now);
        let others = unfinished
            .holders
            .iter()
            .filter(|(id, _)| **id != asking.id);
        let worst = others.max_by_key(|(_, holder)| holder.weight(now));
        worst.is_some_and(|(_, holder)| holder.weight(now) > own && holder.evict())
    }
}

impl Holder {
    /// What it holds times how long it has made no progress; nothing once it is evicted.
    fn weight(&self, now: Instant) -> u128 {
        let state = lock(&self.state);
        if state.is_evicted {
            return 0;
        }
        let (since, _) = state.progress;
        let stalled = now.saturating_duration_since(since);
        u128::from(state.held).saturating_mul(stalled.as_micros())
    }

    /// Whether it is evicted, and has not returned its room yet.
    fn is_giving_way(&self) -> bool {
        let state = lock(&self.state);
        state.is_evicted && state.held > 0
    }

    fn evict(&self) -> bool {
        lock(&self.state).is_evicted = true;
        self.evicted.notify_one();
        true
    }

    fn record(&self, held: u64, received: u64) {
        let mut state = lock(&self.state);
        state.held = held;
        let (_, before) = state.progress;
        if received - before > held / PROGRESS_DIVISOR {
            state.progress = (Instant::now(), received);
        }
    }
}

/// What one unfinished body holds; returned when dropped.
pub(crate) struct Room {
    budget: MemoryBudget,
    holder: Arc<Holder>,
    id: u64,
    held: u64,
}

impl Room {
    /// Takes room for a buffer of so many bytes in all; false if there is none. Waits while another body
    /// gives way.
    pub(crate) async fn grow(&mut self, bytes: u64) -> bool {
        let needed = bytes.saturating_sub(self.budget.shared.free_bytes);
        let more = needed.saturating_sub(self.held);
        if more == 0 {
            return true;
        }
        loop {
            let released = self.budget.shared.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            if self.budget.try_take(more) {
                self.held += more;
                return true;
            }
            if !self.budget.evict_for(self) {
                return false;
            }
            tokio::select! {
                () = released => {}
                () = self.holder.evicted.notified() => return false,
            }
        }
    }

    /// Takes room beside the buffer, if there is plenty of it.
    pub(crate) fn try_take_beside(&self, bytes: u64) -> Option<HeldRoom> {
        let budget = &self.budget;
        let is_taken = budget.has_plenty() && budget.try_take(bytes);
        is_taken.then(|| HeldRoom {
            budget: budget.clone(),
            held: bytes,
        })
    }

    /// Records what has been received of the body.
    pub(crate) fn record(&self, received: u64) {
        self.holder.record(self.held, received);
    }

    /// Returns when the body has to give way.
    pub(crate) async fn evicted(&self) {
        self.holder.evicted.notified().await;
    }

    /// The room of the finished body, which is held until its last user drops it.
    pub(crate) fn finish(mut self) -> HeldRoom {
        let room = HeldRoom {
            budget: self.budget.clone(),
            held: self.held,
        };
        self.held = 0;
        room
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        lock(&self.budget.shared.unfinished)
            .holders
            .remove(&self.id);
        self.budget.give_back(self.held);
        // Whoever waits for it to give way looks for another one if it has finished instead.
        self.budget.shared.released.notify_waiters();
    }
}

/// What one finished body holds; returned when dropped.
pub(crate) struct HeldRoom {
    budget: MemoryBudget,
    held: u64,
}

impl Drop for HeldRoom {
    fn drop(&mut self) {
        self.budget.give_back(self.held);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Sound after a panic elsewhere: each update leaves the numbers consistent.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
