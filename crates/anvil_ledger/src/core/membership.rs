//! Who votes and who catches up.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anvil_world::ids::InstanceId;
use serde::{Deserialize, Serialize};

use super::{LedgerId, ReplicaId};

/// Where a replica runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// Name of its instance.
    pub instance: InstanceId,
    /// Its wire address.
    pub addr: SocketAddr,
}

/// The replicas of a ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Which ledger.
    pub ledger: LedgerId,
    /// Those whose disks make a majority.
    pub voters: BTreeMap<ReplicaId, Site>,
    /// Those that catch up.
    pub learners: BTreeMap<ReplicaId, Site>,
}

impl Membership {
    /// How many replicas in all.
    pub fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    /// Whether it names nobody.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether those that satisfy `f` are a majority of the voters.
    pub fn agreed(&self, f: impl Fn(ReplicaId) -> bool) -> bool {
        let count = self.voters.keys().filter(|id| f(**id)).count();
        !self.voters.is_empty() && count >= self.majority()
    }

    /// Voters and learners.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaId, &Site)> {
        let all = self.voters.iter().chain(&self.learners);
        all.map(|(id, site)| (*id, site))
    }

    /// Where a replica runs, when it belongs to the ledger.
    pub fn site(&self, id: ReplicaId) -> Option<&Site> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Takes a replica in as a learner, in the place of an older learner of its instance.
    pub fn with_learner(&self, id: ReplicaId, site: Site) -> Self {
        let mut changed = self.clone();
        changed
            .learners
            .retain(|_, old| old.instance != site.instance);
        changed.learners.insert(id, site);
        changed
    }

    /// Notes that a replica, the same disk, is reached at another address now.
    pub fn with_site(&self, id: ReplicaId, site: Site) -> Self {
        let mut changed = self.clone();
        let voter = changed.voters.get_mut(&id);
        if let Some(known) = voter.or_else(|| changed.learners.get_mut(&id)) {
            *known = site;
        }
        changed
    }

    /// Makes a learner a voter.
    pub fn with_voter(&self, id: ReplicaId) -> Self {
        let mut changed = self.clone();
        if let Some(site) = changed.learners.remove(&id) {
            changed.voters.insert(id, site);
        }
        changed
    }

    /// The replicas of an instance.
    pub fn of_instance(&self, instance: &str) -> impl Iterator<Item = ReplicaId> {
        let of_it = move |site: &Site| *site.instance == *instance;
        let all = self.replicas().filter(move |(_, site)| of_it(site));
        all.map(|(id, _)| id)
    }

    /// Takes a learner out.
    pub fn without_learner(&self, id: ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.learners.remove(&id);
        changed
    }

    /// Takes a voter out.
    pub fn without_voter(&self, id: ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.voters.remove(&id);
        changed
    }

    /// Whether at most one voter differs: then any two majorities share a replica.
    pub fn is_one_step_from(&self, other: &Self) -> bool {
        let here = |id: &&ReplicaId| !other.voters.contains_key(*id);
        let there = |id: &&ReplicaId| !self.voters.contains_key(*id);
        let differing =
            self.voters.keys().filter(here).count() + other.voters.keys().filter(there).count();
        differing <= 1
    }
}
