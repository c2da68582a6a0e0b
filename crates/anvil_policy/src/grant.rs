//! Sizes of grants, and when they are renewed and recalled.
//!
//! *Load pattern:* many routers that draw on one budget at the same time, until it is used up.
//!
//! *Without it:* large grants leave tokens idle in the wrong router, and callers elsewhere are
//! refused although the budget is not empty (false refusals). Small ones need a ledger call for
//! every request, and a partition causes refusals at once.
//!
//! *Mechanism:* a grant covers the measured demand over one horizon, but never takes more than a
//! part of what remains. Near the end the parts shrink with the remainder, so that the last tokens
//! reach the routers that request them.

use std::time::Duration;

use anvil_world::prelude::*;

use crate::token_counts::{to_tokens, tokens_to_f64};

/// How grants are sized.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantRule {
    /// Time that a grant is meant to last.
    pub horizon: Duration,
    /// Minimum grant while enough remains, in tokens.
    pub min_grant: Tokens,
    /// A grant is at most the remainder divided by this.
    pub remainder_divisor: u64,
    /// A grant is renewed when its free tokens last less than this part of the horizon.
    pub renew_below: f64,
}

impl Default for GrantRule {
    fn default() -> Self {
        Self {
            horizon: Duration::from_mins(1),
            min_grant: 10_000,
            remainder_divisor: 8,
            renew_below: 0.5,
        }
    }
}

/// State of a router's demand when it requests a grant.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Need {
    /// Demand, in tokens a second; see [`Demand`].
    pub rate: f64,
    /// Tokens that requests are waiting for: the sum of their reservations.
    pub waiting: Tokens,
    /// Free tokens in the grants that the router holds.
    pub free: Tokens,
}

impl GrantRule {
    /// Sets the horizon.
    pub fn with_horizon(mut self, horizon: Duration) -> Self {
        self.horizon = horizon;
        self
    }

    /// Tokens to request: those that requests are waiting for, and one horizon of demand.
    pub fn tokens_to_request(&self, need: &Need) -> Tokens {
        let ahead = to_tokens(need.rate * self.horizon.as_secs_f64()).max(self.min_grant);
        need.waiting.saturating_add(ahead).saturating_sub(need.free)
    }

    /// Whether to request a grant now: some waiting request is not covered, or the free tokens run
    /// low.
    pub fn needs_renewal(&self, need: &Need) -> bool {
        if need.waiting > need.free {
            return true;
        }
        let ahead = need.rate * self.horizon.as_secs_f64() * self.renew_below;
        need.free - need.waiting < to_tokens(ahead).max(self.min_grant / 2)
    }

    /// Tokens to grant out of what remains. `min_amount` is what the router needs for the requests
    /// that are waiting now; without it the last tokens could be divided into grants too small for
    /// any request. Zero if less than that remains.
    pub fn grant_size(&self, asked: Tokens, min_amount: Tokens, remaining: Tokens) -> Tokens {
        if min_amount > remaining {
            return 0;
        }
        let part = remaining / self.remainder_divisor.max(1);
        asked.min(part).max(min_amount).min(remaining)
    }

    /// Whether to recall unspent grants: a router needs more than remains.
    pub fn needs_recall(&self, min_amount: Tokens, remaining: Tokens) -> bool {
        min_amount > remaining
    }

    /// How long a router keeps a grant that no request has drawn on before it returns it on its
    /// own.
    pub fn idle_timeout(&self) -> Duration {
        self.horizon.saturating_mul(2)
    }
}

/// Measured demand on one budget in one router, in tokens a second.
///
/// The weight of a reservation halves in half a horizon, so that the demand of a minute ago still
/// counts and that of an hour ago doesn't.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    half_life_s: f64,
    sum: f64,
    updated_at: Now,
}

impl Demand {
    /// Measures demand over about this time.
    pub fn over(horizon: Duration) -> Self {
        Self {
            half_life_s: (horizon.as_secs_f64() / 2.0).max(0.001),
            sum: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    /// Counts tokens that were used or requested.
    pub fn add(&mut self, now: Now, amount: Tokens) {
        self.sum = self.sum_at(now) + tokens_to_f64(amount);
        self.updated_at = self.updated_at.max(now);
    }

    /// Demand in tokens a second.
    pub fn rate(&self, now: Now) -> f64 {
        // The sum of a steady stream with halving weights is rate * half-life / ln 2.
        self.sum_at(now) * std::f64::consts::LN_2 / self.half_life_s
    }

    fn sum_at(&self, now: Now) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-elapsed_s / self.half_life_s).exp2()
    }
}
