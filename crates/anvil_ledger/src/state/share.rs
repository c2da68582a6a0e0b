//! Operators' orders that set shares: receipts and the audit trail.

use anvil_world::command::{Denial, SetShare};
use anvil_world::prelude::*;

use super::State;
use super::operator_change::{AppliedChange, OperatorChange};

impl State {
    /// The shares are kept outside this state, and have to be changed only if the answer is a
    /// receipt of the order's first application.
    pub(super) fn set_share(
        &mut self,
        index: LogIndex,
        order: &SetShare,
    ) -> Result<Answer, Denial> {
        let (target, factor) = (&order.target, order.factor);
        let sent = format!("share {target} {factor} {}", order.reason);
        let operator_change = OperatorChange {
            id: &order.id,
            operator: &order.operator,
            at: order.at,
            content: sent.as_bytes(),
        };
        self.apply_once(&operator_change, |state| {
            state.recent_changes.record_version(index);
            Ok(AppliedChange {
                subject: format!("shares/{target}"),
                revision: index,
                before: Some(format!("factor {}", order.before).into()),
                after: Some(format!("factor {factor}: {}", order.reason).into()),
            })
        })
    }
}
