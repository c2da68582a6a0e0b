//! Which requests a gateway still begins during its planned stop, and when it closes all
//! connections. [`anvil_policy::planned_stop`] decides.

use std::future::Future;
use std::sync::PoisonError;
use std::time::Duration;

use anvil_policy::planned_stop::{CompleteResponse, begins_in_time};
use anvil_world::prelude::*;
use tokio::time::{Instant, sleep};

use crate::exchange::RequestRefusal;
use crate::gateway::Gateway;
use crate::reply::Cause;
use crate::send::pacing::retry_elsewhere_after;
use crate::table::Route;

/// All connections are closed this long before the end of the grace period.
const STOP_MARGIN: Duration = Duration::from_millis(350);
/// A request that still waits for something this long before that is refused: time to write the
/// refusal.
const REFUSAL_MARGIN: Duration = Duration::from_millis(100);
/// How often a waiting request checks whether it can still be complete.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Gateway {
    /// Time until the planned stop closes all connections; `None` if it has not begun.
    pub(crate) fn time_to_close(&self) -> Option<Duration> {
        let draining_since = self.lifecycle.draining_since()?;
        let close_at = draining_since + self.cfg.grace_period.saturating_sub(STOP_MARGIN);
        Some(close_at.saturating_sub(self.lifecycle.now()))
    }

    /// Records how long a complete response took.
    pub(crate) fn record_response_time(&self, route: &RouteName, response: CompleteResponse) {
        let now = self.lifecycle.now();
        let times = self.response_times.lock();
        // Sound after a panic elsewhere: each response time counts by itself.
        let mut times = times.unwrap_or_else(PoisonError::into_inner);
        times.record(now, route, response);
    }

    /// Whether the planned stop would cut a request off that begins now and states so many output
    /// tokens at most (0 if none).
    pub(crate) fn stop_would_cut(
        &self,
        route: &Route,
        max_output: Tokens,
        deadline: Instant,
    ) -> bool {
        let Some(time_to_close) = self.time_to_close() else {
            return false;
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let times = self.response_times.lock();
        let mut times = times.unwrap_or_else(PoisonError::into_inner);
        // How long other responses take doesn't depend on their tokens as far as is known.
        let max_output = if route.retry_mode.is_stream() {
            max_output
        } else {
            0
        };
        let expected = times.expected(self.lifecycle.now(), &route.name, max_output);
        !begins_in_time(expected, time_left, time_to_close)
    }

    /// Returns once the planned stop would cut a request off that begins then.
    pub(crate) async fn until_stop_would_cut(
        &self,
        route: &Route,
        max_output: Tokens,
        deadline: Instant,
    ) {
        self.lifecycle.drain_begun().await;
        while !self.stop_would_cut(route, max_output, deadline) {
            sleep(CHECK_INTERVAL).await;
        }
    }
    /// Does what precedes the first attempt of a request, or follows attempts that have not run.
    ///
    /// Failure: a request waits for tokens, the link or endpoints when all connections are closed.
    /// Its client is not told that the request has not run. So it is refused before.
    pub(crate) async fn refuse_before_close<T>(
        &self,
        not_yet_sent: impl Future<Output = Result<T, RequestRefusal>>,
    ) -> Result<T, RequestRefusal> {
        tokio::select! {
            biased;
            done = not_yet_sent => done,
            () = self.until_last_refusal() => Err((Cause::Leaving, retry_elsewhere_after())),
        }
    }

    /// Returns once a request that waits has to be refused.
    async fn until_last_refusal(&self) {
        self.lifecycle.drain_begun().await;
        let time_to_close = self.time_to_close().unwrap_or_default();
        sleep(time_to_close.saturating_sub(REFUSAL_MARGIN)).await;
    }
}
