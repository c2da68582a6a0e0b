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
//! token that they had, times the tokens that the request allows. Two half windows are kept, so that a
//! maximum is forgotten. A route without any is refused, and so is a request that allows tokens on a
//! route whose time for a token is not known. Requests that state no tokens are expected to take the
//! longest time of a whole response.
//!
//! The tokens matter: on a route whose responses take one to eight seconds, a refusal of all would
//! turn away mostly requests that could be complete, and those that meet a second stopping router
//! would not be served at all. What a request allows is a bound; how much of it other responses used
//! says nothing about the next one. So the time of a response is divided by the tokens that it had,
//! not by those that its request allowed, and each request counts as if it used all of its own.
//!
//! The longest gap of a response is no part of its time for a token: it is a pause, for which time is
//! left in any case, and it would count many times over in a short response.
//!
//! *Thresholds:* a refusal in vain costs the client one more connection, a response that is cut all
//! of its work. So the margin is wide, and wider while few responses are known: the longest of a
//! few says little about the next one. A multiple of a short time is no reserve for a pause of an
//! endpoint, so [`PAUSE_RESERVE`] is added. Short requests are refused that long before the end.
//! A request that states its tokens needs no margin once its route is known, as few responses use all of
//! them.

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
/// The same for a request that states the tokens that it allows.
const MARGIN_OF_STATED_AND_FEW: f64 = 1.5;
/// See [`MARGIN_OF_FEW`].
const MIN_RESPONSES: u32 = 8;
/// Responses with fewer events tell the time for a token only if no longer one does.
const MIN_RATED_EVENTS: u64 = 8;
/// Events that tell no time for a token: the first one, and the one after the longest gap.
const UNRATED_EVENTS: u64 = 2;
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
    /// Events that it had; 0 if it was no stream, or was read more slowly than it came.
    pub events: u64,
    /// Output tokens in one event.
    pub tokens_per_event: Tokens,
    /// Longest gap between two events.
    pub longest_gap: Duration,
}

impl CompleteResponse {
    /// Time for one output token, in nanoseconds, without the longest gap; `None` if it had too few
    /// events to tell.
    fn nanos_per_token(&self) -> Option<u64> {
        let rated = self.events.checked_sub(UNRATED_EVENTS)?;
        let rest = self.took.saturating_sub(self.first);
        let rest = rest.saturating_sub(self.longest_gap);
        let nanos = u64::try_from(rest.as_nanos()).unwrap_or(u64::MAX);
        nanos.checked_div(rated.saturating_mul(self.tokens_per_event))
    }
}

/// What is known of the responses of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteTimes {
    longest: Duration,
    longest_first: Duration,
    /// Longest time for a token, in nanoseconds.
    nanos_per_token: Option<u64>,
    /// The same in responses with few events.
    nanos_per_token_of_short: Option<u64>,
    /// Output tokens in the events that tell no time for a token.
    unrated_tokens: Tokens,
    responses: u32,
}

impl From<CompleteResponse> for RouteTimes {
    fn from(response: CompleteResponse) -> Self {
        let nanos = response.nanos_per_token();
        let is_rated = response.events >= MIN_RATED_EVENTS;
        Self {
            longest: response.took,
            longest_first: response.first,
            nanos_per_token: nanos.filter(|_| is_rated),
            nanos_per_token_of_short: nanos.filter(|_| !is_rated),
            unrated_tokens: UNRATED_EVENTS.saturating_mul(response.tokens_per_event),
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
            nanos_per_token_of_short: self
                .nanos_per_token_of_short
                .max(other.nanos_per_token_of_short),
            unrated_tokens: self.unrated_tokens.max(other.unrated_tokens),
            responses: self.responses.saturating_add(other.responses),
        }
    }

    /// `None` if the time for a token is not known.
    fn expected(self, max_output: Tokens) -> Option<Duration> {
        let is_few = self.responses < MIN_RESPONSES;
        if max_output <= self.unrated_tokens {
            let margin = if is_few { MARGIN_OF_FEW } else { MARGIN };
            return Some(self.longest.mul_f64(margin));
        }
        let margin = if is_few {
            MARGIN_OF_STATED_AND_FEW
        } else {
            1.0
        };
        let nanos = self.nanos_per_token.or(self.nanos_per_token_of_short)?;
        let rest = Duration::from_nanos(nanos.saturating_mul(max_output));
        let longest = self.longest_first.saturating_add(rest);
        Some(longest.mul_f64(margin))
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

    /// The time that a response of this route is expected to take at most, if the request allows so
    /// many output tokens (0 if it states none); `None` if recent responses don't tell.
    pub fn expected(&mut self, now: Now, route: &str, max_output: Tokens) -> Option<Duration> {
        self.forget_old(now);
        let halves = [self.current.get(route), self.previous.get(route)];
        let times = halves.into_iter().flatten().copied();
        let times = times.reduce(RouteTimes::and)?;
        times.expected(max_output)
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
