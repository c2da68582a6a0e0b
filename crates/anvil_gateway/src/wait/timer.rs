//! A task that runs while requests of a service wait, and sleeps until the next one expires or a
//! place is due.

use std::sync::Arc;

use tokio::time::timeout_at;

use super::service_queue::ServiceQueue;

/// Starts the task.
pub fn start(queue: Arc<ServiceQueue>) {
    tokio::spawn(async move {
        while let Some(next) = queue.tick() {
            // An earlier time was set if this does not time out.
            let _ = timeout_at(next, queue.timer_changed.notified()).await;
        }
    });
}
