//! How much of a budget a router holds, so that it can pay for requests while the ledger does not
//! answer.
//!
//! *Load pattern:* the ledger has no quorum for some seconds, or no router reaches it. Dozens of
//! routers draw on the same budgets, and most organisations send a request only every few seconds
//! to most routers.
//!
//! *Without it:* grants are sized for a ledger that answers within milliseconds. They are used up
//! within a second of an outage, sparse organisations hold nothing at all, and every request after
//! that is refused.
//!
//! *Mechanism:* while much of a budget is left, a router holds what its demand needs over the
//! longest outage that is tolerated, at least one request's bound
//! ([`OutageDemand::tokens_to_hold`]), and tops it up early, so that most of it is there whenever
//! an outage begins ([`tokens_to_request`]). What is too small to be useful or exceeds the need is
//! returned, but never before its replacement has arrived ([`tokens_to_return`]). As soon as the
//! ledger shows that little is left, the budget is scarce for a while ([`Scarcity`]) and the router
//! holds no more than before.
//!
//! *Thresholds:* what routers hold is lost if they are killed, and all of them may lose power at
//! once. So the time that is covered is at most an eighth of the time for which the budget lasts at
//! the fleet's spending ([`FleetBalance`]), and a router holds at most its part of an eighth of
//! what is left, in proportion to its part of the spending: routers with many connections hold more
//! than others. The demand is averaged over twice the outage: over less, an organisation with a
//! request every few seconds would appear to come and go. The fleet's spending is averaged in the
//! same way, so that the parts of all routers add up. Two standard deviations are added to the
//! expected number of requests, because a router that expects three of them often gets six.

use std::time::Duration;

use anvil_world::prelude::*;

use crate::token_counts::{to_tokens, tokens_to_f64};

/// Divisor of what is left: all routers together hold at most this part of it, so that no more is
/// lost if all are killed at once.
const LEFT_DIVISOR: Tokens = 8;
/// Divisor of that part: the bounds that routers hold independently of their part of the spending
/// use at most half of it.
const FLOOR_DIVISOR: Tokens = 2;
/// Divisor of what a router holds: a surplus beyond this part is returned.
const SURPLUS_DIVISOR: Tokens = 4;
/// For how long a balance is used, as a multiple of the outage. An outage must not end the cover,
/// but a ledger that answers batches and no balances (a previous build) must.
const BALANCE_LIFETIME_FACTOR: u32 = 3;
/// Minimum number of requests expected within the outage for any tokens to be held. With fewer, the
/// tokens would be lost more often by a killed router than used in an outage.
const MIN_EXPECTED_REQUESTS: f64 = 0.1;
/// Requests beyond the expected ones that are covered, in standard deviations of a Poisson
/// distribution.
const MARGIN: f64 = 2.0;
/// Length of the demand's window, as a multiple of the outage.
const WINDOW_FACTOR: u32 = 2;
/// Divisor of the window for recent demand, which counts instead where it is clearly higher: an
/// organisation that becomes hot is covered within half an outage.
const RECENT_DIVISOR: u32 = 4;
/// Recent demand is clearly higher from this multiple of the usual demand on.
const RISING_FACTOR: f64 = 1.5;
/// Requests expected by recent demand from which on it counts: a single request of a sparse
/// organisation is no rise.
const MIN_RISING_REQUESTS: f64 = 4.0;
/// For how long the largest request counts at least, as a multiple of the window: longer than the
/// gaps between the requests of a sparse organisation for which tokens are held. It does not fade
/// meanwhile, since a request of the same size would not fit any more.
const BOUND_EPOCH_FACTOR: u32 = 3;
/// Tokens are topped up when less than this part of them is free: four fifths.
const TOP_UP_NUMERATOR: Tokens = 4;
/// See [`TOP_UP_NUMERATOR`].
const TOP_UP_DENOMINATOR: Tokens = 5;
/// A grant with less than this many of the largest requests free is replaced by the next one. A
/// request is paid for out of one grant, so the rest of each grant is of no use to a large request.
const MIN_USEFUL_REQUESTS: Tokens = 4;
/// Time for which a budget counts as scarce after the ledger has shown that little is left.
const SCARCE_TIME: Duration = Duration::from_secs(5);

/// The longest outage that is tolerated, and what limits the tokens that are held for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutageLimits {
    /// The longest outage.
    pub horizon: Duration,
    /// Tokens of the budget that can still be granted.
    pub left: Tokens,
    /// Tokens charged per second at all routers, as measured.
    pub spending: f64,
    /// How much the measurement counts, from 0 to 1. For the rest, every router is assumed to spend
    /// as much as this one: a measurement over a second or two often shows nothing of a sparse
    /// organisation.
    pub confidence: f64,
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
    /// Time that the averages stand for, at most the window.
    observed: Duration,
}

impl Average {
    fn update(&mut self, window: Duration, elapsed: Duration, charged: Tokens, requests: u64) {
        let elapsed_s = elapsed.as_secs_f64();
        self.observed = (self.observed + elapsed).min(window);
        // The first updates have equal weights, those after a whole window fade exponentially.
        let divisor = self.observed.as_secs_f64().max(MIN_OBSERVED_S);
        let weight = 1.0 - (-elapsed_s / divisor).exp();
        let weight = if self.observed < window {
            elapsed_s / divisor
        } else {
            weight
        };
        let elapsed_s = elapsed_s.max(0.001);
        self.tokens_per_s += (tokens_to_f64(charged) / elapsed_s - self.tokens_per_s) * weight;
        self.requests_per_s += (tokens_to_f64(requests) / elapsed_s - self.requests_per_s) * weight;
    }
}

