//! Replacement of the routing table as a whole.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{BudgetId, OperatorId, RoutingVersion, Tokens};

/// A complete routing table with a version chosen by the operator.
///
/// The highest version wins. A table whose version is not higher than the one in force changes
/// nothing, so a replacement may be resent, may arrive late, and may race with another operator's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceRouting {
    /// The operator who sent it.
    pub operator: OperatorId,
    /// The operator's version of the table.
    pub version: RoutingVersion,
    /// The operator's text, stored byte for byte.
    pub text: Arc<str>,
    /// Total tokens credited to each budget under this table. A budget that isn't listed keeps its
    /// credit.
    pub credits: BTreeMap<BudgetId, Tokens>,
    /// When the leader proposed it.
    pub at: SystemTime,
}
