//! Divides the rate limit of an endpoint between routers, without communication between them.
//!
//! *Load pattern:* an endpoint that announces a rate limit in its answers, and three to five
//! hundred routers that each see a part of the load, in bursts that reach all of them at once.
//!
//! *Without it:* each router uses the whole limit for itself, or none, and the endpoint receives it
//! as many times as there are routers.
//!
//! *Mechanism:* each router computes its part from the number of routers and its rank among them. A
//! router with a part of at least one request in two seconds uses a token bucket. With smaller
//! parts, the tokens saved up by all routers would exceed the limit in a burst. There, each router
//! may send one request in a time window of its own, by the time of day, once in each round of all
//! routers. The windows of consecutive routers start at the rate of the limit. They overlap, so
//! that a router with few requests is more likely to have one during its window, but only as far as
//! a burst in all open windows is acceptable.
//!
//! *Thresholds:* a [`BurstTolerance`] bounds what is sent beyond the limit. For a limit that an
//! endpoint announces, at most one and a half times the limit plus five requests are sent in any
//! four seconds. If clocks differ, windows shift, but no router sends more often than its part.

use std::time::Duration;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum part of a router, in requests a second, for which it uses a token bucket.
const MIN_BUCKET_RATE: f64 = 0.5;
/// Minimum limit, in requests per 1,000 s: an endpoint that accepts nothing is tried now and then,
/// to learn whether that still holds.
const MIN_LIMIT: RateLimit = 50;

/// How many requests all routers together may send at once, beyond a steady rate at the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurstTolerance {
    /// Seconds of the limit that all buckets together hold.
    bucket_s: f64,
    /// Seconds in which as many windows start as are open at a time.
    window_s: f64,
    /// Further requests or open windows, shared by all routers.
    requests: f64,
    /// Whether buckets may hold a request each, however many routers there are.
    any_number_of_buckets: bool,
    /// Whether a router in a new position may use a window that opened before it had it. What is
    /// tolerated in four seconds includes such windows; what is tolerated in one second does not.
    any_open_window: bool,
}

impl BurstTolerance {
    /// For limits that endpoints announce: all buckets together hold less than two seconds of the
    /// limit plus five requests.
    pub const ANNOUNCED: Self = Self {
        bucket_s: 1.5,
        window_s: 1.0,
        requests: 2.0,
        any_number_of_buckets: true,
        any_open_window: true,
    };

    /// For a limit of which at most `overshoot` times as many requests, plus `allowance`, may arrive
    /// in any second. Part of what is tolerated is kept for requests that travel unequally long.
    pub fn within_a_second(overshoot: f64, allowance: f64) -> Self {
        let seconds = USED_TOLERANCE * (overshoot - 1.0).max(0.0);
        Self {
            bucket_s: seconds,
            window_s: seconds,
            requests: (USED_TOLERANCE * allowance).max(1.0),
            any_number_of_buckets: false,
            any_open_window: false,
        }
    }

    fn allows_buckets(&self, limit: f64, turn: RouterRank) -> bool {
        let tokens = self.bucket_s * limit + self.requests;
        turn.share(limit) >= MIN_BUCKET_RATE
            && (self.any_number_of_buckets || f64::from(turn.routers) <= tokens)
    }
}

impl Default for BurstTolerance {
    fn default() -> Self {
        Self::ANNOUNCED
    }
}

/// Fraction of a tolerated burst that is used.
const USED_TOLERANCE: f64 = 0.6;

/// Position of a router among those that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterRank {
    /// Its rank among them, from 0.
    pub rank: u32,
    /// Number of routers.
    pub routers: u32,
    /// Since when it has had this position.
    pub since: Now,
}

impl RouterRank {
    /// The rank for one endpoint. All routers move their ranks by the same number.
    ///
    /// Failure: many endpoints are limited at once. With the same rank for all of them, a router's
    /// windows at all endpoints open at the same time, and until the next round it refuses requests
    /// although each endpoint has room for them.
    pub fn at_endpoint(self, endpoint: &str) -> Self {
        let routers = u64::from(self.routers.max(1));
        let rank = (u64::from(self.rank) + xxh3_64(endpoint.as_bytes()) % routers) % routers;
        Self {
            rank: u32::try_from(rank).unwrap_or(0),
            ..self
        }
    }

    /// Its part of a total.
    fn share(self, all: f64) -> f64 {
        all / f64::from(self.routers.max(1))
    }
}

/// Readings of both clocks at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// The monotonic clock.
    pub now: Now,
    /// The time of day, since the epoch.
    pub time_of_day: Duration,
}

/// Requests that one router sends to one endpoint under its limit.
#[derive(Debug, Clone, Default)]
pub struct RateShare {
    tolerance: BurstTolerance,
    limit: Option<RateLimit>,
    /// Since when a limit has been known.
    known_since: Now,
    sent: Option<Sent>,
    /// Requests sent since a limit has been known.
    sent_count: u32,
    tokens: f64,
    filled_at: Now,
}

/// The last request sent.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Now,
    /// The round of windows in which it was sent.
    round: f64,
    /// The router's position then.
    turn: RouterRank,
}

impl RateShare {
    /// Sets how far the limit may be exceeded for a moment.
    pub fn with_tolerance(mut self, tolerance: BurstTolerance) -> Self {
        self.tolerance = tolerance;
        self
    }

