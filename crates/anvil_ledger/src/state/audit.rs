//! The audit trail: every change made by an operator.

use std::collections::VecDeque;

use anvil_world::command::AuditEntry;
use serde::{Deserialize, Serialize};

/// Number of lines kept in the state. The oldest are evicted first; archived logs and snapshots
/// hold the rest.
const MAX_LINES: usize = 20_000;

/// The newest lines of the audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Audit {
    lines: VecDeque<AuditEntry>,
}

impl Audit {
    pub(super) fn write(&mut self, entry: AuditEntry) {
        self.lines.push_back(entry);
        if self.lines.len() > MAX_LINES {
            self.lines.pop_front();
        }
    }

    pub(super) fn read(
        &self,
        limit: usize,
        keep: impl Fn(&AuditEntry) -> bool,
    ) -> Vec<&AuditEntry> {
        let newest = self.lines.iter().rev().filter(|entry| keep(entry));
        let mut found: Vec<_> = newest.take(limit).collect();
        found.reverse();
        found
    }
}
