//! How much of a budget a router holds, so that it can pay for requests while the ledger does not answer.
//!
//! *Load pattern:* the ledger has no quorum for some seconds, or no router reaches it. Dozens of routers draw
//! on the same budgets, and most organisations send a request only every few seconds to most routers.
//!
//! *Without it:* grants are sized for a ledger that answers within milliseconds. They are used up within a
//! second of an outage, sparse organisations hold nothing at all, and every request after that is refused.
//!
//! *Mechanism:* while much of a budget is left, a router holds what its demand needs over the longest outage
//! that is tolerated, at least one request's bound ([`OutageDemand::tokens_to_hold`]), and tops it up
//! early, so that most of it is there whenever an outage begins ([`tokens_to_request`]). What is too
//! small to be useful or exceeds the need is returned, but never before its replacement has arrived
//! ([`tokens_to_return`]). As soon as the ledger shows that little is left, the budget is scarce for a while
//! ([`Scarcity`]) and the router holds no more than before.
//!
//! *Thresholds:* what a router holds is lost if it is killed, so the same holdings at all routers may be
//! at most a quarter of the credit. The demand is averaged over twice the outage: over less, an organisation
//! with a request every few seconds would appear to come and go. Two standard deviations are added to the
//! expected number of requests, because a router that expects three of them often gets six.

use std::time::Duration;

use anvil_world::prelude::*;

/// Divisor of the credit: all routers together hold at most this part of it. A third of the routers
/// that are killed at once then lose a twelfth.
const CREDIT_DIVISOR: Tokens = 4;
/// Minimum number of requests expected within the outage for any tokens to be held. With fewer, the tokens
/// would be lost more often by a killed router than used in an outage.
const MIN_EXPECTED_REQUESTS: f64 = 0.1;
/// Requests beyond the expected ones that are covered, in standard deviations of a Poisson distribution.
const MARGIN: f64 = 2.0;
/// Length of the demand's window, as a multiple of the outage.
const WINDOW_FACTOR: u32 = 2;
/// Divisor of the window for recent demand, which counts instead where it is clearly higher: an organisation that
/// becomes hot is covered within half an outage.
const RECENT_DIVISOR: u32 = 4;
/// Recent demand is clearly higher from this multiple of the usual demand on.
const RISING_FACTOR: f64 = 1.5;
/// Requests expected by recent demand from which on it counts: a single request of a sparse organisation
/// is no rise.
const MIN_RISING_REQUESTS: f64 = 4.0;
/// For how long the largest request counts at least, as a multiple of the window: longer than the gaps between
/// the requests of a sparse organisation for which tokens are held. It does not fade meanwhile, since a request
/// of the same size would not fit any more.
const BOUND_EPOCH_FACTOR: u32 = 3;
/// Tokens are topped up when less than this part of them is free: four fifths.
const TOP_UP_NUMERATOR: Tokens = 4;
/// See [`TOP_UP_NUMERATOR`].
const TOP_UP_DENOMINATOR: Tokens = 5;
/// A grant with less than this many of the largest requests free is replaced by the next one. A request is
/// paid for out of one grant, so the rest of each grant is of no use to a large request.
const MIN_USEFUL_REQUESTS: Tokens = 4;
/// Time for which a budget counts as scarce after the ledger has shown that little is left.
const SCARCE_TIME: Duration = Duration::from_secs(5);

/// The longest outage that is tolerated, and what limits the tokens that are held for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutageLimits {
    /// The longest outage.
    pub horizon: Duration,
    /// What the organisation was credited in all.
    pub credit: Tokens,
    /// Number of routers that draw on the budget.
    pub routers: u32,
}

/// Minimum time that an average stands for: over less, the first requests would look like a burst.
const MIN_OBSERVED_S: f64 = 1.0;

/// Demand averaged over one window, or over the time since its first update if that is shorter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Average {
    tokens_per_s: f64,
    requests_per_s: f64,
    observed_s: f64,
}

impl Average {
    fn update(&mut self, window: Duration, elapsed: Duration, charged: Tokens, requests: u64) {
        let elapsed_s = elapsed.as_secs_f64();
        let window_s = window.as_secs_f64();
        self.observed_s = (self.observed_s + elapsed_s).min(window_s);
        // The first updates have equal weights, those after a whole window fade exponentially.
        let divisor = self.observed_s.max(MIN_OBSERVED_S);
        let weight = 1.0 - (-elapsed_s / divisor).exp();
        let weight = if self.observed_s < window_s {
            elapsed_s / divisor
        } else {
            weight
        };
        let elapsed_s = elapsed_s.max(0.001);
        self.tokens_per_s += (to_f64(charged) / elapsed_s - self.tokens_per_s) * weight;
        self.requests_per_s += (to_f64(requests) / elapsed_s - self.requests_per_s) * weight;
    }
}

/// Average demand of one organisation at one router.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutageDemand {
    usual: Average,
    recent: Average,
    /// Upper bounds of the largest requests of the current epoch and of the one before, in tokens.
    bounds: [Tokens; 2],
    /// Age of the current epoch.
    epoch_age: Duration,
}

impl OutageDemand {
    /// Adds what was charged in the time `elapsed` since the last call. `largest` is the largest upper
    /// bound of a request in this time.
    pub fn update(
        &mut self,
        horizon: Duration,
        elapsed: Duration,
        charged: Tokens,
        requests: u64,
        largest: Tokens,
    ) {
        let window = horizon * WINDOW_FACTOR;
        self.usual.update(window, elapsed, charged, requests);
        self.recent
            .update(window / RECENT_DIVISOR, elapsed, charged, requests);
        self.epoch_age += elapsed;
        if self.epoch_age >= window * BOUND_EPOCH_FACTOR {
            self.epoch_age = Duration::ZERO;
            self.bounds = [0, self.bounds[0]];
        }
        self.bounds[0] = self.bounds[0].max(largest);
    }

