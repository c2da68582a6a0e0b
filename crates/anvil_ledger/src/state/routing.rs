//! The routing table: one document that only a higher number replaces.
//!
//! Failure: two operators send tables at the same time, an answer is lost and its order comes
//! again, or an old order arrives late. Were any of these taken, an accepted table would revert.
//! The number decides alone, so the order in which they arrive does not matter.

use anvil_world::command::{AuditEntry, ReplaceRouting, change_id};
use anvil_world::prelude::*;

use super::{State, Touched};

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
        self.spread
            .touch(index, Touched::Document(TreePath::Routing));
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
