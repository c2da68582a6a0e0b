//! Waits for the link before an endpoint is selected, so that no slot is held meanwhile.
//!
//! A request that then waits for a place gives its reservation back, and makes another one when it
//! is woken.

use std::time::Duration;

use anvil_policy::link_pacer::LinkBusy;
use tokio::time::sleep;

use super::link_budget::LinkReservation;
use crate::exchange::{Exchange, RequestRefusal};
use crate::metrics;
use crate::reply::Cause;

/// Assumed size of a request's head, in bytes. Bodies dominate, so an estimate is enough.
const HEAD_BYTES: u64 = 512;
/// Longest wait, as a fraction of the route's target latency and of the remaining time: as much is
/// left for the endpoint.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Shortest and longest retry-after time: another gateway can serve the request now. Random, so
/// that refused clients don't return together.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(100));

/// Retry-after time of a request that another gateway may serve at once.
pub(crate) fn retry_elsewhere_after() -> Duration {
    rand::random_range(RETRY_AFTER.0..=RETRY_AFTER.1)
}

impl Exchange {
    /// Waits until the link has room for the request. One that would wait too long is refused at
    /// once; one that may have run already waits for as long as its time allows.
    pub(crate) async fn wait_for_link(&mut self) -> Result<LinkReservation, RequestRefusal> {
        let time_left = self.time_left();
        let longest = if self.in_doubt {
            time_left
        } else {
            time_left.min(self.route.target_latency)
        };
        let max_wait = longest.mul_f64(MAX_WAIT_FRACTION);
        let reserved = self.reserve_link(max_wait);
        let reservation = reserved.map_err(|busy| {
            let wait = busy.wait;
            self.trace.step(format_args!(
                "link is busy for {wait:?}, allowed {max_wait:?}"
            ));
            let cause = if self.in_doubt {
                Cause::ResponseLost
            } else {
                Cause::LinkBusy
            };
            (cause, retry_elsewhere_after())
        })?;
        self.wait_for_reserved(&reservation).await;
        Ok(reservation)
    }

    /// The link for the request if it can be sent at once.
    pub(crate) fn link_if_free(&self) -> Option<LinkReservation> {
        self.reserve_link(Duration::ZERO).ok()
    }

    fn reserve_link(&self, max_wait: Duration) -> Result<LinkReservation, LinkBusy> {
        let bytes = HEAD_BYTES + self.body.len() as u64;
        self.gw.sockets.link.reserve(bytes, max_wait)
    }

    async fn wait_for_reserved(&mut self, reservation: &LinkReservation) {
        let wait = reservation.wait();
        if !wait.is_zero() {
            self.gw.metrics.time(metrics::LINK_WAIT, wait);
            self.trace.step(format_args!("waits {wait:?} for the link"));
            sleep(wait).await;
        }
    }
}