    /// Upper bound of the largest recent request, in tokens.
    pub fn bound(&self) -> Tokens {
        self.bounds[0].max(self.bounds[1])
    }

    /// Tokens to be free in the router's grants; `None` if the budget can't bear one request of mean cost at
    /// every router, or hardly any request is expected within an outage.
    pub fn tokens_to_hold(&self, limits: &OutageLimits) -> Option<Tokens> {
        let horizon_s = limits.horizon.as_secs_f64();
        let limit = limits.credit / CREDIT_DIVISOR / Tokens::from(limits.routers.max(1));
        let bound = self.bound();
        let recently = self.recent.requests_per_s;
        let is_rising = recently * horizon_s >= MIN_RISING_REQUESTS
            && recently > RISING_FACTOR * self.usual.requests_per_s;
        let demand = if is_rising { self.recent } else { self.usual };
        let expected = demand.requests_per_s * horizon_s;
        if expected < MIN_EXPECTED_REQUESTS || bound == 0 {
            return None;
        }
        let mean_cost = demand.tokens_per_s / demand.requests_per_s;
        if to_f64(limit) < mean_cost {
            return None;
        }
        let requests = expected + MARGIN * expected.sqrt();
        let needed = to_tokens((requests * mean_cost).ceil());
        Some(needed.max(bound).min(limit))
    }
}

/// Tokens to request, if it is time to top up. `free` lists what is free in each grant, oldest first.
pub fn tokens_to_request(hold: Tokens, bound: Tokens, free: &[Tokens]) -> Option<Tokens> {
    if free.iter().sum::<Tokens>() >= top_up_below(hold) {
        return None;
    }
    Some(missing_tokens(hold, bound, free).max(bound))
}

/// Tokens by which the grants that are large enough to be kept fall short of `hold`.
pub fn missing_tokens(hold: Tokens, bound: Tokens, free: &[Tokens]) -> Tokens {
    let useful = free.iter().filter(|free| is_useful(**free, bound));
    hold.saturating_sub(useful.sum())
}

/// What is returned to the ledger of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantReturn {
    /// Nothing.
    Nothing,
    /// This many of the free tokens.
    Part(Tokens),
    /// All free tokens; the grant can be closed.
    All,
}

/// What to return of each grant, in the order of `free`, oldest first: rests that the other grants make
/// up for, and what exceeds `hold` by more than a quarter.
pub fn tokens_to_return(hold: Tokens, bound: Tokens, free: &[Tokens]) -> Vec<GrantReturn> {
    let mut total: Tokens = free.iter().sum();
    let newest = free.len().saturating_sub(1);
    let mut returns: Vec<_> = free
        .iter()
        .enumerate()
        .map(|(i, free)| {
            let is_replaced = total - free >= top_up_below(hold) && !is_useful(*free, bound);
            if i == newest || !(is_replaced || *free == 0) {
                return GrantReturn::Nothing;
            }
            total -= free;
            GrantReturn::All
        })
        .collect();
    if total > hold + hold / CREDIT_DIVISOR {
        return_surplus(total - hold, free, &mut returns);
    }
    returns
}

/// What to return of each grant so that `keep` tokens stay free, from the oldest grant on.
pub fn return_down_to(keep: Tokens, free: &[Tokens]) -> Vec<GrantReturn> {
    let mut returns = vec![GrantReturn::Nothing; free.len()];
    let total: Tokens = free.iter().sum();
    return_surplus(total.saturating_sub(keep), free, &mut returns);
    returns
}

fn return_surplus(mut surplus: Tokens, free: &[Tokens], returns: &mut [GrantReturn]) {
    for (free, returned) in free.iter().zip(returns) {
        if *returned == GrantReturn::All || surplus == 0 || *free == 0 {
            continue;
        }
        *returned = if surplus >= *free {
            GrantReturn::All
        } else {
            GrantReturn::Part(surplus)
        };
        surplus -= surplus.min(*free);
    }
}

fn is_useful(free: Tokens, bound: Tokens) -> bool {
    free >= bound.saturating_mul(MIN_USEFUL_REQUESTS)
}

fn top_up_below(hold: Tokens) -> Tokens {
    hold - hold / TOP_UP_DENOMINATOR * (TOP_UP_DENOMINATOR - TOP_UP_NUMERATOR)
}

/// Whether little is left of a budget, as far as the ledger has shown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Scarcity {
    until: Option<Now>,
}

impl Scarcity {
    /// Records that the ledger granted `amount` of the requested tokens.
    pub fn record_grant(&mut self, now: Now, requested: Tokens, amount: Tokens) {
        if amount < requested {
            self.record_shortage(now);
        }
    }

    /// Records that the ledger refused a request, or recalled a grant.
    pub fn record_shortage(&mut self, now: Now) {
        self.until = Some(now + SCARCE_TIME);
    }

    /// Whether the router holds only what it needs until the ledger's next answer.
    pub fn is_scarce(&self, now: Now) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

#[expect(clippy::cast_precision_loss, reason = "a rate needs no last digit")]
fn to_f64(amount: u64) -> f64 {
    amount as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn to_tokens(amount: f64) -> Tokens {
    amount as Tokens
}
