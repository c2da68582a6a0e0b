//! The wait of one stream that its client takes up.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::taken_up::{max_wait, next_look};
use anvil_world::prelude::*;

use super::service_queue::ServiceQueue;

/// A stream that looks for an endpoint of its version, and may wait for one.
pub struct TakenUpWait {
    queue: Arc<ServiceQueue>,
    give_up_at: Now,
    /// Whether it is counted among those that wait.
    has_joined: bool,
    /// Whether it has taken a turn for the look that it has begun.
    has_turn: bool,
}

impl TakenUpWait {
    /// The wait of a stream whose client waits for this time.
    pub fn new(queue: Arc<ServiceQueue>, time_left: Duration) -> Self {
        Self {
            give_up_at: queue.now() + max_wait(time_left),
            queue,
            has_joined: false,
            has_turn: false,
        }
    }

    /// Begins a look for an endpoint. One that has waited, or finds others waiting, needs a turn
    /// for it; the error is the time until the next turn.
    pub fn try_begin_look(&mut self) -> Result<(), Duration> {
        if !self.has_joined && !self.queue.is_contended() {
            return Ok(());
        }
        let now = self.queue.now();
        self.queue.taken_up().try_take(now)?;
        self.has_turn = true;
        Ok(())
    }

    /// Ends a look in which no endpoint was found.
    pub fn end_look(&mut self) {
        if self.has_turn {
            self.queue.taken_up().give_back();
        }
        self.has_turn = false;
    }

    /// Time until the next look, if the first endpoint accepts a request after `wait`; `None` if
    /// the stream is not to wait for it.
    pub fn time_until_look(&mut self, wait: Duration) -> Option<Duration> {
        let now = self.queue.now();
        let at = next_look(now, wait, self.give_up_at)?;
        self.has_joined = self.has_joined || self.queue.taken_up().try_join();
        self.has_joined.then(|| at.saturating_sub(now))
    }

    /// Whether it waits or has waited.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }
}

impl Drop for TakenUpWait {
    fn drop(&mut self) {
        if self.has_joined {
            self.queue.taken_up().leave();
        }
    }
}
