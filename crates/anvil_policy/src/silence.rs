//! How long an endpoint may send nothing before another one is asked in its place.
//!
//! *Load pattern:* a sound endpoint sends nothing for a second or so and goes on, while others are
//! lost without a sign.
//!
//! *Without it:* a stream whose endpoint was about to go on is ended for a silence that its client
//! would have tolerated, or one whose endpoint is lost is moved so late that its client has left.
//!
//! *Mechanism:* clients abandon a stream after [`max_client_gap`], also before its first event. A stream
//! that may be resumed is moved after a part of that time ([`max_stream_silence`]), and a plain
//! request that may be repeated after a multiple of its target ([`max_plain_silence`]). From then on the
//! router looks for another endpoint, and keeps the silent one until it has found one. The time between
//! looks doubles from [`LOOK_INTERVAL`] up to [`MAX_LOOK_INTERVAL`], because hundreds of streams may look
//! among hundreds of endpoints.
//!
//! *Thresholds:* the part is three quarters. That is at least 1.5 s, the longest silence of an endpoint
//! that goes on, and leaves a quarter for the first event of the next endpoint.

use std::time::Duration;

/// Shortest gap after which a client abandons a stream.
const MIN_CLIENT_GAP: Duration = Duration::from_secs(2);
/// The same as a multiple of the route's target latency.
const CLIENT_GAP_TARGETS: u32 = 4;
/// The same as a multiple of the route's target for the longest gap.
const CLIENT_GAP_GAPS: u32 = 8;
/// A stream is moved after this part of the client's gap.
const STREAM_FRACTION: f64 = 0.75;
/// Longest silence of a sound endpoint that goes on. No stream is moved before.
pub const MIN_STREAM_SILENCE: Duration = Duration::from_millis(1_500);
/// A plain request is sent elsewhere after this multiple of its target: an endpoint that takes longer
/// is more likely lost than slow.
const PLAIN_TARGETS: u32 = 2;

/// Time between the first two looks for an endpoint in place of a silent one.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two of them.
pub const MAX_LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Gap after which the client of a stream abandons it. `max_gap` is the route's target for the longest
/// gap, if there is one.
pub fn max_client_gap(target_latency: Duration, max_gap: Option<Duration>) -> Duration {
    let by_target = target_latency.saturating_mul(CLIENT_GAP_TARGETS);
    let by_gap = max_gap.unwrap_or_default().saturating_mul(CLIENT_GAP_GAPS);
    MIN_CLIENT_GAP.max(by_target).max(by_gap)
}

/// Silence after which a stream that may be resumed is moved to another endpoint. `time_left` is the
/// time from the beginning of the silence to the deadline.
pub fn max_stream_silence(
    target_latency: Duration,
    max_gap: Option<Duration>,
    time_left: Duration,
) -> Duration {
    let by_client = max_client_gap(target_latency, max_gap).mul_f64(STREAM_FRACTION);
    let fresh_start = target_latency.saturating_add(max_gap.unwrap_or_default());
    let by_deadline = time_left.saturating_sub(fresh_start);
    by_client.min(by_deadline.max(MIN_STREAM_SILENCE))
}

/// Silence after which a plain request that may be repeated is sent to another endpoint.
pub fn max_plain_silence(target_latency: Duration) -> Duration {
    target_latency.saturating_mul(PLAIN_TARGETS)
}

/// The looks for another endpoint in one silence.
#[derive(Debug, Clone, Copy)]
pub struct Looks {
    interval: Duration,
}

impl Default for Looks {
    fn default() -> Self {
        Self {
            interval: LOOK_INTERVAL,
        }
    }
}

impl Looks {
    /// Time until the next look, after one that has found none.
    pub fn next_interval(&mut self) -> Duration {
        let interval = self.interval;
        self.interval = interval.saturating_mul(2).min(MAX_LOOK_INTERVAL);
        interval
    }
}
