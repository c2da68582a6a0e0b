//! What a router and the ledger tell each other about money, once a second.

use serde::{Deserialize, Serialize};

use crate::contract::Grant;
use crate::ids::{BatchSeq, BudgetId, GrantId, Incarnation, InstanceId, Tokens};

/// One second of a router's money, in one entry of the log.
///
/// A resent batch (same router, incarnation and number) gets its first answer, so that an
/// answer lost on the way opens no second grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantBatch {
    /// The router.
    pub router: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Grows by one with each new batch.
    pub seq: BatchSeq,
    /// Cumulative charges.
    pub reports: Vec<GrantReport>,
    /// New grants wanted.
    pub asks: Vec<GrantAsk>,
}

/// What a router has charged under a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReport {
    /// The grant.
    pub grant: GrantId,
    /// Charged so far, in tokens.
    pub settled: Tokens,
    /// Given back so far out of the free part, in tokens; never more than is neither charged nor
    /// reserved. Cumulative, as `settled` is.
    pub returned: Tokens,
    /// Whether the router spends no more out of it: the rest goes back.
    pub close: bool,
}

/// A wish for a new grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// The budget.
    pub budget: BudgetId,
    /// What would do for the demand, in tokens.
    pub wanted: Tokens,
    /// Less than this is of no use, in tokens.
    pub least: Tokens,
}

/// What came of a batch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantBatchAnswer {
    /// The batch it answers.
    pub seq: BatchSeq,
    /// New grants.
    pub opened: Vec<Grant>,
    /// Grants that are closed now.
    pub closed: Vec<GrantId>,
    /// Grants of this router whose unspent rest is wanted back.
    pub recalled: Vec<GrantId>,
    /// Asks that got nothing.
    pub refused: Vec<GrantRefusal>,
}

/// An ask that got nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRefusal {
    /// The budget.
    pub budget: BudgetId,
    /// What is left to be granted, in tokens: less than the least asked.
    pub left: Tokens,
    /// What lies unsettled in other routers' grants and may come back, in tokens.
    pub outstanding: Tokens,
}

/// A router's incarnation is lost; sidecars refuse its grants from now on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRouter {
    /// The router.
    pub router: InstanceId,
    /// The life that ended; grants of older lives are fenced too.
    pub incarnation: Incarnation,
}
