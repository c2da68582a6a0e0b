//! What a follower does with its leader's entries.

use std::time::Duration;

use anvil_world::ids::{LogIndex, Term};

use super::error::CoreError;
use super::replica::{Replica, Role};
use super::{Entry, EntryId, Message, Payload, ReplicaId, Round};

impl Replica {
    /// Takes a leader's sign of life; false when its term is over.
    pub(super) fn hear_leader(
        &mut self,
        from: ReplicaId,
        term: Term,
        round: Round,
    ) -> Result<bool, CoreError> {
        if term < self.hard.term {
            self.answer(from, None);
            return Ok(false);
        }
        if term > self.hard.term {
            self.follow_term(term);
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
        self.note_leader();
        self.heard = Some(self.now);
        self.eager_until = Duration::ZERO;
        self.round_seen = self.round_seen.max(round);
        self.wait_for_leader();
        Ok(true)
    }

    /// The leader's entries have come.
    pub(super) fn appended(
        &mut self,
        from: ReplicaId,
        term: Term,
        prev: EntryId,
        entries: Vec<Entry>,
        committed: LogIndex,
        round: Round,
    ) -> Result<(), CoreError> {
        if !self.hear_leader(from, term, round)? {
            return Ok(());
        }
        // What lies at or before the base is committed, so it is the same at the leader.
        let base = self.log.base();
        let known = prev.index < base.index || self.log.id_at(prev.index) == Some(prev);
        if !known {
            let missing = self.search_below(prev.index);
            self.answer(from, Some(missing));
            return Ok(());
        }
        let last = prev.index + entries.len() as LogIndex;
        let silent = entries.is_empty();
        for entry in entries.into_iter().filter(|e| e.id.index > base.index) {
            self.take(entry)?;
        }
        self.verified = self.verified.max(last.max(base.index));
        let committed = committed.min(self.verified);
        if committed > self.committed {
            self.committed = committed;
            self.apply();
            self.forget_memberships();
        }
        if silent || self.writes.durable() >= self.verified {
            self.answer(from, None);
        }
        Ok(())
    }

    /// Takes one entry, in the place of a different one.
    fn take(&mut self, entry: Entry) -> Result<(), CoreError> {
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
            if !before.is_empty() && !next.is_one_step_from(before) {
                return Err(CoreError::LeapInMembership { index });
            }
        }
        self.append(entry);
        Ok(())
    }

    /// Where the leader should try next, when it has another entry or none at `index`.
    fn search_below(&self, index: LogIndex) -> LogIndex {
        let last = self.log.last().index;
        let below = if index > last {
            last
        } else {
            self.log.before_term_of(index)
        };
        below.max(self.committed.min(last))
    }

    /// Tells the leader how far this disk holds its log.
    pub(super) fn answer(&mut self, to: ReplicaId, missing: Option<LogIndex>) {
        let ack = Message::Ack {
            term: self.hard.term,
            matched: self.verified.min(self.writes.durable()),
            missing,
            round: self.round_seen,
        };
        self.send_in_term(to, ack);
    }

    /// More of the log is on disk.
    pub(super) fn advance_after_sync(&mut self) {
        if self.leads() {
            self.advance();
            return;
        }
        if let (Some(leader), true) = (self.leader, self.verified > 0) {
            self.answer(leader, None);
        }
    }
}
