//! The audit trail: every change that an operator made.

use std::collections::VecDeque;

use anvil_world::command::AuditEntry;
use serde::{Deserialize, Serialize};

/// How many lines the state keeps. The oldest go first; the log and its snapshots that are
/// archived by operators hold the rest.
const KEPT: usize = 20_000;

/// The newest lines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Audit {
    lines: VecDeque<AuditEntry>,
}

impl Audit {
    pub(super) fn write(&mut self, entry: AuditEntry) {
        self.lines.push_back(entry);
        if self.lines.len() > KEPT {
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
