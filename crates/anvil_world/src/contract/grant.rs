//! A grant: an amount of one budget that one router incarnation may spend.

use serde::{Deserialize, Serialize};

use crate::ids::{BudgetId, GrantId, Incarnation, InstanceId, Tokens};

/// How far a grant has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantState {
    /// The router spends out of it.
    Open,
    /// The ledger wants the unspent rest back; the router still settles what runs.
    Recalled,
    /// Its router is lost; sidecars refuse it and say what was charged under it.
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
    /// The life of that router.
    pub incarnation: Incarnation,
    /// How many tokens in all.
    pub amount: Tokens,
    /// Highest charge reported so far. Cumulative, so doubled and late reports are harmless.
    pub settled: Tokens,
    /// Given back so far, in tokens. Cumulative too.
    pub returned: Tokens,
    /// How far it has come.
    pub state: GrantState,
}

impl Grant {
    /// Tokens that are neither settled nor given back.
    pub fn outstanding(&self) -> Tokens {
        self.amount
            .saturating_sub(self.settled)
            .saturating_sub(self.returned)
    }
}