/// Whether demand has clearly risen, so that the recent average counts. `requests` is what that
/// average expects within an outage.
fn is_rising(usual: &Average, recent: &Average, requests: f64) -> bool {
    requests >= MIN_RISING_REQUESTS && recent.requests_per_s > RISING_FACTOR * usual.requests_per_s
}

/// What the ledger reported of one budget: what is left, and how fast all routers spend it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetBalance {
    /// Time, tokens left and tokens billed of the last report.
    last: Option<(Now, Tokens, Tokens)>,
    usual: Average,
    recent: Average,
}

impl FleetBalance {
    /// Records a balance. `billed` only rises, so top-ups do not count as spending.
    pub fn record(&mut self, horizon: Duration, now: Now, left: Tokens, billed: Tokens) {
        if let Some((at, _, billed_before)) = self.last {
            let elapsed = now.saturating_sub(at);
            let charged = billed.saturating_sub(billed_before);
            if elapsed.is_zero() {
                return;
            }
            let window = horizon * WINDOW_FACTOR;
            self.usual.update(window, elapsed, charged, 0);
            self.recent
                .update(window / RECENT_DIVISOR, elapsed, charged, 0);
        }
        self.last = Some((now, left, billed));
    }

    /// What limits the tokens to be held; `None` without a balance from the last three horizons.
    pub fn limits(&self, now: Now, horizon: Duration, routers: u32) -> Option<OutageLimits> {
        let (at, left, _) = self.last?;
        if now > at + horizon * BALANCE_LIFETIME_FACTOR {
            return None;
        }
        let (usual, recent) = (self.usual.tokens_per_s, self.recent.tokens_per_s);
        // Routers at which demand rises use their recent average, so the fleet's spending must
        // follow.
        let is_rising = recent > RISING_FACTOR * usual;
        let spending = if is_rising { recent } else { usual };
        Some(OutageLimits {
            horizon,
            left,
            spending,
            confidence: self
                .usual
                .observed
                .div_duration_f64(horizon * WINDOW_FACTOR),
            routers,
        })
    }
}

/// For how long after its last request a budget may have tokens held for an outage.
pub fn demand_lifetime(horizon: Duration) -> Duration {
    horizon.div_f64(MIN_EXPECTED_REQUESTS)
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
    /// Adds what was charged in the time `elapsed` since the last call. `largest` is the largest
    /// upper bound of a request in this time.
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

    /// Tokens charged per second, averaged over twice the outage.
    pub fn tokens_per_s(&self) -> f64 {
        self.usual.tokens_per_s
    }

    /// Upper bound of the largest recent request, in tokens.
    pub fn bound(&self) -> Tokens {
        self.bounds[0].max(self.bounds[1])
    }

    /// Tokens to be free in the router's grants; `None` if this router's part of the budget can't
    /// bear one request of mean cost, or hardly any request is expected within the time covered.
    pub fn tokens_to_hold(&self, limits: &OutageLimits) -> Option<Tokens> {
        let horizon_s = limits.horizon.as_secs_f64();
        let bound = self.bound();
        let recently_expected = self.recent.requests_per_s * horizon_s;
        let demand = if is_rising(&self.usual, &self.recent, recently_expected) {
            self.recent
        } else {
            self.usual
        };
        let own = demand.tokens_per_s;
        if own <= 0.0 || bound == 0 {
            return None;
        }
        let routers = limits.routers.max(1);
        let assumed = own * f64::from(routers);
        let fleet = assumed + (limits.spending - assumed) * limits.confidence;
        let fleet = fleet.max(own);
        let limit = limits.left / LEFT_DIVISOR;
        let covered_s = horizon_s.min(tokens_to_f64(limit) / fleet);
        let expected = demand.requests_per_s * covered_s;
        if expected < MIN_EXPECTED_REQUESTS {
            return None;
        }
        let mean_cost = own / demand.requests_per_s;
        let requests = expected + MARGIN * expected.sqrt();
        let needed = to_tokens((requests * mean_cost).ceil());
        // Nothing is returned until the surplus is reached, so it counts as held.
        let limit = limit - limit / (SURPLUS_DIVISOR + 1);
        // A router with few requests holds one bound, if all routers can.
        let floors = bound.saturating_mul(Tokens::from(routers));
        let bears_floors = floors <= limit / FLOOR_DIVISOR;
        let (floor, shared) = if bears_floors {
            (bound, limit - floors)
        } else {
            (0, limit)
        };
        let share = to_tokens(tokens_to_f64(shared) * (own / fleet));
        let hold = needed.max(bound).min(share).max(floor);
        (tokens_to_f64(hold) >= mean_cost).then_some(hold)
    }
}

/// Tokens to request, if it is time to top up. `free` lists what is free in each grant, oldest
/// first.
pub fn tokens_to_request(hold: Tokens, bound: Tokens, free: &[Tokens]) -> Option<Tokens> {
    if free.iter().sum::<Tokens>() >= top_up_below(hold) {
        return None;
    }
    Some(missing_tokens(hold, bound, free).max(bound.min(hold)))
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

/// What to return of each grant, in the order of `free`, oldest first: rests that the other grants
/// make up for, and what exceeds `hold` by more than a quarter.
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
    if total > hold + hold / SURPLUS_DIVISOR {
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
