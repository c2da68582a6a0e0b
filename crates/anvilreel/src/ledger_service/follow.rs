//! Events sent to followers: the full state first, then the changes. The version never decreases.

use std::collections::BTreeSet;

use anvil_ledger::machine::Machine;
use anvil_ledger::state::ChangedItem;
use anvil_wire::msg::{FollowEvent, FollowScope};
use anvil_world::prelude::*;

/// A process that follows the ledger, and the version it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Follower {
    /// Name of the instance.
    pub instance: InstanceId,
    /// The part of the state that it needs.
    pub interest: FollowScope,
    /// The newest version that it holds, 0 for none.
    pub version: LogIndex,
}

impl Follower {
    /// Returns the event that brings this follower to the state's version; `None` if it holds that
    /// version or a newer one.
    ///
    /// A replica that lags behind the follower sends nothing until it has caught up. Otherwise a
    /// follower that moves to such a replica would receive older documents, and a change that it
    /// has already seen would be reverted.
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
        let shares = self.is_router().then(|| machine.shares.clone());
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
            shares,
            versions: self.is_router().then(|| machine.service_versions.clone()),
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
            shares: self.is_router().then(|| machine.shares.clone()),
            versions: self.is_router().then(|| machine.service_versions.clone()),
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

/// The version that a follower holds after an event.
pub fn version_of(event: &FollowEvent) -> LogIndex {
    match event {
        FollowEvent::Full { version, .. }
        | FollowEvent::Delta { version, .. }
        | FollowEvent::Current { version } => *version,
    }
}
