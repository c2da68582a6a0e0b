//! Detects that the other side of a connection has become unresponsive.
//!
//! A network partition that drops packets without a reset leaves streams that neither progress nor end
//! for as long as TCP retransmits (many minutes). Therefore an h2 ping is sent regularly while streams
//! are open. A connection whose ping is not answered in time is dropped, which ends all its streams with
//! an error.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::time::{sleep, timeout};

/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time until a ping is answered.
const PING_TIMEOUT: Duration = Duration::from_secs(3);

/// Counts the streams that are open on a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenStreams(Arc<AtomicUsize>);

impl OpenStreams {
    /// Counts one more stream until the returned guard is dropped.
    pub(crate) fn enter(&self) -> OpenStreamGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenStreamGuard(self.clone())
    }

    fn any(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }
}

/// Counts as one open stream until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenStreamGuard(OpenStreams);

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns once the other side fails to answer a ping in time; never returns while it answers.
pub(crate) async fn until_unresponsive(pings: Option<PingPong>, open: OpenStreams) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        sleep(PING_INTERVAL).await;
        if !open.any() {
            continue;
        }
        let answered = timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
    }
}
