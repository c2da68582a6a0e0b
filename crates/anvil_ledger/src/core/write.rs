//! Pending disk writes, and the messages that wait for them.
//!
//! A replica that acknowledged an entry or a vote before its disk had synced could lose it in a
//! crash, and the majority that was counted would not exist. Every acknowledgement and every vote
//! is therefore held until the write it rests on is reported as synced.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_world::ids::LogIndex;

use super::replica::Replica;
use super::{Action, Entry, EntryId, Message, Payload, ReplicaId, Write, WriteSeq};

/// A write that is not synced yet.
#[derive(Debug)]
struct PendingWrite {
    seq: WriteSeq,
    /// Last log position on disk after this write.
    upto: LogIndex,
    /// When it was issued.
    at: Duration,
}

#[derive(Debug)]
pub(super) struct Writes {
    issued: WriteSeq,
    synced: WriteSeq,
    /// Last log position that is synced.
    durable: LogIndex,
    pending: VecDeque<PendingWrite>,
    /// The newest write that carries a hard state.
    hard: WriteSeq,
    hard_changed: bool,
    entries: Vec<Entry>,
}

impl Writes {
    pub fn new(durable: LogIndex) -> Self {
        Self {
            issued: 0,
            synced: 0,
            durable,
            pending: VecDeque::new(),
            hard: 0,
            hard_changed: false,
            entries: Vec::new(),
        }
    }

    pub fn durable(&self) -> LogIndex {
        self.durable
    }

    fn dirty(&self) -> bool {
        self.hard_changed || !self.entries.is_empty()
    }

    /// Sequence number of the write that carries all changes made so far.
    fn covering_seq(&self) -> WriteSeq {
        self.issued + WriteSeq::from(self.dirty())
    }

    /// Whether term or vote are not synced yet.
    pub fn hard_pending(&self) -> bool {
        self.hard_changed || self.hard > self.synced
    }

    pub fn idle(&self) -> bool {
        !self.dirty() && self.synced == self.issued
    }

    fn truncate_from(&mut self, index: LogIndex) {
        let last = index - 1;
        self.durable = self.durable.min(last);
        for write in &mut self.pending {
            write.upto = last.min(write.upto);
        }
        self.entries.retain(|entry| entry.id.index < index);
    }

    /// Issues a write that replaces the whole log.
    pub fn replace(&mut self, last: LogIndex, now: Duration) -> WriteSeq {
        for write in &mut self.pending {
            write.upto = 0;
        }
        self.durable = 0;
        self.issued += 1;
        self.pending.push_back(PendingWrite {
            seq: self.issued,
            upto: last,
            at: now,
        });
        self.issued
    }

    /// Records that all writes up to this one are synced; returns how long the oldest of them took.
    fn synced(&mut self, seq: WriteSeq, now: Duration) -> Duration {
        self.synced = self.synced.max(seq);
        let mut longest = Duration::ZERO;
        while let Some(write) = self.pending.pop_front_if(|write| write.seq <= seq) {
            self.durable = self.durable.max(write.upto);
            longest = longest.max(now.saturating_sub(write.at));
        }
        longest
    }
}

/// A message that waits for a sync.
#[derive(Debug)]
pub(super) struct HeldMessage {
    /// The write it rests on.
    after: WriteSeq,
    to: ReplicaId,
    message: Message,
}

impl Replica {
    pub(super) fn append(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.id.index, membership.clone()));
        }
        self.log.push(entry.clone());
        self.writes.entries.push(entry);
    }

    /// Drops entries that the leader does not have, and the memberships in them.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.writes.truncate_from(index);
        self.memberships.retain(|(at, _)| *at < index);
    }

    /// Sets the term, with the vote given in it.
    ///
    /// If `verified` survived a change of term, this replica could acknowledge and apply entries
    /// that the new leader does not have, and replicas would differ. Every change of term, also a
    /// candidate's own, resets it here.
    pub(super) fn set_term(&mut self, term: u64, vote: Option<ReplicaId>) {
        if term != self.hard.term {
            self.verified = 0;
            self.newest_round = 0;
        }
        self.hard.term = term;
        self.hard.vote = vote;
        self.writes.hard_changed = true;
    }

    /// Sends a message as soon as everything decided so far is synced.
    pub(super) fn send_after_sync(&mut self, to: ReplicaId, message: Message) {
        if self.writes.idle() {
            self.send(to, message);
        } else {
            let after = self.writes.covering_seq();
            self.held.push_back(HeldMessage { after, to, message });
        }
    }

    /// Sends a message as soon as term and vote are synced.
    pub(super) fn send_after_hard_state(&mut self, to: ReplicaId, message: Message) {
        if self.writes.hard_pending() {
            self.send_after_sync(to, message);
        } else {
            self.send(to, message);
        }
    }

    /// Issues one write with all changes of this event.
    ///
    /// It goes before the messages of the same event, so that the disk starts first.
    pub(super) fn flush(&mut self) {
        if !self.writes.dirty() {
            return;
        }
        let seq = self.writes.covering_seq();
        let entries = std::mem::take(&mut self.writes.entries);
        let hard = self.writes.hard_changed.then_some(self.hard);
        if hard.is_some() {
            self.writes.hard = seq;
        }
        self.writes.hard_changed = false;
        self.writes.issued = seq;
        let upto = self.log.last().index;
        let at = self.now;
        self.writes
            .pending
            .push_back(PendingWrite { seq, upto, at });
        let first = entries.first().map(|entry| entry.id.index - 1);
        let prev = first.and_then(|index| self.log.id_at(index));
        let write = Write {
            seq,
            hard,
            prev: prev.unwrap_or_default(),
            entries,
        };
        self.out.insert(0, Action::Write(write));
    }

    pub(super) fn synced(&mut self, seq: WriteSeq) {
        let hard_was_pending = self.writes.hard_pending();
        let took = self.writes.synced(seq, self.now);
        self.sync_times.record(self.now, took);
        if hard_was_pending && !self.writes.hard_pending() && !self.leads() {
            // The votes that rest on this sync are sent, or asked for, only now.
            self.wait_for_leader();
        }
        while let Some(held) = self.held.pop_front_if(|held| held.after <= seq) {
            self.release(held);
        }
        self.advance_after_sync();
    }

    /// Sends a held message, or counts it at once if it is this replica's vote for itself.
    fn release(&mut self, held: HeldMessage) {
        let HeldMessage { to, message, .. } = held;
        match message {
            Message::Vote {
                term,
                trial,
                granted,
            } if to == self.id => self.on_vote(to, term, trial, granted),
            message => self.send(to, message),
        }
    }

    pub(super) fn next_entry_id(&self) -> EntryId {
        EntryId {
            term: self.hard.term,
            index: self.log.last().index + 1,
        }
    }
}