    /// The limit in force, if any.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Applies the limit, or its absence, that is announced in the answer to a request sent at
    /// `sent`. Returns whether the limit changed.
    ///
    /// An answer without a limit removes the limit only if its request was sent when the limit was
    /// already known: the answer to an earlier request may have been given before the endpoint
    /// announced it.
    pub fn apply_answer(&mut self, now: Now, sent: Now, announced: Option<RateLimit>) -> bool {
        if announced.is_none() && sent < self.known_since {
            return false;
        }
        self.set_limit(now, announced)
    }

    /// Sets the limit reported to all routers, or removes it. Returns whether it changed.
    pub fn set_limit(&mut self, now: Now, limit: Option<RateLimit>) -> bool {
        if self.limit == limit {
            return false;
        }
        if self.limit.is_none() {
            self.known_since = now;
            self.sent_count = 0;
            self.tokens = 0.0;
            self.filled_at = now;
        }
        self.limit = limit;
        true
    }

    /// Time until a request may be sent; zero if it may be sent now.
    pub fn time_until_send(&self, at: Clocks, turn: RouterRank) -> Duration {
        let Some(limit) = self.limit.map(per_second) else {
            return Duration::ZERO;
        };
        let share = turn.share(limit);
        if self.tolerance.allows_buckets(limit, turn) {
            let missing = 1.0 - self.tokens_at(at.now, turn, share);
            return seconds((missing / share).max(0.0));
        }
        Windows::of(limit, turn, self.tolerance).time_until_open(at, turn, self.sent)
    }

    /// Counts a request as sent, if it may be sent now; returns whether it may.
    pub fn try_send(&mut self, at: Clocks, turn: RouterRank) -> bool {
        if !self.time_until_send(at, turn).is_zero() {
            return false;
        }
        let Some(limit) = self.limit.map(per_second) else {
            return true;
        };
        self.tokens = self.tokens_at(at.now, turn, turn.share(limit)) - 1.0;
        self.filled_at = at.now;
        self.sent_count = self.sent_count.saturating_add(1);
        self.sent = Some(Sent {
            at: at.now,
            round: Windows::of(limit, turn, self.tolerance).round(at.time_of_day),
            turn,
        });
        true
    }

    /// Number of requests sent since a limit has been known, and a thousand times the number that
    /// was allowed.
    pub fn usage(&self, now: Now, turn: RouterRank) -> (u64, u64) {
        let limit = self.limit.map_or(0, |limit| limit.max(MIN_LIMIT));
        let time = now.saturating_sub(self.known_since).as_millis();
        let permitted = u128::from(limit) * time / 1_000 / u128::from(turn.routers.max(1));
        (
            self.sent_count.into(),
            permitted.try_into().unwrap_or(u64::MAX),
        )
    }

    fn tokens_at(&self, now: Now, turn: RouterRank, share: f64) -> f64 {
        let refilled = now.saturating_sub(self.filled_at).as_secs_f64() * share;
        let tolerance = self.tolerance;
        let bucket_capacity = tolerance.bucket_s * share + turn.share(tolerance.requests);
        (self.tokens + refilled).min(bucket_capacity.max(1.0))
    }
}

/// The send windows of one router.
struct Windows {
    /// Length of a window, in seconds.
    length: f64,
    /// Time between the starts of two windows of the same router, in seconds.
    round: f64,
    /// Start of the first window, in seconds.
    first_start: f64,
    /// As in [`BurstTolerance`].
    any_open_window: bool,
}

impl Windows {
    fn of(limit: f64, turn: RouterRank, tolerance: BurstTolerance) -> Self {
        let round = f64::from(turn.routers.max(1)) / limit;
        Self {
            length: (((limit * tolerance.window_s).ceil() + tolerance.requests) / limit).min(round),
            round,
            first_start: f64::from(turn.rank) / limit,
            any_open_window: tolerance.any_open_window,
        }
    }

    /// Number of the window that is open, or was open last.
    fn round(&self, time_of_day: Duration) -> f64 {
        ((time_of_day.as_secs_f64() - self.first_start) / self.round).floor()
    }

    fn time_until_open(&self, at: Clocks, turn: RouterRank, sent: Option<Sent>) -> Duration {
        let round = self.round(at.time_of_day);
        let since_start = at.time_of_day.as_secs_f64() - self.first_start - round * self.round;
        let to_next = seconds(self.round - since_start);
        // Failure: the number of routers changes, and all windows move. Those that would then be
        // open add to those that others have just used, which is more than may arrive in a second.
        // So a router in a new position waits for a window that opens after the change.
        let opened_at = at.now.saturating_sub(seconds(since_start));
        let may_use = self.any_open_window || opened_at >= turn.since;
        let is_open = since_start < self.length && may_use;
        let Some(sent) = sent else {
            return if is_open { Duration::ZERO } else { to_next };
        };
        let since = at.now.saturating_sub(sent.at);
        // The time of day may have been set, so the monotonic clock also enforces the minimum
        // distance between two windows.
        //
        // Failure: a router ends, all others move up, and each of them finds itself in a window that
        // it has not used. So after a change of its position a router waits for a whole round.
        let min_gap = if sent.turn == turn {
            seconds(self.round - self.length)
        } else {
            seconds(self.round)
        };
        let is_used = sent.round.total_cmp(&round).is_eq() && since < seconds(self.round);
        let by_window = if is_open && !is_used {
            Duration::ZERO
        } else {
            to_next
        };
        by_window.max(min_gap.saturating_sub(since))
    }
}

fn per_second(limit: RateLimit) -> f64 {
    // Above what a `u32` holds the exact number doesn't matter.
    let limit = u32::try_from(limit.max(MIN_LIMIT)).unwrap_or(u32::MAX);
    f64::from(limit) / 1e3
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
