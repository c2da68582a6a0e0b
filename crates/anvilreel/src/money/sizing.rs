//! How much is asked for and when: the numbers behind grants.

use std::time::Duration;

use anvil_world::prelude::*;

/// Sizes and times of grants. The defaults are the measured ones of docs/design/02-money.md.
#[derive(Debug, Clone)]
pub struct GrantPolicy {
    /// How long a grant is meant to last at the measured demand, until the fleet's document says
    /// otherwise; it is renewed when a third of that is left.
    pub horizon: Duration,
    /// Time over which demand is averaged; with `None` a rise counts at once.
    ///
    /// Failure: a router sees a few large requests a second. Those that end within one batch look
    /// like a flood, and it asks for several times what it will use. What then lies in its grant is
    /// refused elsewhere, and lost when it dies. Averaging suits a ledger that answers in some
    /// milliseconds, which a burst can wait for.
    pub smooth_over: Option<Duration>,
    /// Longest time that a request waits for the ledger's word on more money.
    pub patience: Duration,
    /// Longest time that a request waits for money that lies unspent in other routers' grants:
    /// calling it back takes up to three batches.
    pub recall_patience: Duration,
    /// What was called back and has not come within this time lies in grants of routers that died, or is set
    /// aside by running requests: with an unbroken row of refusals it is not waited for any more.
    pub recalled_within: Duration,
    /// Longest time between two refusals of a row: where many routers share an organisation's requests,
    /// each sees one every few seconds.
    pub row_within: Duration,
    /// A grant without demand for so long is given back.
    pub idle: Duration,
    /// Time between two batches, and before an unanswered one is sent again.
    pub batch_every: Duration,
    /// Least time between two batches while a request waits for money that was not asked for yet.
    /// A tenth of a second keeps the wait for a budget's first grant far below the 0.41 s for a
    /// first token, at 10 batches a second and router at the very worst.
    pub urgent_every: Duration,
    /// For how long the ledger's "no" to an ask is taken for the present truth.
    pub verdict_holds: Duration,
    /// Largest requests that a grant holds beyond the demand of its horizon, so that a request
    /// does not wait for the ledger. Where the ledger answers within some milliseconds and budgets
    /// are small, 0: what lies ready in every router is lost to all others.
    pub spare_requests: Tokens,
    /// Requests that must be expected within the horizon for anything to be held ahead of them.
    ///
    /// Failure: many routers see a large request of an organisation now and then. What each of them
    /// asks for beside it is hardly ever used there, is refused elsewhere, and is lost when the router
    /// dies: with 17 routers a tenth of a budget. Where the ledger answers within some milliseconds,
    /// the next such request may as well ask for itself.
    pub least_expected: f64,
    /// Most reports in one batch: keeps a batch within 4 KB.
    pub max_reports: usize,
    /// Most asks in one batch.
    pub max_asks: usize,
}

impl Default for GrantPolicy {
    fn default() -> Self {
        Self {
            horizon: Duration::from_mins(1),
            smooth_over: None,
            patience: Duration::from_secs(3),
            recall_patience: Duration::from_secs(6),
            recalled_within: Duration::from_secs(6),
            row_within: Duration::from_secs(6),
            idle: Duration::from_mins(2),
            batch_every: Duration::from_secs(1),
            urgent_every: Duration::from_millis(100),
            verdict_holds: Duration::from_secs(2),
            spare_requests: 2,
            least_expected: 0.0,
            max_reports: 160,
            max_asks: 40,
        }
    }
}

/// How many tokens are needed for so long at this rate, in tokens a second.
pub(super) fn needed_for(rate: Tokens, time: Duration) -> Tokens {
    let tokens = u128::from(rate) * time.as_millis() / 1_000;
    Tokens::try_from(tokens).unwrap_or(Tokens::MAX)
}
