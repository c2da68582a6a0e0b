//! What every operator's change has in common: made once, answered the same again, written down.

use std::sync::Arc;
use std::time::SystemTime;

use anvil_world::command::{AuditEntry, Denial};
use anvil_world::prelude::*;

use super::State;

/// Who sent what, when, under which id.
pub(super) struct Sent<'a> {
    pub(super) id: &'a ChangeId,
    pub(super) operator: &'a OperatorId,
    pub(super) at: SystemTime,
    /// All that the change says but for its id and time.
    pub(super) content: &'a [u8],
}

/// What a change did, for the audit trail.
pub(super) struct Done {
    pub(super) subject: String,
    pub(super) revision: Revision,
    pub(super) before: Option<Arc<str>>,
    pub(super) after: Option<Arc<str>>,
}

impl State {
    /// Makes a change unless its id was seen before; then its first answer is given again.
    pub(super) fn once(
        &mut self,
        sent: &Sent<'_>,
        make: impl FnOnce(&mut Self) -> Result<Done, Denial>,
    ) -> Result<Answer, Denial> {
        let first = self.receipts.check(sent.id, sent.at, sent.content)?;
        if let Some(first) = first {
            return Ok(Answer::Changed(first));
        }
        let done = make(self)?;
        self.audit.write(AuditEntry {
            at: sent.at,
            operator: sent.operator.clone(),
            id: sent.id.clone(),
            subject: done.subject.into(),
            revision: done.revision,
            before: done.before,
            after: done.after,
        });
        let receipt = self.receipts.keep(sent.id, sent.content, done.revision)?;
        Ok(Answer::Changed(receipt))
    }
}
