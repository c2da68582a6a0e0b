//! Which connections a listener lets in, and which one makes room for another.
//!
//! Failure: clients connect, and send nothing or a part of a head. They take up all connections that a
//! listener has, and nobody else is served until their time limits have passed. So where there is no room,
//! the one that has been without progress for longest makes room.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::connection_state::ConnectionState;
use crate::limits::ConnectionLimits;

/// Connections above the limit that may be open for a moment, while those that make room are being closed,
/// as a divisor of the limit.
const OVERLAP_DIVISOR: usize = 4;

/// The connections of a listener. Cheap to clone; clones share the same connections.
#[derive(Debug, Clone)]
pub struct Admission {
    max_connections: usize,
    memory: Arc<ConnectionMemory>,
    connections: Arc<Mutex<Connections>>,
}

/// What the connections and their requests may cost in all, in bytes.
#[derive(Debug, Default)]
pub(crate) struct ConnectionMemory {
    /// `None` if it is not limited.
    max_total: Option<u64>,
    total: AtomicU64,
}

#[derive(Debug, Default)]
struct Connections {
    next_id: u64,
    states: BTreeMap<u64, Arc<ConnectionState>>,
}

/// One connection that has been let in, until it is dropped.
#[derive(Debug)]
pub struct Admitted {
    /// Its state.
    pub state: Arc<ConnectionState>,
    id: u64,
    admission: Admission,
}

impl Admission {
    /// Lets in up to so many connections.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            memory: Arc::default(),
            connections: Arc::default(),
        }
    }

    /// Lets in as many connections as fit into this memory, with their requests.
    pub fn within_memory(max_total: Option<u64>) -> Self {
        let memory = ConnectionMemory {
            max_total,
            total: AtomicU64::new(0),
        };
        Self {
            memory: Arc::new(memory),
            ..Self::new(usize::MAX)
        }
    }

    /// Whether there is memory for another connection.
    pub fn has_room(&self, limits: &ConnectionLimits) -> bool {
        self.memory.has_room_for(limits.connection_bytes())
    }

    /// Whether the connections and the requests that have begun cost more than they may.
    pub fn is_overcommitted(&self) -> bool {
        !self.memory.has_room_for(0)
    }

    /// Lets a connection in; where there is no room, another one that has no request makes room. `None` if
    /// there is none.
    pub fn admit(&self, limits: ConnectionLimits) -> Option<Admitted> {
        let open = self.lock().states.len();
        if open >= self.max_connections || !self.has_room(&limits) {
            let now = Instant::now();
            let has_room = self.evict_longest(|state| state.stalled_for(now))
                || self.evict_longest(|state| state.idle_for(now));
            let overlap = (self.max_connections / OVERLAP_DIVISOR).max(1);
            if !has_room || open >= self.max_connections.saturating_add(overlap) {
                return None;
            }
        }
        Some(self.register(limits))
    }

    /// Lets a connection in, whatever the limits are.
    pub fn register(&self, limits: ConnectionLimits) -> Admitted {
        let state = Arc::new(ConnectionState::new(limits, self.memory.clone()));
        let mut connections = self.lock();
        let id = connections.next_id;
        connections.next_id += 1;
        connections.states.insert(id, state.clone());
        drop(connections);
        Admitted {
            state,
            id,
            admission: self.clone(),
        }
    }

    /// Ends up to so many connections that have had no request, or have been within a head, for longer than
    /// this without progress. Returns how many.
    pub fn evict_stalled(&self, most: usize, longer_than: Duration) -> usize {
        let now = Instant::now();
        let connections = self.lock();
        let stalled = connections.states.values().filter(|state| {
            let stalled_for = state.stalled_for(now);
            stalled_for.is_some_and(|stalled_for| stalled_for > longer_than)
        });
        stalled.take(most).map(|state| state.evict()).count()
    }

    /// Ends the connection for which this time is longest; false if there is none.
    fn evict_longest(&self, time: impl Fn(&ConnectionState) -> Option<Duration>) -> bool {
        let connections = self.lock();
        let timed = connections.states.values();
        let timed = timed.filter_map(|state| Some((time(state)?, state)));
        let longest = timed.max_by_key(|(time, _)| *time);
        longest.is_some_and(|(_, state)| {
            state.evict();
            true
        })
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        // Sound after a panic elsewhere: each update leaves the map consistent.
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionMemory {
    pub(crate) fn add(&self, bytes: u64) {
        self.total.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn remove(&self, bytes: u64) {
        self.total.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn has_room_for(&self, bytes: u64) -> bool {
        let total = self.total.load(Ordering::Relaxed);
        let max_total = self.max_total.unwrap_or(u64::MAX);
        total.saturating_add(bytes) <= max_total
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.admission.lock().states.remove(&self.id);
    }
}
