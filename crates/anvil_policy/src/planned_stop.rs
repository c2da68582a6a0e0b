//! Whether a router that is stopping begins to serve a request.
//!
//! *Load pattern:* a router is told to stop. Load balancers notice that only seconds later, and
//! send it connections meanwhile; where many routers of a zone stop together, up to the end. Some
//! requests take milliseconds, some streams almost as long as the whole stop.
//!
//! *Without it:* the router begins whatever it accepts, and closes all connections at the end of
//! its grace period. Streams that began too late are cut in the middle, although another router
//! could have served them from the start. A router that refuses everything instead turns away short
//! requests when there is no other router to go to.
//!
//! *Mechanism:* a request begins if its deadline lies before the end of serving: it is answered by
//! then, whatever happens. Any other one begins only if its response is expected to be complete by
//! then ([`begins_in_time`]). The expectation comes from the route's responses that were recently
//! complete ([`ResponseTimes`]): the longest time to their beginning, and the longest time for each
//! token that the request allowed, or the longest one as a whole where requests state no tokens. Two
//! half windows are kept, so that a maximum is forgotten. A route without any is refused.
//!
//! The tokens matter: on a route whose responses take one to eight seconds, a refusal of all would
//! turn away mostly requests that could be complete, and those that meet a second stopping router
//! would not be served at all. They also keep a router that has just started, and knows only the
//! short ones of a route, from beginning its long ones.
//!
//! *Thresholds:* a refusal in vain costs the client one more connection, a response that is cut all
//! of its work. So the margin is wide, and wider while few responses are known: the longest of a
//! few says little about the next one. A multiple of a short time is no reserve for a pause of an
//! endpoint, so [`PAUSE_RESERVE`] is added. Short requests are refused that long before the end.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::prelude::*;

/// A response time counts for one to two of these.
const HALF_WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of routes in one half window; the response times of others are not known.
const MAX_ROUTES: usize = 4_096;
/// The expected time of a response, as a multiple of the longest one known.
const MARGIN: f64 = 1.5;
/// The same while fewer than [`MIN_RESPONSES`] are known.
const MARGIN_OF_FEW: f64 = 3.0;
/// See [`MARGIN_OF_FEW`].
const MIN_RESPONSES: u32 = 8;
/// Fewer tokens count as this many: a pause in a short response says little about longer ones.
const MIN_RATED_TOKENS: Tokens = 64;
/// Time that is left beyond the expected time of a response: a sound endpoint may be silent for
/// 1.5 s, and then the response is still to be passed on.
const PAUSE_RESERVE: Duration = Duration::from_millis(1_750);

/// A complete response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CompleteResponse {
    /// Time from the request's arrival to the last byte.
    pub took: Duration,
    /// The part of it up to the beginning of the response.
    pub first: Duration,
    /// Maximum output tokens that the request stated; 0 if it stated none.
    pub max_output: Tokens,
}

/// What is known of the responses of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteTimes {
    longest: Duration,
    longest_first: Duration,
    /// Longest time after the beginning, by token that the request allowed, in nanoseconds.
    nanos_per_token: u64,
    responses: u32,
}

impl From<CompleteResponse> for RouteTimes {
    fn from(response: CompleteResponse) -> Self {
        let rest = response.took.saturating_sub(response.first);
        let nanos = u64::try_from(rest.as_nanos()).unwrap_or(u64::MAX);
        Self {
            longest: response.took,
            longest_first: response.first,
            nanos_per_token: match response.max_output {
                0 => 0,
                max_output => nanos / max_output.max(MIN_RATED_TOKENS),
            },
            responses: 1,
        }
    }
}

impl RouteTimes {
    fn and(self, other: Self) -> Self {
        Self {
            longest: self.longest.max(other.longest),
            longest_first: self.longest_first.max(other.longest_first),
            nanos_per_token: self.nanos_per_token.max(other.nanos_per_token),
            responses: self.responses.saturating_add(other.responses),
        }
    }

    fn expected(self, max_output: Tokens) -> Duration {
        let is_few = self.responses < MIN_RESPONSES;
        let margin = if is_few { MARGIN_OF_FEW } else { MARGIN };
        let longest = if max_output == 0 || self.nanos_per_token == 0 {
            self.longest
        } else {
            let rest = self.nanos_per_token.saturating_mul(max_output);
            self.longest_first + Duration::from_nanos(rest)
        };
        longest.mul_f64(margin)
    }
}

/// How long responses recently took, by route.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    current: BTreeMap<RouteName, RouteTimes>,
    previous: BTreeMap<RouteName, RouteTimes>,
    /// When the current half window began.
    current_since: Now,
}

impl ResponseTimes {
    /// Records a complete response.
    pub fn record(&mut self, now: Now, route: &RouteName, response: CompleteResponse) {
        self.forget_old(now);
        let response = RouteTimes::from(response);
        if let Some(times) = self.current.get_mut(route) {
            *times = times.and(response);
        } else if self.current.len() < MAX_ROUTES {
            self.current.insert(route.clone(), response);
        }
    }

    /// The time that a response of this route is expected to take at most, if the request states so
    /// many output tokens (0 if none); `None` if no response was complete recently.
    pub fn expected(&mut self, now: Now, route: &str, max_output: Tokens) -> Option<Duration> {
        self.forget_old(now);
        let halves = [self.current.get(route), self.previous.get(route)];
        let times = halves.into_iter().flatten().copied();
        let times = times.reduce(RouteTimes::and)?;
        Some(times.expected(max_output))
    }

    fn forget_old(&mut self, now: Now) {
        let age = now.saturating_sub(self.current_since);
        if age < HALF_WINDOW {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        self.current_since += HALF_WINDOW;
        if age >= 2 * HALF_WINDOW {
            self.previous.clear();
            self.current_since = now;
        }
    }
}

/// Whether a stopping router begins a request: `expected` is the expected time of its response,
/// `time_left` the time until its deadline, `time_to_end` that until the end of serving.
pub fn begins_in_time(
    expected: Option<Duration>,
    time_left: Duration,
    time_to_end: Duration,
) -> bool {
    let latest = time_to_end.saturating_sub(PAUSE_RESERVE);
    time_left < time_to_end || expected.is_some_and(|expected| expected < latest)
}
