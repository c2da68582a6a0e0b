//! The lifecycle of a process: its incarnation, its clock, whether its planned stop has begun and
//! whether the ledger has ended its incarnation.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anvil_world::prelude::*;
use tokio::sync::watch;

/// Incarnation, clock and stop state of a process. Clones share the stop state and are cheap.
#[derive(Clone)]
pub struct Lifecycle {
    /// Incarnation of the instance that this process is.
    pub incarnation: Incarnation,
    started: Instant,
    /// When the planned stop began.
    draining_since: Arc<watch::Sender<Option<Now>>>,
    incarnation_ended: Arc<watch::Sender<bool>>,
}

impl Lifecycle {
    /// Begins a new incarnation. Its number is the wall clock in microseconds, so that a later
    /// incarnation is larger without storing the earlier one on disk.
    pub fn begin() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since.unwrap_or_default().as_micros();
        Self {
            incarnation: Incarnation::try_from(micros).unwrap_or(Incarnation::MAX),
            started: Instant::now(),
            draining_since: Arc::new(watch::Sender::new(None)),
            incarnation_ended: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Time since the process started: the clock of the state machines.
    pub fn now(&self) -> Now {
        self.started.elapsed()
    }

    /// Begins the planned stop. Returns whether this call was the one that began it.
    pub fn begin_drain(&self) -> bool {
        let now = self.now();
        self.draining_since.send_if_modified(|since| {
            let begins = since.is_none();
            since.get_or_insert(now);
            begins
        })
    }

    /// Whether the planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining_since().is_some()
    }

    /// When the planned stop began; `None` if it has not.
    pub fn draining_since(&self) -> Option<Now> {
        *self.draining_since.borrow()
    }

    /// Returns when the planned stop begins.
    pub async fn drain_begun(&self) {
        let mut rx = self.draining_since.subscribe();
        // Can't fail: `self` keeps the sender alive.
        let _ = rx.wait_for(Option::is_some).await;
    }

    /// Records that the ledger has ended this incarnation. Returns whether this is the first call.
    pub fn end_incarnation(&self) -> bool {
        !self.incarnation_ended.send_replace(true)
    }

    /// Returns when the ledger has ended this incarnation: the process must begin a new one.
    pub async fn incarnation_over(&self) {
        let mut rx = self.incarnation_ended.subscribe();
        // Can't fail: `self` keeps the sender alive.
        let _ = rx.wait_for(|ended| *ended).await;
    }

    /// Sleeps, but no longer than until the planned stop begins.
    pub async fn sleep_unless_draining(&self, time: Duration) {
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            () = self.drain_begun() => {}
        }
    }
}
