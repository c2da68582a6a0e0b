//! The routing table, replaced whole.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{BudgetId, OperatorId, RoutingVersion, Tokens};

/// A whole routing table under a number of the operator's.
///
/// The highest number wins. One that is not higher than the number in force changes nothing, so
/// that an order may be resent, may come late, and may race with another operator's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceRouting {
    /// Who.
    pub operator: OperatorId,
    /// The operator's number.
    pub version: RoutingVersion,
    /// The operator's text, kept byte for byte.
    pub text: Arc<str>,
    /// What each budget is worth in all under this table, in tokens. A budget that isn't named
    /// keeps what it has.
    pub credits: BTreeMap<BudgetId, Tokens>,
    /// When the leader took it.
    pub at: SystemTime,
}
