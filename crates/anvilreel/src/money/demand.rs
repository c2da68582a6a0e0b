//! Measured demand on one budget.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_world::prelude::*;

/// Number of updates over which demand is averaged; there is one update a second by default.
const SMOOTHING_UPDATES: u64 = 8;

/// Demand at one router on one budget: tokens charged per second, smoothed, and the largest recent
/// request. Tokens that running requests reserve beyond their cost are freed anyway, so they count
/// only through the largest request. Recording takes no lock; the averages are updated once a
/// batch.
#[derive(Debug, Default)]
pub(super) struct Demand {
    charged_since_update: AtomicU64,
    rate: AtomicU64,
    /// Requests settled since the last update.
    settled_since_update: AtomicU64,
    /// Requests settled in 1,000 s, smoothed.
    requests_per_1000_s: AtomicU64,
    largest: AtomicU64,
    last_request_ms: AtomicU64,
}

impl Demand {
    pub(super) fn record_request(&self, now: Now, tokens: Tokens) {
        self.largest.fetch_max(tokens, Ordering::Relaxed);
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.last_request_ms.fetch_max(millis, Ordering::Relaxed);
    }

    pub(super) fn record_cost(&self, tokens: Tokens) {
        self.charged_since_update
            .fetch_add(tokens, Ordering::Relaxed);
        self.settled_since_update.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds what was recorded since the last call to the averages. A fall is smoothed. A rise takes
    /// effect at once, so that a burst does not lack tokens for as long as averaging takes; with
    /// `smooth` a rise is averaged over that time, too. Returns the tokens and requests that were
    /// added.
    pub(super) fn update_averages(
        &self,
        over: Duration,
        smooth: Option<Duration>,
    ) -> (Tokens, u64) {
        let millis = u64::try_from(over.as_millis()).unwrap_or(u64::MAX).max(1);
        let tokens = self.charged_since_update.swap(0, Ordering::Relaxed);
        let rate = smoothed(
            self.rate(),
            tokens.saturating_mul(1_000) / millis,
            millis,
            smooth,
        );
        self.rate.store(rate, Ordering::Relaxed);
        let settled = self.settled_since_update.swap(0, Ordering::Relaxed);
        let measured = settled.saturating_mul(1_000_000) / millis;
        let old = self.requests_per_1000_s.load(Ordering::Relaxed);
        let frequency = smoothed(old, measured, millis, smooth);
        self.requests_per_1000_s.store(frequency, Ordering::Relaxed);
        let largest = self.largest();
        let faded = largest - largest / 64;
        self.largest.fetch_min(faded.max(1), Ordering::Relaxed);
        (tokens, settled)
    }

    /// Tokens charged per second.
    pub(super) fn rate(&self) -> Tokens {
        self.rate.load(Ordering::Relaxed)
    }

    /// Requests expected within this time.
    pub(super) fn expected_within(&self, time: Duration) -> f64 {
        let frequency = self.requests_per_1000_s.load(Ordering::Relaxed);
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52 requests")]
        let per_second = frequency as f64 / 1e3;
        per_second * time.as_secs_f64()
    }

    /// The largest recent request, in tokens; decays over about a minute.
    pub(super) fn largest(&self) -> Tokens {
        self.largest.load(Ordering::Relaxed)
    }

    /// When tokens were last requested.
    pub(super) fn last_request(&self) -> Now {
        Duration::from_millis(self.last_request_ms.load(Ordering::Relaxed))
    }
}

/// The average after `millis` milliseconds for which `measured` was determined.
fn smoothed(old: u64, measured: u64, millis: u64, smooth: Option<Duration>) -> u64 {
    match smooth {
        None => average(old, SMOOTHING_UPDATES - 1, measured, 1).max(measured),
        Some(smooth) => {
            let whole = u64::try_from(smooth.as_millis()).unwrap_or(u64::MAX);
            let new = millis.min(whole);
            average(old, whole - new, measured, new)
        }
    }
}

/// The weighted mean of two numbers.
fn average(a: u64, weight_a: u64, b: u64, weight_b: u64) -> u64 {
    let sum = u128::from(a) * u128::from(weight_a) + u128::from(b) * u128::from(weight_b);
    let weights = (u128::from(weight_a) + u128::from(weight_b)).max(1);
    u64::try_from(sum / weights).unwrap_or(u64::MAX)
}
