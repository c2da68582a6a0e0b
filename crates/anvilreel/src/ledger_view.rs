//! A process's copy of the parts of the ledger's state that it follows.
//!
//! [`LedgerView`] is updated from follow events. Invariant: its version never decreases, so stale
//! events from a lagging replica don't revert it.

use std::collections::BTreeMap;

use anvil_wire::msg::FollowEvent;
use anvil_world::endpoint_limit::EndpointLimit;
use anvil_world::prelude::*;

/// Settings tree, members, fences, suspected requests and endpoints' limits at one version.
#[derive(Debug, Clone, Default)]
pub struct LedgerView {
    /// Log position that this state corresponds to; 0 before the first event.
    pub version: LogIndex,
    /// Documents of the settings tree.
    pub tree: BTreeMap<TreePath, TreeEntry>,
    /// Instances and their presence.
    pub members: BTreeMap<InstanceId, Member>,
    /// Fenced routers, whose grants are refused, with the newest fenced incarnation of each.
    pub fenced: BTreeMap<InstanceId, Incarnation>,
    /// Requests that endpoints crashed on.
    pub suspects: BTreeMap<ContentDigest, SuspectContent>,
    /// Rate limits that endpoints announced.
    pub limits: BTreeMap<InstanceId, EndpointLimit>,
    /// Shares that operators have set.
    pub shares: Shares,
    /// Software versions of each service; `None` until a replica has sent them.
    pub service_versions: Option<RecordedVersions>,
}

impl LedgerView {
    /// Applies an event; returns whether the state changed.
    ///
    /// A lagging replica or a delayed event may carry settings that have been replaced already.
    /// An event whose version is not newer than this one is dropped whole, so an applied
    /// configuration never reverts.
    pub fn apply(&mut self, event: FollowEvent) -> bool {
        match event {
            FollowEvent::Full {
                version,
                tree,
                members,
                fenced,
                suspects,
                limits,
                shares,
                versions,
            } => {
                if version <= self.version {
                    return false;
                }
                let shares = shares.unwrap_or_else(|| std::mem::take(&mut self.shares));
                let service_versions = versions.or_else(|| self.service_versions.take());
                *self = Self {
                    version,
                    tree,
                    members,
                    fenced,
                    suspects,
                    limits,
                    shares,
                    service_versions,
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
                shares,
                versions,
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
                if let Some(shares) = shares {
                    self.shares = shares;
                }
                if versions.is_some() {
                    self.service_versions = versions;
                }
                true
            }
            FollowEvent::Current { .. } => false,
        }
    }

    /// Whether this incarnation of a router is fenced.
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
