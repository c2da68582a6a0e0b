//! What everybody may know of a node without asking it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anvil_ledger::core::ReplicaId;
use anvil_world::prelude::*;

use super::Node;

/// What everybody may know of a node without asking it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Public {
    /// The newest version of the applied state.
    pub version: LogIndex,
    /// Whether the leader (or, at the leader, a majority) was heard of lately.
    pub in_touch: bool,
    /// Other replicas' addresses.
    pub peers: BTreeMap<ReplicaId, SocketAddr>,
    /// Whether it votes.
    pub votes: bool,
    /// Whether it has to ask to be taken in.
    pub seeks_ledger: bool,
}

impl Node {
    pub(super) fn publish(&mut self) {
        let membership = self.replica.membership();
        let others = membership.replicas().filter(|(id, _)| *id != self.setup.id);
        let public = Public {
            version: self.machine.state.version(),
            in_touch: self.replica.in_touch() && !self.stopped,
            peers: others.map(|(id, site)| (id, site.addr)).collect(),
            votes: self.replica.votes(),
            seeks_ledger: self.replica.seeks_ledger(),
        };
        self.public.send_if_modified(|seen| {
            let changed = *seen != public;
            *seen = public;
            changed
        });
    }
}
