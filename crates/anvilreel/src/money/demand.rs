//! Measured demand on one budget.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_world::prelude::*;

/// Over how long demand is averaged, in seconds.
const SMOOTHING: u64 = 8;

/// Demand at one router on one budget: charged tokens a second, smoothed, and the largest
/// request lately. What running requests reserve beyond their cost comes back by itself, so it
/// counts only through the largest request. Counting takes no lock; the average moves once a batch.
#[derive(Debug, Default)]
pub(super) struct Demand {
    since: AtomicU64,
    rate: AtomicU64,
    /// Requests settled since the last fold.
    settled: AtomicU64,
    /// Requests settled in 1,000 s, smoothed.
    per_thousand_s: AtomicU64,
    largest: AtomicU64,
    last_millis: AtomicU64,
}

impl Demand {
    pub(super) fn note(&self, now: Now, tokens: Tokens) {
        self.largest.fetch_max(tokens, Ordering::Relaxed);
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.last_millis.fetch_max(millis, Ordering::Relaxed);
    }

    pub(super) fn note_cost(&self, tokens: Tokens) {
        self.since.fetch_add(tokens, Ordering::Relaxed);
        self.settled.fetch_add(1, Ordering::Relaxed);
    }

    /// Folds what came since the last call into the average. A fall is smoothed. A rise counts at
    /// once, so that a burst is not starved for as long as the average needs; with `smooth` it
    /// is averaged over that time, too.
    pub(super) fn fold(&self, over: Duration, smooth: Option<Duration>) {
        let millis = u64::try_from(over.as_millis()).unwrap_or(u64::MAX).max(1);
        let tokens = self.since.swap(0, Ordering::Relaxed);
        let rate = moved(
            self.rate(),
            tokens.saturating_mul(1_000) / millis,
            millis,
            smooth,
        );
        self.rate.store(rate, Ordering::Relaxed);
        let settled = self.settled.swap(0, Ordering::Relaxed);
        let now = settled.saturating_mul(1_000_000) / millis;
        let old = self.per_thousand_s.load(Ordering::Relaxed);
        let frequency = moved(old, now, millis, smooth);
        self.per_thousand_s.store(frequency, Ordering::Relaxed);
        let largest = self.largest();
        let faded = largest - largest / 64;
        self.largest.fetch_min(faded.max(1), Ordering::Relaxed);
    }

    /// Tokens a second.
    pub(super) fn rate(&self) -> Tokens {
        self.rate.load(Ordering::Relaxed)
    }

    /// Requests expected within this time.
    pub(super) fn expected_within(&self, time: Duration) -> f64 {
        let frequency = self.per_thousand_s.load(Ordering::Relaxed);
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52 requests")]
        let per_second = frequency as f64 / 1e3;
        per_second * time.as_secs_f64()
    }

    /// The largest request lately, in tokens; fades over about a minute.
    pub(super) fn largest(&self) -> Tokens {
        self.largest.load(Ordering::Relaxed)
    }

    /// When something was last wanted.
    pub(super) fn last(&self) -> Now {
        Duration::from_millis(self.last_millis.load(Ordering::Relaxed))
    }
}

/// An average after so many milliseconds in which `now` was measured.
fn moved(old: u64, now: u64, millis: u64, smooth: Option<Duration>) -> u64 {
    match smooth {
        None => average(old, SMOOTHING - 1, now, 1).max(now),
        Some(smooth) => {
            let whole = u64::try_from(smooth.as_millis()).unwrap_or(u64::MAX);
            let new = millis.min(whole);
            average(old, whole - new, now, new)
        }
    }
}

/// The mean of two numbers by their weights.
fn average(a: u64, weight_a: u64, b: u64, weight_b: u64) -> u64 {
    let sum = u128::from(a) * u128::from(weight_a) + u128::from(b) * u128::from(weight_b);
    let weights = (u128::from(weight_a) + u128::from(weight_b)).max(1);
    u64::try_from(sum / weights).unwrap_or(u64::MAX)
}
