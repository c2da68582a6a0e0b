//! Notices that the other side is silently gone.
//!
//! Failure: a silent network partition drops packets without a reset. It shows as a stream that
//! neither moves nor ends, for as long as TCP keeps trying (many minutes). The guard sends an h2
//! ping while streams are open; a connection whose ping stays unanswered is dropped, which ends
//! all its streams with an error at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::time::{sleep, timeout};

/// Time between pings.
const EVERY: Duration = Duration::from_secs(2);
/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(3);

/// Counts the streams that are open on a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenStreams(Arc<AtomicUsize>);

impl OpenStreams {
    /// Counts one more until the guard is dropped.
    pub(crate) fn enter(&self) -> OpenStream {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenStream(self.clone())
    }

    fn any(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }
}

/// One open stream.
#[derive(Debug)]
pub(crate) struct OpenStream(OpenStreams);

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns when the other side no longer answers; never, while it does.
pub(crate) async fn until_silent(pings: Option<PingPong>, open: OpenStreams) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        sleep(EVERY).await;
        if !open.any() {
            continue;
        }
        let answered = timeout(PATIENCE, pings.ping(Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
    }
}
