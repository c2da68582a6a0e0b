//! How large a grant is, when it is renewed, and when unspent ones are called back.
//!
//! *Answers:* a budget that many routers draw on at once, up to its last token.
//!
//! *Without it:* large grants leave the money idle in the wrong router, and callers elsewhere
//! are refused although the budget is not empty (false refusals); small ones ask the ledger for
//! every request, and a partition refuses at once.
//!
//! *How:* a grant lasts one horizon at the measured demand, but never takes more than a part of
//! what remains. Near the end the parts shrink with the remainder, so the last tokens are found
//! by whoever asks.

use std::time::Duration;

use anvil_world::prelude::*;

/// How grants are sized.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantRule {
    /// Time that a grant is meant to last.
    pub horizon: Duration,
    /// Least grant while plenty remains, in tokens.
    pub least: Tokens,
    /// A grant is at most the remainder divided by this.
    pub parts: u64,
    /// Renewed when what is free lasts less than this part of the horizon.
    pub renew_below: f64,
}

impl Default for GrantRule {
    fn default() -> Self {
        Self {
            horizon: Duration::from_mins(1),
            least: 10_000,
            parts: 8,
            renew_below: 0.5,
        }
    }
}

/// What a router knows when it asks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Need {
    /// Demand, in tokens a second; see [`Demand`].
    pub rate: f64,
    /// Tokens that requests wait for now: the sum of their reservations.
    pub waiting: Tokens,
    /// Tokens free in the grants that are held.
    pub free: Tokens,
}

impl GrantRule {
    /// With this horizon.
    pub fn with_horizon(mut self, horizon: Duration) -> Self {
        self.horizon = horizon;
        self
    }

    /// How much to ask for: what waits, and one horizon of demand.
    pub fn ask(&self, need: &Need) -> Tokens {
        let ahead = tokens(need.rate * self.horizon.as_secs_f64()).max(self.least);
        need.waiting.saturating_add(ahead).saturating_sub(need.free)
    }

    /// Whether to ask now: something waits that is not covered, or what is free runs low.
    pub fn renews(&self, need: &Need) -> bool {
        if need.waiting > need.free {
            return true;
        }
        let ahead = need.rate * self.horizon.as_secs_f64() * self.renew_below;
        need.free - need.waiting < tokens(ahead).max(self.least / 2)
    }

    /// How much of what remains is granted. `least` is what the asker needs for the requests
    /// that wait now; without it the last tokens could be cut into grants too small for any
    /// request. Nothing when not even that remains.
    pub fn size(&self, asked: Tokens, least: Tokens, left: Tokens) -> Tokens {
        if least > left {
            return 0;
        }
        let part = left / self.parts.max(1);
        asked.min(part).max(least).min(left)
    }

    /// Whether unspent grants are called back: somebody needs more than remains.
    pub fn recalls(&self, least: Tokens, left: Tokens) -> bool {
        least > left
    }

    /// How long a router keeps a grant that no request has drawn on before it gives it back by
    /// itself.
    pub fn idle(&self) -> Duration {
        self.horizon.saturating_mul(2)
    }
}

/// Measured demand on one budget in one router, in tokens a second.
///
/// The weight of a reservation halves in half a horizon, so the demand of a minute ago is still
/// seen and that of an hour ago isn't.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    halving: f64,
    sum: f64,
    at: Now,
}

impl Demand {
    /// Demand seen over about this time.
    pub fn over(horizon: Duration) -> Self {
        Self {
            halving: (horizon.as_secs_f64() / 2.0).max(0.001),
            sum: 0.0,
            at: Duration::ZERO,
        }
    }

    /// Counts tokens that were used or asked for.
    pub fn add(&mut self, now: Now, amount: Tokens) {
        self.sum = self.sum_at(now) + real(amount);
        self.at = self.at.max(now);
    }

    /// Tokens a second.
    pub fn rate(&self, now: Now) -> f64 {
        // The sum of a steady stream under halving weights is rate * halving / ln 2.
        self.sum_at(now) * std::f64::consts::LN_2 / self.halving
    }

    fn sum_at(&self, now: Now) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-passed / self.halving).exp2()
    }
}

#[expect(clippy::cast_precision_loss, reason = "a rate needs no last digit")]
fn real(amount: Tokens) -> f64 {
    amount as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn tokens(amount: f64) -> Tokens {
    amount as Tokens
}
