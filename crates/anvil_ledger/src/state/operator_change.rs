//! Handling common to all operators' changes: each is applied once, answered the same when resent,
//! and recorded in the audit trail.

use std::sync::Arc;
use std::time::SystemTime;

use anvil_world::command::{AuditEntry, Denial};
use anvil_world::prelude::*;

use super::State;

/// An operator's change, as sent.
pub(super) struct OperatorChange<'a> {
    pub(super) id: &'a ChangeId,
    pub(super) operator: &'a OperatorId,
    pub(super) at: SystemTime,
    /// The content of the change without its id and time.
    pub(super) content: &'a [u8],
}

/// Effect of a change, for the audit trail.
pub(super) struct AppliedChange {
    pub(super) subject: String,
    pub(super) revision: Revision,
    pub(super) before: Option<Arc<str>>,
    pub(super) after: Option<Arc<str>>,
}

impl State {
    /// Applies a change unless its id is known; a known change gets its first answer again.
    pub(super) fn apply_once(
        &mut self,
        change: &OperatorChange<'_>,
        apply: impl FnOnce(&mut Self) -> Result<AppliedChange, Denial>,
    ) -> Result<Answer, Denial> {
        let first = self.receipts.check(change.id, change.at, change.content)?;
        if let Some(first) = first {
            return Ok(Answer::Changed(first));
        }
        let applied = apply(self)?;
        self.audit.write(AuditEntry {
            at: change.at,
            operator: change.operator.clone(),
            id: change.id.clone(),
            subject: applied.subject.into(),
            revision: applied.revision,
            before: applied.before,
            after: applied.after,
        });
        let receipt = self
            .receipts
            .keep(change.id, change.content, applied.revision)?;
        Ok(Answer::Changed(receipt))
    }
}
