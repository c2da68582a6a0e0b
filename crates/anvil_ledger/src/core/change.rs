//! Membership changes, one at a time.
//!
//! Failure: two voters changed at once can make two majorities that share no replica, and then
//! two leaders commit different entries. One change is begun only after the one before it and an
//! entry of the present term are committed, and it moves one voter at most.

use std::time::Duration;

use super::leadership::Progress;
use super::replica::{Replica, Role};
use super::{Entry, Membership, Payload, ReplicaId, Site};

/// Most entries that a learner may lack when it becomes a voter.
const CAUGHT_UP: u64 = 64;

impl Replica {
    /// Begins the next change, if one is due and none is under way.
    pub(super) fn change_members(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let newest = self.memberships.last().map_or(0, |(at, _)| *at);
        let settled = newest <= self.committed && self.committed >= lead.first;
        if !settled {
            return;
        }
        let known = self.membership().clone();
        self.joining
            .retain(|id, site| known.site(*id) != Some(&*site));
        self.removing
            .retain(|instance| known.of_instance(instance).next().is_some());
        if let Some(next) = self.next_membership() {
            self.change_to(next);
        }
    }

    /// Writes the first entry of a new ledger, unless this replica belongs to one already.
    pub(super) fn found(&mut self, membership: Membership) {
        if self.ledger() != 0 || self.log.last().index != 0 {
            return;
        }
        self.set_term(self.hard.term + 1, None);
        let id = self.next_id();
        self.append(Entry {
            id,
            payload: Payload::Membership(membership),
        });
        self.stand_trial();
    }

    fn next_membership(&self) -> Option<Membership> {
        let membership = self.membership();
        if let Some((id, site)) = self.joining.first_key_value() {
            let next = if membership.site(*id).is_some() {
                membership.with_site(*id, site.clone())
            } else {
                membership.with_learner(*id, site.clone())
            };
            return Some(next);
        }
        if let Some(next) = self.next_removal() {
            return Some(next);
        }
        let (id, site) = membership
            .learners
            .iter()
            .find(|(id, _)| self.caught_up(**id))?;
        let old = self.lost_disk_of(*id, site);
        Some(old.map_or_else(
            || membership.with_voter(*id),
            |old| membership.without_voter(old),
        ))
    }

    /// The ledger without a replica that an operator takes out.
    ///
    /// Failure: an operator takes out a live replica while others are down, and the rest has no
    /// majority that can be reached. It waits until a majority of the rest was heard of lately.
    /// The leader itself stays: another one has to lead first.
    fn next_removal(&self) -> Option<Membership> {
        let membership = self.membership();
        let named = self.removing.iter();
        let mut ids = named.flat_map(|instance| membership.of_instance(instance));
        let id = ids.find(|id| *id != self.id)?;
        if membership.learners.contains_key(&id) {
            return Some(membership.without_learner(id));
        }
        let rest = membership.without_voter(id);
        rest.agreed(|other| self.heard_lately(other))
            .then_some(rest)
    }

    /// The voter whose instance has come back with another disk.
    ///
    /// It is taken out before the new one votes, and only once the new one has caught up: the
    /// lost disk would otherwise count in the majority although it can never answer.
    fn lost_disk_of(&self, learner: ReplicaId, site: &Site) -> Option<ReplicaId> {
        let mut voters = self.membership().voters.iter();
        let same = voters.find(|(id, old)| **id != learner && old.instance == site.instance);
        same.map(|(id, _)| *id).filter(|id| *id != self.id)
    }

    fn caught_up(&self, id: ReplicaId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let limit: Duration = self.cfg.election;
        let close = |progress: &Progress| {
            let recent = self.now < progress.heard + limit;
            recent && progress.matched > 0 && progress.matched + CAUGHT_UP >= self.committed
        };
        lead.progress.get(&id).is_some_and(close)
    }

    fn change_to(&mut self, next: Membership) {
        let id = self.next_id();
        let now = self.now;
        let replicas: Vec<_> = next.replicas().map(|(id, _)| id).collect();
        if let Some(lead) = self.leadership() {
            lead.progress.retain(|id, _| replicas.contains(id));
            for replica in replicas {
                lead.welcome(replica, id.index, now);
            }
        }
        self.append(Entry {
            id,
            payload: Payload::Membership(next),
        });
        self.replicate_all();
    }
}
