//! What a process knows of its own life: incarnation, clock and whether it is leaving.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anvil_world::prelude::*;
use tokio::sync::watch;

/// A process's clock and its wish to leave. Cheap to clone.
#[derive(Clone)]
pub struct Life {
    /// Which life of the instance this is.
    pub incarnation: Incarnation,
    started: Instant,
    leaving: Arc<watch::Sender<bool>>,
    over: Arc<watch::Sender<bool>>,
}

impl Life {
    /// A new life. Its incarnation is the wall clock in microseconds, so that a later life is
    /// larger without a disk to remember the earlier one.
    pub fn begin() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since.unwrap_or_default().as_micros();
        Self {
            incarnation: Incarnation::try_from(micros).unwrap_or(Incarnation::MAX),
            started: Instant::now(),
            leaving: Arc::new(watch::Sender::new(false)),
            over: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Time since the process started, as state machines see it.
    pub fn now(&self) -> Now {
        self.started.elapsed()
    }

    /// Begins the planned stop. Returns whether it is this call that began it.
    pub fn leave(&self) -> bool {
        !self.leaving.send_replace(true)
    }

    /// Whether the planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns when the planned stop begins.
    pub async fn left(&self) {
        let mut told = self.leaving.subscribe();
        // The sender lives as long as this value, so waiting has no failure.
        let _ = told.wait_for(|leaving| *leaving).await;
    }

    /// Notes that the ledger holds this life to be over. Returns whether it is news.
    pub fn end(&self) -> bool {
        !self.over.send_replace(true)
    }

    /// Returns when the ledger holds this life to be over: the process must take a new one.
    pub async fn ended(&self) {
        let mut told = self.over.subscribe();
        // The sender lives as long as this value, so waiting has no failure.
        let _ = told.wait_for(|over| *over).await;
    }

    /// Sleeps, but no longer than until the planned stop begins.
    pub async fn pause(&self, time: Duration) {
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            () = self.left() => {}
        }
    }
}
