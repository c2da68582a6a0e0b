//! A grant: an amount of one budget that one router incarnation may spend.

use serde::{Deserialize, Serialize};

use crate::ids::{BudgetId, GrantId, Incarnation, InstanceId, Tokens};

/// The state of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantState {
    /// The router may spend it.
    Open,
    /// The ledger reclaims the unspent part; the router still settles requests in flight.
    Recalled,
    /// Its router is lost; sidecars refuse it and report what was charged under it.
    Fenced,
}

/// An amount of one budget, committed to one router incarnation before a token of it is spent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Its number.
    pub id: GrantId,
    /// The budget it comes out of.
    pub budget: BudgetId,
    /// The router that may spend it.
    pub router: InstanceId,
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// Total tokens granted.
    pub amount: Tokens,
    /// Highest charge reported so far, in tokens. Cumulative, so duplicate and late reports are
    /// harmless.
    pub settled: Tokens,
    /// Returned so far, in tokens. Cumulative too.
    pub returned: Tokens,
    /// Its state.
    pub state: GrantState,
}

impl Grant {
    /// Tokens that are neither settled nor returned.
    pub fn outstanding(&self) -> Tokens {
        self.amount
            .saturating_sub(self.settled)
            .saturating_sub(self.returned)
    }
}
