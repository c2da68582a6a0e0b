//! The follower's part of replication: accepts the leader's entries and acknowledges them.

use std::time::Duration;

use anvil_world::ids::{LogIndex, Term};

use super::error::CoreError;
use super::replica::{Replica, Role};
use super::{Entry, EntryId, Message, Payload, ReplicaId, Round};

impl Replica {
    /// Follows the sender of a leader's message; false if its term is over.
    pub(super) fn accept_leader(
        &mut self,
        from: ReplicaId,
        term: Term,
        round: Round,
    ) -> Result<bool, CoreError> {
        if term < self.hard.term {
            self.acknowledge(from, None);
            return Ok(false);
        }
        if term > self.hard.term {
            self.adopt_term(term);
        }
        if let Some(one) = self.leader.filter(|one| *one != from) {
            return Err(CoreError::TwoLeaders {
                term,
                one,
                other: from,
            });
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.record_leader();
        self.last_leader_contact = Some(self.now);
        self.own_pauses.others_heard();
        self.fast_election_until = Duration::ZERO;
        self.newest_round = self.newest_round.max(round);
        self.wait_for_leader();
        Ok(true)
    }

    /// Handles entries or a heartbeat from the leader.
    pub(super) fn on_append(
        &mut self,
        from: ReplicaId,
        term: Term,
        prev: EntryId,
        entries: Vec<Entry>,
        committed: LogIndex,
        round: Round,
    ) -> Result<(), CoreError> {
        if !self.accept_leader(from, term, round)? {
            return Ok(());
        }
        self.announced = self.announced.max(committed);
        // Entries up to the base are committed, so they are the same at the leader.
        let base = self.log.base();
        let known = prev.index < base.index || self.log.id_at(prev.index) == Some(prev);
        if !known {
            let missing = self.retry_position(prev.index);
            self.acknowledge(from, Some(missing));
            return Ok(());
        }
        let last = prev.index + entries.len() as LogIndex;
        let is_heartbeat = entries.is_empty();
        for entry in entries.into_iter().filter(|e| e.id.index > base.index) {
            self.accept_entry(entry)?;
        }
        self.verified = self.verified.max(last.max(base.index));
        let committed = committed.min(self.verified);
        if committed > self.committed {
            self.committed = committed;
            self.apply();
            self.prune_memberships();
        }
        if is_heartbeat || self.writes.durable() >= self.verified {
            self.acknowledge(from, None);
        }
        Ok(())
    }

    /// Appends one entry; a different one at its position is dropped with all after it.
    fn accept_entry(&mut self, entry: Entry) -> Result<(), CoreError> {
        let index = entry.id.index;
        if self.log.id_at(index) == Some(entry.id) {
            return Ok(());
        }
        let last = self.log.last().index;
        if index <= self.committed {
            let committed = self.committed;
            return Err(CoreError::CommittedReplaced { index, committed });
        }
        if index > last + 1 {
            return Err(CoreError::Gap { last, found: index });
        }
        if index <= last {
            self.truncate_from(index);
        }
        if let Payload::Membership(next) = &entry.payload {
            let before = self.membership();
            if !before.is_empty() && !next.differs_by_at_most_one_voter(before) {
                return Err(CoreError::MultipleVoterChange { index });
            }
        }
        self.append(entry);
        Ok(())
    }

    /// Position after which the leader should retry, if it has a different entry, or this replica
    /// none, at `index`.
    fn retry_position(&self, index: LogIndex) -> LogIndex {
        let last = self.log.last().index;
        let below = if index > last {
            last
        } else {
            self.log.before_term_of(index)
        };
        below.max(self.committed.min(last))
    }

    /// Reports to the leader how far this disk matches its log.
    pub(super) fn acknowledge(&mut self, to: ReplicaId, missing: Option<LogIndex>) {
        let ack = Message::Ack {
            term: self.hard.term,
            matched: self.verified.min(self.writes.durable()),
            missing,
            round: self.newest_round,
        };
        self.send_after_hard_state(to, ack);
    }

    /// Counts or reports log entries that have just been synced.
    pub(super) fn advance_after_sync(&mut self) {
        if self.leads() {
            self.advance_commit();
            return;
        }
        if let (Some(leader), true) = (self.leader, self.verified > 0) {
            self.acknowledge(leader, None);
        }
    }
}
