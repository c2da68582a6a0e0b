//! Voters and learners of a ledger.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anvil_world::ids::InstanceId;
use serde::{Deserialize, Serialize};

use super::{LedgerId, ReplicaId};

/// Where a replica runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// Identifier of its instance.
    pub instance: InstanceId,
    /// Its wire address.
    pub addr: SocketAddr,
}

/// The replicas of a ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Identifier of the ledger; 0 for none.
    pub ledger: LedgerId,
    /// Replicas that count towards a majority.
    pub voters: BTreeMap<ReplicaId, Site>,
    /// Replicas that receive the log but don't vote yet.
    pub learners: BTreeMap<ReplicaId, Site>,
}

impl Membership {
    /// Number of voters and learners.
    pub fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    /// Whether there are neither voters nor learners.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a majority of the voters satisfies `f`.
    pub fn majority_satisfies(&self, f: impl Fn(ReplicaId) -> bool) -> bool {
        let count = self.voters.keys().filter(|id| f(**id)).count();
        !self.voters.is_empty() && count >= self.majority()
    }

    /// Voters and learners.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaId, &Site)> {
        let all = self.voters.iter().chain(&self.learners);
        all.map(|(id, site)| (*id, site))
    }

    /// Where a replica runs, if it is a member.
    pub fn site(&self, id: ReplicaId) -> Option<&Site> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// The membership with a new learner, in place of an older learner of the same instance.
    pub fn with_learner(&self, id: ReplicaId, site: Site) -> Self {
        let mut changed = self.clone();
        changed
            .learners
            .retain(|_, old| old.instance != site.instance);
        changed.learners.insert(id, site);
        changed
    }

    /// The membership with a new address for the same disk.
    pub fn with_site(&self, id: ReplicaId, site: Site) -> Self {
        let mut changed = self.clone();
        let voter = changed.voters.get_mut(&id);
        if let Some(known) = voter.or_else(|| changed.learners.get_mut(&id)) {
            *known = site;
        }
        changed
    }

    /// The membership with a learner promoted to voter.
    pub fn with_voter(&self, id: ReplicaId) -> Self {
        let mut changed = self.clone();
        if let Some(site) = changed.learners.remove(&id) {
            changed.voters.insert(id, site);
        }
        changed
    }

    /// The replicas of an instance.
    pub fn replicas_of_instance(&self, instance: &str) -> impl Iterator<Item = ReplicaId> {
        let of_it = move |site: &Site| *site.instance == *instance;
        let all = self.replicas().filter(move |(_, site)| of_it(site));
        all.map(|(id, _)| id)
    }

    /// The membership without a learner.
    pub fn without_learner(&self, id: ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.learners.remove(&id);
        changed
    }

    /// The membership without a voter.
    pub fn without_voter(&self, id: ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.voters.remove(&id);
        changed
    }

    /// Whether at most one voter differs: then any two majorities share a replica.
    pub fn differs_by_at_most_one_voter(&self, other: &Self) -> bool {
        let here = |id: &&ReplicaId| !other.voters.contains_key(*id);
        let there = |id: &&ReplicaId| !self.voters.contains_key(*id);
        let differing =
            self.voters.keys().filter(here).count() + other.voters.keys().filter(there).count();
        differing <= 1
    }
}
