//! What a process holds of the ledger's state, and how it keeps from going back.

use std::collections::BTreeMap;

use anvil_wire::msg::FollowEvent;
use anvil_world::endpoint_limit::EndpointLimit;
use anvil_world::prelude::*;

/// Tree, members, fences, suspected requests and endpoints' limits at one version.
#[derive(Debug, Clone, Default)]
pub struct Held {
    /// Log position it stands for; 0 before the first event.
    pub version: LogIndex,
    /// Documents.
    pub tree: BTreeMap<TreePath, TreeEntry>,
    /// Instances.
    pub members: BTreeMap<InstanceId, Member>,
    /// Routers whose grants are refused, with the newest fenced life.
    pub fenced: BTreeMap<InstanceId, Incarnation>,
    /// Requests under which endpoints crashed.
    pub suspects: BTreeMap<RequestDigest, SuspectRequest>,
    /// Limits that endpoints announced.
    pub limits: BTreeMap<InstanceId, EndpointLimit>,
}

impl Held {
    /// Takes an event in; returns whether anything is newer now.
    ///
    /// Failure: a replica that lags, or an event that was delayed, shows settings that were
    /// replaced already. An event of a lower version than the held one is dropped whole, so an
    /// accepted configuration never reverts here.
    pub fn apply(&mut self, event: FollowEvent) -> bool {
        match event {
            FollowEvent::Full {
                version,
                tree,
                members,
                fenced,
                suspects,
                limits,
            } => {
                if version <= self.version {
                    return false;
                }
                *self = Self {
                    version,
                    tree,
                    members,
                    fenced,
                    suspects,
                    limits,
                };
                true
            }
            FollowEvent::Delta {
                version,
                tree,
                members,
                fenced,
                suspects,
                limits,
            } => {
                if version <= self.version {
                    return false;
                }
                self.version = version;
                merge(&mut self.tree, tree);
                merge(&mut self.members, members);
                self.fenced.extend(fenced);
                merge(&mut self.suspects, suspects);
                merge(&mut self.limits, limits);
                true
            }
            FollowEvent::Current { .. } => false,
        }
    }

    /// Whether this life of a router is fenced.
    pub fn is_fenced(&self, router: &InstanceId, incarnation: Incarnation) -> bool {
        self.fenced
            .get(router)
            .is_some_and(|newest| incarnation <= *newest)
    }
}

fn merge<K: Ord, V>(map: &mut BTreeMap<K, V>, changes: Vec<(K, Option<V>)>) {
    for (key, value) in changes {
        match value {
            Some(value) => map.insert(key, value),
            None => map.remove(&key),
        };
    }
}
