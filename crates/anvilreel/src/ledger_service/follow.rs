//! What followers are sent: all of it first, then what changed, only upwards.

use std::collections::BTreeSet;

use anvil_ledger::machine::Machine;
use anvil_ledger::state::ChangedItem;
use anvil_wire::msg::{FollowEvent, FollowScope};
use anvil_world::prelude::*;

/// Who follows, and what it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Follower {
    /// Its name.
    pub instance: InstanceId,
    /// What it needs.
    pub interest: FollowScope,
    /// The newest version it holds, 0 for none.
    pub version: LogIndex,
}

impl Follower {
    /// What brings this follower to the state's version; `None` while it holds that or a newer
    /// one.
    ///
    /// Failure: a follower moves to a replica that lags, is sent the older tree, and an accepted
    /// change is taken back before its eyes. A lagging replica says nothing until it has caught
    /// up.
    pub fn catch_up(&self, machine: &Machine) -> Option<FollowEvent> {
        let state = &machine.state;
        if state.version() <= self.version {
            return None;
        }
        let known = (self.version > 0).then(|| state.changed_since(self.version));
        Some(match known.flatten() {
            Some(changed) => self.delta(machine, &changed),
            None => self.full(machine),
        })
    }

    fn full(&self, machine: &Machine) -> FollowEvent {
        let state = &machine.state;
        let suspects = machine.suspects.announced();
        let suspects = suspects.filter(|_| self.is_router());
        let limits = machine.limits.all().iter();
        let limits = limits.filter(|_| self.is_router());
        let tree = state.tree().iter();
        let members = state.members().iter();
        FollowEvent::Full {
            version: state.version(),
            tree: tree
                .filter(|(path, _)| self.needs_document(path))
                .map(|(path, entry)| (path.clone(), entry.clone()))
                .collect(),
            members: members
                .filter(|(id, _)| self.needs_member(id))
                .map(|(id, member)| (id.clone(), member.clone()))
                .collect(),
            fenced: state.fenced().clone(),
            suspects: suspects.map(|(request, s)| (request, s.clone())).collect(),
            limits: limits.map(|(id, limit)| (id.clone(), *limit)).collect(),
        }
    }

    fn delta(&self, machine: &Machine, changed: &BTreeSet<ChangedItem>) -> FollowEvent {
        let state = &machine.state;
        let mut suspects = Vec::new();
        let mut limits = Vec::new();
        let mut tree = Vec::new();
        let mut members = Vec::new();
        let mut fenced = Vec::new();
        for item in changed {
            match item {
                ChangedItem::Document(path) if self.needs_document(path) => {
                    tree.push((path.clone(), state.tree().get(path).cloned()));
                }
                ChangedItem::Member(id) if self.needs_member(id) => {
                    members.push((id.clone(), state.members().get(id).cloned()));
                }
                ChangedItem::Fence(id) => {
                    let upto = state.fenced().get(id);
                    fenced.extend(upto.map(|upto| (id.clone(), *upto)));
                }
                ChangedItem::Suspect(request) if self.is_router() => {
                    suspects.push((*request, machine.suspects.get(*request).cloned()));
                }
                ChangedItem::Limit(id) if self.is_router() => {
                    limits.push((id.clone(), machine.limits.all().get(id).copied()));
                }
                ChangedItem::Document(_)
                | ChangedItem::Member(_)
                | ChangedItem::Suspect(_)
                | ChangedItem::Limit(_) => {}
            }
        }
        FollowEvent::Delta {
            version: state.version(),
            tree,
            members,
            fenced,
            suspects,
            limits,
        }
    }

    fn is_router(&self) -> bool {
        self.interest == FollowScope::Router
    }

    fn needs_document(&self, path: &TreePath) -> bool {
        match self.interest {
            FollowScope::Router => true,
            FollowScope::Sidecar => *path == TreePath::Fleet,
            FollowScope::Members => false,
        }
    }

    fn needs_member(&self, id: &InstanceId) -> bool {
        self.interest != FollowScope::Sidecar || *id == self.instance
    }
}

/// The version an event leads to.
pub fn version_of(event: &FollowEvent) -> LogIndex {
    match event {
        FollowEvent::Full { version, .. }
        | FollowEvent::Delta { version, .. }
        | FollowEvent::Current { version } => *version,
    }
}
