//! Whether a list shows that an endpoint has started again under the id that it had.
//!
//! *Load pattern:* the endpoints of a service are restarted one after the other. Each one leaves, ends
//! and starts again under its id and at its address, and may be listed all the while.
//!
//! *Without it:* a router that takes the mark of leaving for final sends nothing to an endpoint for good
//! once it was restarted, and nothing to the service once all were. A router that believes each list
//! sends requests to an endpoint that is about to stop, since lists lag.
//!
//! *Mechanism:* an incarnation that leaves never becomes ready again. So a list that names its id as
//! ready is either older than what is known of the leaving, or shows a new incarnation. It shows one if
//! it was read so long after the leaving was first known that no list lags as far.
//!
//! *Thresholds:* an endpoint is listed as leaving for seconds before it ends, so a margin beside the
//! list's lag delays no new incarnation that was announced.

use std::time::Duration;

/// Margin beside the stated lag, as a multiple of it.
const LAG_MARGIN: u32 = 2;

/// Whether a list read `list_age` ago, which may lag by `max_lag`, shows a new incarnation if it names an
/// endpoint as ready that has been known as leaving for `known_for`.
pub fn is_new(known_for: Duration, list_age: Duration, max_lag: Duration) -> bool {
    known_for > list_age.saturating_add(max_lag.saturating_mul(LAG_MARGIN))
}
