//! Policy for the size and timing of grants.

use std::time::Duration;

use anvil_world::prelude::*;

/// Sizes and times of grants.
#[derive(Debug, Clone)]
pub struct GrantPolicy {
    /// How long a grant is meant to last at the measured demand, unless the fleet's document says
    /// otherwise; it is renewed when a third of that is left.
    pub horizon: Duration,
    /// Time over which demand is averaged; with `None` a rise takes effect at once.
    ///
    /// Without averaging, a router that sees a few large requests a second takes those that end
    /// within one batch for a burst, and asks for several times what it will use. The surplus in
    /// its grant is refused to other routers, and lost if the router dies. Averaging suits a ledger
    /// that answers within a few milliseconds, which a burst can wait for.
    pub smoothing_window: Option<Duration>,
    /// Longest time that a request waits for the ledger's answer to a grant request.
    pub max_ledger_wait: Duration,
    /// Longest time that a request waits for unspent tokens of other routers' grants: recalling
    /// them takes up to three batches.
    pub max_recall_wait: Duration,
    /// How long recalled tokens are waited for. Those that have not been returned by then, in an
    /// unbroken series of refusals, belong to grants of routers that died, or are reserved by
    /// running requests.
    pub recall_timeout: Duration,
    /// Longest time between two refusals of one series: if many routers share an organisation's
    /// requests, each sees one only every few seconds.
    pub max_refusal_gap: Duration,
    /// A grant without demand for this time is returned.
    pub idle_timeout: Duration,
    /// Interval between batches, and before an unanswered one is sent again.
    pub batch_interval: Duration,
    /// Minimum interval between batches while a request waits for tokens that have not been asked
    /// for yet. A tenth of a second keeps the wait for a budget's first grant far below the 0.41 s
    /// allowed for a first token, at no more than 10 batches a second and router.
    pub urgent_batch_interval: Duration,
    /// How long the ledger's refusal of a grant request remains valid.
    pub refusal_lifetime: Duration,
    /// Number of largest requests that a grant holds beyond the demand of its horizon, so that a
    /// request does not wait for the ledger. If the ledger answers within a few milliseconds and
    /// budgets are small, 0 is better: tokens held in reserve at one router are unavailable to all
    /// others.
    pub spare_requests: Tokens,
    /// Number of requests that must be expected within the horizon for any tokens to be held ahead
    /// of them.
    ///
    /// If many routers see a large request of an organisation now and then, the surplus that each
    /// of them asks for is hardly ever used there, is refused to other routers, and is lost when
    /// the router dies: with 17 routers a tenth of a budget. If the ledger answers within a few
    /// milliseconds, the next such request can ask for itself.
    pub min_expected_requests: f64,
    /// The longest outage of the ledger for which tokens are held while much of a budget is left;
    /// `None` if no longer than the horizon. See `anvil_policy::outage_grant`.
    pub outage_horizon: Option<Duration>,
    /// Maximum number of reports in one batch: keeps a batch within 4 KB.
    pub max_reports: usize,
    /// Maximum number of grant requests in one batch.
    pub max_asks: usize,
}

impl Default for GrantPolicy {
    fn default() -> Self {
        Self {
            horizon: Duration::from_mins(1),
            smoothing_window: None,
            max_ledger_wait: Duration::from_secs(3),
            max_recall_wait: Duration::from_secs(6),
            recall_timeout: Duration::from_secs(6),
            max_refusal_gap: Duration::from_secs(6),
            idle_timeout: Duration::from_mins(2),
            batch_interval: Duration::from_secs(1),
            urgent_batch_interval: Duration::from_millis(100),
            refusal_lifetime: Duration::from_secs(2),
            spare_requests: 2,
            min_expected_requests: 0.0,
            outage_horizon: None,
            max_reports: 160,
            max_asks: 40,
        }
    }
}

impl GrantPolicy {
    /// Sizes of grants of a gateway. Without sidecars nothing shows what a lost gateway has spent, so everything
    /// left in its grants counts as spent.
    ///
    /// Grants are therefore small, and a request that needs more triggers a batch to the ledger, which
    /// answers within about 10 ms. A lost gateway costs what its horizon covers, 0.7 s of its demand
    /// averaged over the last second, and what its running requests have reserved. With an outage
    /// horizon, it also costs what was held for an outage, while much of the budget is left.
    pub fn for_gateways(outage_horizon: Option<Duration>) -> Self {
        Self {
            outage_horizon,
            horizon: Duration::from_millis(700),
            // About five batches, and about the duration of a response to a prompt.
            smoothing_window: Some(Duration::from_secs(1)),
            max_ledger_wait: Duration::from_millis(450),
            max_recall_wait: Duration::from_millis(120),
            // Four batches: the ledger recalls in one, routers return in the next, and a lost one is
            // sent again.
            recall_timeout: Duration::from_millis(800),
            max_refusal_gap: Duration::from_secs(10),
            idle_timeout: Duration::from_millis(400),
            batch_interval: Duration::from_millis(200),
            urgent_batch_interval: Duration::from_millis(10),
            refusal_lifetime: Duration::from_millis(300),
            spare_requests: 0,
            min_expected_requests: 1.0,
            ..Self::default()
        }
    }
}

/// Tokens needed for this time at a rate in tokens per second.
pub(super) fn needed_for(rate: Tokens, time: Duration) -> Tokens {
    let tokens = u128::from(rate) * time.as_millis() / 1_000;
    Tokens::try_from(tokens).unwrap_or(Tokens::MAX)
}
