//! The routing table: one document that only a higher version replaces.
//!
//! Two operators may send tables at the same time, a table may be resent after its answer was lost,
//! or an old one may arrive late. If any of these were applied, an accepted table would be
//! reverted. Only the version decides, so the order of arrival does not matter.

use anvil_world::command::{AuditEntry, ReplaceRouting, change_id};
use anvil_world::prelude::*;

use super::{ChangedItem, State};

impl State {
    pub(super) fn replace_routing(&mut self, index: LogIndex, new: &ReplaceRouting) -> Answer {
        if new.version <= self.routing {
            return Answer::Routing(self.routing);
        }
        self.routing = new.version;
        self.tree.put_routing(index, new);
        for (budget, credited) in &new.credits {
            self.money.set_credited(budget, *credited);
        }
        self.recent_changes
            .record_at(index, ChangedItem::Document(TreePath::Routing));
        self.audit.write(AuditEntry {
            at: new.at,
            operator: new.operator.clone(),
            id: change_id(new.at, &format!("routing-{}", new.version)),
            subject: TreePath::Routing.to_string().into(),
            revision: index,
            before: None,
            after: Some(format!("version {}, {} bytes", new.version, new.text.len()).into()),
        });
        Answer::Routing(self.routing)
    }
}
