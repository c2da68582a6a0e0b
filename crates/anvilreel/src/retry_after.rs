//! The `Retry-After` header of HTTP responses.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue};

/// After which time the sender of a response wants the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// No time is given.
    None,
    /// After this time.
    Time(Duration),
    /// The value is not a number of seconds.
    Unreadable,
}

impl From<&HeaderMap> for RetryAfter {
    /// The maximum of the readable values, if the header occurs several times.
    fn from(headers: &HeaderMap) -> Self {
        let values = headers.get_all(RETRY_AFTER);
        let times = values.iter().filter_map(seconds);
        match times.max() {
            Some(time) => Self::Time(time),
            None if headers.contains_key(RETRY_AFTER) => Self::Unreadable,
            None => Self::None,
        }
    }
}

/// Seconds, which may have a fraction.
fn seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
