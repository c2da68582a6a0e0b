//! Changes that operators make.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::ids::{BudgetId, ChangeId, GrantId, OperatorId, Revision, Tokens};
use crate::path::TreePath;

/// Makes an id for one change: the time it was made, then text that no other client picks.
///
/// The time is what lets the ledger forget old ids: an id older than it remembers is refused
/// instead of being applied a second time.
pub fn change_id(at: SystemTime, text: &str) -> ChangeId {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{text}", since.as_millis()).into()
}

/// When a change id says that it was made; `None` where it does not say.
pub fn change_made_at(id: &str) -> Option<SystemTime> {
    let (millis, _) = id.split_once('-')?;
    let since = Duration::from_millis(millis.parse().ok()?);
    UNIX_EPOCH.checked_add(since)
}

/// What a change does to a path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Writes this TOML text.
    Put(Arc<str>),
    /// Takes the document away.
    Remove,
}

/// A change of one document: compare-and-set on its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Made by the client; a resent change keeps it and gets the first answer.
    pub id: ChangeId,
    /// Who.
    pub operator: OperatorId,
    /// Which document.
    pub path: TreePath,
    /// The revision the operator saw; 0 for a document that is not there.
    pub expected: Revision,
    /// What to do.
    pub edit: Edit,
    /// When the leader took it.
    pub at: SystemTime,
}

/// Prepaid tokens for one budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopUp {
    /// Made by the client; resent, it credits once.
    pub id: ChangeId,
    /// Who.
    pub operator: OperatorId,
    /// The budget.
    pub budget: BudgetId,
    /// Tokens paid in.
    pub amount: Tokens,
    /// When the leader took it.
    pub at: SystemTime,
}

/// An operator's decision on a fenced grant whose evidence is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteOff {
    /// Made by the client.
    pub id: ChangeId,
    /// Who.
    pub operator: OperatorId,
    /// The fenced grant.
    pub grant: GrantId,
    /// What is billed of the outstanding part, in tokens; the rest goes back.
    pub bill: Tokens,
    /// When the leader took it.
    pub at: SystemTime,
}

/// That a change was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReceipt {
    /// The change's id.
    pub id: ChangeId,
    /// The settings tree's revision after it.
    pub revision: Revision,
    /// Whether this is the first answer given again.
    pub resent: bool,
}

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// When the leader took it.
    pub at: SystemTime,
    /// Who.
    pub operator: OperatorId,
    /// The change's id.
    pub id: ChangeId,
    /// What was changed, such as `teams/mombasa-counter` or `budgets/nairobi`.
    pub subject: Arc<str>,
    /// The tree's revision after it.
    pub revision: Revision,
    /// What stood before; nothing for something new.
    pub before: Option<Arc<str>>,
    /// What stands after; nothing for something taken away.
    pub after: Option<Arc<str>>,
}
