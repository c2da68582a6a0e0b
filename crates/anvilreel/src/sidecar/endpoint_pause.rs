//! The pause that the endpoint asks for with a 503. [`anvil_policy::pause`] decides when it gets work
//! again.
//!
//! Failure: an overloaded endpoint turns calls away and says when to return. Without the pause, all
//! routers go on sending work through its sidecar, and its load is polled as before.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::pause::Pause;
use http::{HeaderMap, StatusCode};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::Core;
use crate::event;
use crate::events;
use crate::lifecycle::Lifecycle;
use crate::retry_after::RetryAfter;

/// The pause of one endpoint, shared by all who call it.
pub struct EndpointPause {
    pause: Mutex<Pause>,
    lifecycle: Lifecycle,
    began: Notify,
}

impl EndpointPause {
    /// No pause.
    pub fn new(lifecycle: Lifecycle) -> Self {
        Self {
            pause: Mutex::default(),
            lifecycle,
            began: Notify::new(),
        }
    }

    /// Whether it gets no calls now.
    pub fn is_paused(&self) -> bool {
        self.lock().is_paused(self.lifecycle.now())
    }

    /// Time until it may get work; zero if it may now.
    pub fn time_left(&self) -> Duration {
        self.lock().time_until_send(self.lifecycle.now())
    }

    /// Counts new work that is about to be sent. Returns false if the pause does not allow it.
    pub fn try_send(&self) -> bool {
        self.lock().try_send(self.lifecycle.now())
    }

    /// Applies the endpoint's response to new work.
    pub fn apply_response(&self, status: StatusCode, headers: &HeaderMap) {
        let now = self.lifecycle.now();
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return self.lock().record_taken_on(now);
        }
        if let RetryAfter::Time(length) = headers.into()
            && self.lock().request(now, length, rand::random())
        {
            self.began.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pause> {
        // Sound after a panic elsewhere: each value is valid by itself.
        self.pause.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Has new work refused during pauses, for as long as the process runs.
pub async fn publish(core: &Core) {
    let pause = core.client.pause();
    loop {
        pause.began.notified().await;
        let time_left = pause.time_left();
        event!(core.log, events::SIDECAR_ENDPOINT_PAUSE, "for_ms" => time_left.as_millis());
        core.publish_accepting();
        while pause.is_paused() {
            sleep(pause.time_left()).await;
        }
        core.publish_accepting();
        event!(core.log, events::SIDECAR_ENDPOINT_PAUSE_OVER);
    }
}
