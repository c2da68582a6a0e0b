//! One router's part of the requests that an endpoint takes a second from all routers together.
//!
//! *Answers:* an endpoint in need that names a limit in its answers, before three or five hundred routers that
//! each see a part of the load, in bursts that reach all of them at once.
//!
//! *Without it:* each router takes the whole limit for its own, or none, and the endpoint gets it as many
//! times as there are routers.
//!
//! *How:* without a word between routers, by their number and each one's rank among them. Where the part of one
//! router is a request in two seconds or more, it is a token bucket. Where it is less, tokens that lie ready would
//! add up over all routers to more than the limit as soon as a burst comes. So the time of day is cut into slots,
//! each of which belongs to as many routers as the endpoint takes requests in it; a router may send one in its own.
//! A slot lasts a second or more, and in any four seconds half as much again as the limit, and two, are sent at most.
//! Where clocks differ, slots overlap, but no router sends more often than its part.

use std::time::Duration;

use anvil_world::prelude::*;

/// Part of one router, in requests a second, from which on it keeps a token bucket.
const BUCKET_FROM: f64 = 0.5;
/// What a bucket holds, in seconds of its filling, but one request at least. All buckets together hold half a second
/// of the limit, or less than five requests and the limit of two seconds.
const BUCKET_HOLDS_S: f64 = 0.5;
/// Least limit, in requests a second: an endpoint that takes nothing is asked now and then whether that still holds.
const LEAST_LIMIT: f64 = 0.05;

/// A router among those that share the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Its place among them, from 0.
    pub rank: u32,
    /// How many they are.
    pub routers: u32,
}

/// A moment by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// By the steady one.
    pub now: Now,
    /// By the time of day, since the epoch.
    pub time_of_day: Duration,
}

/// What one router sends to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct RateShare {
    limit: Option<f64>,
    sent: Option<Now>,
    tokens: f64,
    filled: Now,
}

impl RateShare {
    /// The endpoint names this limit, in requests a second, or none any more. Returns whether that is news.
    pub fn named(&mut self, limit: Option<f64>, now: Now) -> bool {
        if self.limit == limit {
            return false;
        }
        if self.limit.is_none() {
            self.tokens = 0.0;
            self.filled = now;
        }
        self.limit = limit;
        true
    }

    /// Time until a request may be sent; nothing when it may be now.
    pub fn opens_in(&self, at: Moment, turn: Turn) -> Duration {
        let Some(limit) = self.limit else {
            return Duration::ZERO;
        };
        let limit = limit.max(LEAST_LIMIT);
        let share = limit / f64::from(turn.routers.max(1));
        if share >= BUCKET_FROM {
            let missing = 1.0 - self.tokens_at(at.now, share);
            return seconds((missing / share).max(0.0));
        }
        let slots = Slots::of(limit, turn);
        let by_slot = slots.opens_in(at.time_of_day);
        // Not twice in a slot, nor sooner than that where the time of day was set.
        let since = self.sent.map(|sent| at.now.saturating_sub(sent));
        match since.map(|since| slots.spacing().saturating_sub(since)) {
            None | Some(Duration::ZERO) => by_slot,
            Some(left) if by_slot.is_zero() => left,
            Some(left) => by_slot.max(left),
        }
    }

    /// Sends a request if it may be sent now.
    pub fn send(&mut self, at: Moment, turn: Turn) -> bool {
        if !self.opens_in(at, turn).is_zero() {
            return false;
        }
        if let Some(limit) = self.limit {
            let share = limit.max(LEAST_LIMIT) / f64::from(turn.routers.max(1));
            self.tokens = self.tokens_at(at.now, share) - 1.0;
            self.filled = at.now;
        }
        self.sent = Some(at.now);
        true
    }

    fn tokens_at(&self, now: Now, share: f64) -> f64 {
        let filled = now.saturating_sub(self.filled).as_secs_f64() * share;
        let holds = (BUCKET_HOLDS_S * share).max(1.0);
        (self.tokens + filled).min(holds)
    }
}

/// How the time of day is cut.
struct Slots {
    /// Length of one, in seconds.
    length: f64,
    /// How many there are until each router has had one.
    count: f64,
    /// The router's own.
    own: f64,
}

impl Slots {
    fn of(limit: f64, turn: Turn) -> Self {
        // So many that a slot lasts a second or more: in a shorter one a router often has no request to send.
        let routers_in_one = limit.ceil();
        let routers = f64::from(turn.routers.max(1));
        Self {
            length: routers_in_one / limit,
            count: (routers / routers_in_one).ceil(),
            own: (f64::from(turn.rank.min(turn.routers.saturating_sub(1))) / routers_in_one)
                .floor(),
        }
    }

    fn opens_in(&self, time_of_day: Duration) -> Duration {
        let cycle = self.length * self.count;
        let into_own = time_of_day.as_secs_f64() - self.own * self.length;
        let into_own = into_own.rem_euclid(cycle);
        if into_own < self.length {
            return Duration::ZERO;
        }
        seconds(cycle - into_own)
    }

    /// Least time between two requests of one router.
    fn spacing(&self) -> Duration {
        seconds(self.length * (self.count - 1.0).max(1.0))
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
