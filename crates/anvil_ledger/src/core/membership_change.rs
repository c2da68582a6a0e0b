//! Membership changes, one at a time.
//!
//! If two voters changed at once, there could be two majorities without a common replica, and two
//! leaders could commit different entries. A change therefore begins only once the one before it
//! and an entry of the present term are committed, and it changes at most one voter.

use std::time::Duration;

use super::leadership::Progress;
use super::replica::{Replica, Role};
use super::{Entry, Membership, Payload, ReplicaId, Site};

/// Maximum number of committed entries that a learner may lack when it becomes a voter.
const MAX_LEARNER_LAG: u64 = 64;

impl Replica {
    /// Begins the next membership change, if one is due and none is pending.
    pub(super) fn advance_membership(&mut self) {
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
            .retain(|instance| known.replicas_of_instance(instance).next().is_some());
        if let Some(next) = self.next_membership() {
            self.append_membership(next);
        }
    }

    /// Writes the first entry of a new ledger, unless this replica belongs to one already.
    pub(super) fn found_ledger(&mut self, membership: Membership) {
        if self.ledger() != 0 || self.log.last().index != 0 {
            return;
        }
        self.set_term(self.hard.term + 1, None);
        let id = self.next_entry_id();
        self.append(Entry {
            id,
            payload: Payload::Membership(membership),
        });
        self.start_pre_vote();
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
        let old = self.replaced_disk_of(*id, site);
        Some(old.map_or_else(
            || membership.with_voter(*id),
            |old| membership.without_voter(old),
        ))
    }

    /// The membership without a replica that an operator removes.
    ///
    /// If an operator removes a live replica while others are down, the rest may be left without a
    /// reachable majority. The removal therefore waits until a majority of the rest has responded
    /// recently. The leader does not remove itself: another replica has to lead first.
    fn next_removal(&self) -> Option<Membership> {
        let membership = self.membership();
        let named = self.removing.iter();
        let mut ids = named.flat_map(|instance| membership.replicas_of_instance(instance));
        let id = ids.find(|id| *id != self.id)?;
        if membership.learners.contains_key(&id) {
            return Some(membership.without_learner(id));
        }
        let rest = membership.without_voter(id);
        rest.majority_satisfies(|other| self.responded_recently(other))
            .then_some(rest)
    }

    /// The voter whose instance has come back with another disk.
    ///
    /// It is removed before the new replica votes, and only once the new one has caught up: the
    /// lost disk would otherwise count for the majority although it can never answer.
    fn replaced_disk_of(&self, learner: ReplicaId, site: &Site) -> Option<ReplicaId> {
        let mut voters = self.membership().voters.iter();
        let same = voters.find(|(id, old)| **id != learner && old.instance == site.instance);
        same.map(|(id, _)| *id).filter(|id| *id != self.id)
    }

    fn caught_up(&self, id: ReplicaId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let limit: Duration = self.cfg.election_timeout;
        let close = |progress: &Progress| {
            let recent = self.now < progress.last_response + limit;
            recent && progress.matched > 0 && progress.matched + MAX_LEARNER_LAG >= self.committed
        };
        lead.progress.get(&id).is_some_and(close)
    }

    fn append_membership(&mut self, next: Membership) {
        let id = self.next_entry_id();
        let now = self.now;
        let replicas: Vec<_> = next.replicas().map(|(id, _)| id).collect();
        if let Some(lead) = self.leadership() {
            lead.progress.retain(|id, _| replicas.contains(id));
            for replica in replicas {
                lead.track(replica, id.index, now);
            }
        }
        self.append(Entry {
            id,
            payload: Payload::Membership(next),
        });
        self.replicate_all();
    }
}
