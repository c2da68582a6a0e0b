//! The exchange of charges and grants between a router and the ledger, once a second.

use serde::{Deserialize, Serialize};

use crate::contract::Grant;
use crate::ids::{BatchSeq, BudgetId, GrantId, Incarnation, InstanceId, Tokens};

/// A router's charge reports and grant requests of one second, in one log entry.
///
/// A resent batch (same router, incarnation and sequence number) gets the first answer again, so a
/// lost answer never leads to a second grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantBatch {
    /// The router.
    pub router: InstanceId,
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number; one more for each new batch.
    pub seq: BatchSeq,
    /// Cumulative charges of open grants.
    pub reports: Vec<GrantReport>,
    /// Requests for new grants.
    pub asks: Vec<GrantRequest>,
}

/// A router's cumulative report on one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReport {
    /// The grant.
    pub grant: GrantId,
    /// Charged so far, in tokens.
    pub settled: Tokens,
    /// Returned so far, in tokens; never out of the part that is charged or reserved. Cumulative,
    /// like `settled`.
    pub returned: Tokens,
    /// Whether the router has finished with the grant; the remainder returns to the budget.
    pub close: bool,
}

/// A request for a new grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The budget.
    pub budget: BudgetId,
    /// Tokens that cover the demand.
    pub wanted: Tokens,
    /// Minimum useful amount, in tokens.
    pub least: Tokens,
}

/// The result of a batch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantBatchAnswer {
    /// Sequence number of the batch.
    pub seq: BatchSeq,
    /// New grants.
    pub opened: Vec<Grant>,
    /// Grants that are now closed.
    pub closed: Vec<GrantId>,
    /// Grants of this router whose unspent part the ledger reclaims.
    pub recalled: Vec<GrantId>,
    /// Requests that were refused.
    pub refused: Vec<GrantRefusal>,
}

/// A refused request for a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRefusal {
    /// The budget.
    pub budget: BudgetId,
    /// Tokens that are left in the budget: fewer than the requested minimum.
    pub left: Tokens,
    /// Unsettled tokens in other routers' grants, which may still be returned.
    pub outstanding: Tokens,
}

/// Declares a router's incarnation lost; sidecars refuse its grants from now on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRouter {
    /// The router.
    pub router: InstanceId,
    /// The lost incarnation; grants of older incarnations are fenced too.
    pub incarnation: Incarnation,
}
