//! Operators' orders that lift quarantines: receipts and the audit trail.

use std::collections::BTreeSet;

use anvil_world::command::{Denial, EntityKind, LiftQuarantine};
use anvil_world::content;
use anvil_world::prelude::*;

use super::operator_change::{AppliedChange, OperatorChange};
use super::{ChangedItem, State};
use crate::suspects::Lifted;

/// Maximum number of contents that one line of the audit trail names.
const MAX_NAMED: usize = 16;

impl State {
    /// Applies an order whose effect on the suspects is known. They have to be changed only if the
    /// answer is a receipt of its first application.
    pub(crate) fn apply_lift(
        &mut self,
        index: LogIndex,
        lift: &LiftQuarantine,
        lifted: &Lifted,
    ) -> Answer {
        self.begin(index);
        let result = self.lift_quarantine(index, lift, lifted);
        result.unwrap_or_else(Answer::Denied)
    }

    pub(super) fn lift_quarantine(
        &mut self,
        index: LogIndex,
        lift: &LiftQuarantine,
        lifted: &Lifted,
    ) -> Result<Answer, Denial> {
        let sent = format!("lift {} {}", lift.target, lift.reason);
        let operator_change = OperatorChange {
            id: &lift.id,
            operator: &lift.operator,
            at: lift.at,
            content: sent.as_bytes(),
        };
        self.apply_once(&operator_change, |state| {
            if lifted.contents.is_empty() {
                return Err(Denial::Unknown {
                    what: EntityKind::Quarantine,
                    name: lift.target.to_string(),
                });
            }
            for content in &lifted.changed {
                state.record_change(index, ChangedItem::Suspect(*content));
            }
            Ok(AppliedChange {
                subject: format!("quarantines/{}", lift.target),
                revision: state.version(),
                before: Some(named(&lifted.contents).into()),
                after: Some(format!("lifted: {}", lift.reason).into()),
            })
        })
    }
}

fn named(contents: &BTreeSet<ContentDigest>) -> String {
    let named = contents.iter().take(MAX_NAMED);
    let named: Vec<_> = named.map(|digest| content::to_hex(*digest)).collect();
    format!("{} contents: {}", contents.len(), named.join(" "))
}
