//! One router's part of the requests that an endpoint takes a second from all routers together.
//!
//! *Answers:* an endpoint that announces a limit in its answers, before three or five hundred routers that
//! each see a part of the load, in bursts that reach all of them at once.
//!
//! *Without it:* each router takes the whole limit for its own, or none, and the endpoint gets it as many
//! times as there are routers.
//!
//! *How:* without a word between routers, by their number and each one's rank among them. Where the part of one
//! router is a request in two seconds or more, it is a token bucket. Where it is less, tokens that lie ready would
//! add up over all routers to more than the limit as soon as a burst comes. So each router may send one
//! request in a window of its own, by the time of day, once in each round. The windows begin one after the other, as many
//! a second as the endpoint takes requests, and overlap as far as a burst in all open ones may be borne, so that
//! a router with few requests has one for its window. In any four seconds half as much again as the limit, and five,
//! are sent at most. Where clocks differ, windows shift, but no router sends more often than its part.

use std::time::Duration;

use anvil_world::prelude::*;

/// Part of one router, in requests a second, from which on it keeps a token bucket.
const BUCKET_FROM: f64 = 0.5;
/// What a bucket holds, in seconds of its filling, beside its part of [`ALL_HOLD`]; one request at least. All buckets
/// together hold less than two seconds of the limit and five requests.
const BUCKET_HOLDS_S: f64 = 1.5;
/// Requests that all buckets together hold beside that.
const ALL_HOLD: f64 = 2.0;
/// Windows that are open at once, beyond those that begin within a second.
const OPEN_BEYOND: f64 = 2.0;
/// Least limit: an endpoint that takes nothing is asked now and then whether that still holds.
const LEAST_LIMIT: RateLimit = 50;

/// A router among those that share the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Its place among them, from 0.
    pub rank: u32,
    /// How many they are.
    pub routers: u32,
}

impl Turn {
    /// Its part of what all of them have.
    fn share(self, all: f64) -> f64 {
        all / f64::from(self.routers.max(1))
    }
}

/// What both clocks say at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// By the steady one.
    pub now: Now,
    /// By the time of day, since the epoch.
    pub time_of_day: Duration,
}

/// What one router sends to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct RateShare {
    limit: Option<RateLimit>,
    /// Since when any limit is known.
    since: Now,
    sent: Option<Sent>,
    /// Requests sent since a limit is known.
    count: u32,
    tokens: f64,
    filled: Now,
}

/// The last request.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Now,
    /// The round of windows that it was sent in.
    round: f64,
}

impl RateShare {
    /// The limit as it is known, in force now.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// An answer to a request sent at `sent` announces this limit, or none. Returns whether that is news.
    ///
    /// An answer that announces none ends a limit only if its request was sent when the limit was known: an earlier one
    /// may be from before the endpoint announced it.
    pub fn heard(&mut self, now: Now, sent: Now, word: Option<RateLimit>) -> bool {
        if word.is_none() && sent < self.since {
            return false;
        }
        self.told(now, word)
    }

    /// All routers are told of this limit, or that there is none any more. Returns whether that is news.
    pub fn told(&mut self, now: Now, limit: Option<RateLimit>) -> bool {
        if self.limit == limit {
            return false;
        }
        if self.limit.is_none() {
            self.since = now;
            self.count = 0;
            self.tokens = 0.0;
            self.filled = now;
        }
        self.limit = limit;
        true
    }

    /// Time until a request may be sent; nothing when it may be now.
    pub fn opens_in(&self, at: Clocks, turn: Turn) -> Duration {
        let Some(limit) = self.limit.map(per_second) else {
            return Duration::ZERO;
        };
        let share = turn.share(limit);
        if share >= BUCKET_FROM {
            let missing = 1.0 - self.tokens_at(at.now, turn, share);
            return seconds((missing / share).max(0.0));
        }
        Windows::of(limit, turn).opens_in(at, self.sent)
    }

    /// Sends a request if it may be sent now.
    pub fn send(&mut self, at: Clocks, turn: Turn) -> bool {
        if !self.opens_in(at, turn).is_zero() {
            return false;
        }
        let Some(limit) = self.limit.map(per_second) else {
            return true;
        };
        self.tokens = self.tokens_at(at.now, turn, turn.share(limit)) - 1.0;
        self.filled = at.now;
        self.count = self.count.saturating_add(1);
        self.sent = Some(Sent {
            at: at.now,
            round: Windows::of(limit, turn).round(at.time_of_day),
        });
        true
    }

    /// Requests sent since the limit is known, and thousandths of those that might have been.
    pub fn used(&self, now: Now, turn: Turn) -> (u64, u64) {
        let limit = self.limit.map_or(0, |limit| limit.max(LEAST_LIMIT));
        let time = now.saturating_sub(self.since).as_millis();
        let might = u128::from(limit) * time / 1_000 / u128::from(turn.routers.max(1));
        (self.count.into(), might.try_into().unwrap_or(u64::MAX))
    }

    fn tokens_at(&self, now: Now, turn: Turn, share: f64) -> f64 {
        let filled = now.saturating_sub(self.filled).as_secs_f64() * share;
        let holds = (BUCKET_HOLDS_S * share + turn.share(ALL_HOLD)).max(1.0);
        (self.tokens + filled).min(holds)
    }
}

/// One router's windows.
struct Windows {
    /// Length of one, in seconds.
    length: f64,
    /// Time from the beginning of one to that of the next, in seconds.
    round: f64,
    /// When the first one begins, in seconds.
    first: f64,
}

impl Windows {
    fn of(limit: f64, turn: Turn) -> Self {
        let round = f64::from(turn.routers.max(1)) / limit;
        Self {
            length: ((limit.ceil() + OPEN_BEYOND) / limit).min(round),
            round,
            first: f64::from(turn.rank) / limit,
        }
    }

    /// Which of them is open or was the last to be so.
    fn round(&self, time_of_day: Duration) -> f64 {
        ((time_of_day.as_secs_f64() - self.first) / self.round).floor()
    }

    fn opens_in(&self, at: Clocks, sent: Option<Sent>) -> Duration {
        let round = self.round(at.time_of_day);
        let into = at.time_of_day.as_secs_f64() - self.first - round * self.round;
        let to_next = seconds(self.round - into);
        let is_open = into < self.length;
        let Some(sent) = sent else {
            return if is_open { Duration::ZERO } else { to_next };
        };
        let since = at.now.saturating_sub(sent.at);
        // The time of day may have been set: by the steady clock a window and the next one are so far apart.
        let apart = seconds(self.round - self.length);
        let is_used = sent.round.total_cmp(&round).is_eq() && since < seconds(self.round);
        let by_window = if is_open && !is_used {
            Duration::ZERO
        } else {
            to_next
        };
        by_window.max(apart.saturating_sub(since))
    }
}

fn per_second(limit: RateLimit) -> f64 {
    // Above what a number can hold exactly, a request more or less doesn't matter.
    let limit = u32::try_from(limit.max(LEAST_LIMIT)).unwrap_or(u32::MAX);
    f64::from(limit) / 1e3
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
