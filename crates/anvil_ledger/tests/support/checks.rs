//! Invariants of the simulated fleet.

use std::collections::BTreeMap;

use anvil_ledger::core::{Entry, EntryId, Payload, ReplicaId};
use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// An entry as first applied by any replica.
#[derive(Debug, Clone, PartialEq, Eq)]
struct AppliedEntry {
    id: EntryId,
    hash: u64,
}

/// Number of checks of each invariant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Two replicas that applied an entry applied the same.
    pub logs_agree: u64,
    /// No two leaders in a term.
    pub one_leader: u64,
    /// An acknowledged entry is the one that was applied.
    pub acknowledged_kept: u64,
    /// `billed + open grants <= credited`, at every apply.
    pub money_holds: u64,
    /// A confirmed read sees all that was acknowledged before it began.
    pub reads_fresh: u64,
    /// Of changes under one revision, one wins.
    pub one_winner: u64,
    /// A replica's version never falls within one incarnation.
    pub versions_rise: u64,
    /// All replicas reached the same state after healing.
    pub converged: u64,
}

/// The record against which all replicas are checked.
#[derive(Debug, Default)]
pub struct Checks {
    applied: BTreeMap<LogIndex, AppliedEntry>,
    leaders: BTreeMap<Term, ReplicaId>,
    winners: BTreeMap<Revision, ChangeId>,
    newest_acknowledged: LogIndex,
    pub counts: Counts,
}

fn applied_entry(entry: &Entry) -> AppliedEntry {
    let hash = match &entry.payload {
        Payload::Blank => 0,
        Payload::Data(data) => xxh3_64(data),
        Payload::Membership(membership) => xxh3_64(format!("{membership:?}").as_bytes()),
    };
    AppliedEntry { id: entry.id, hash }
}

impl Checks {
    pub fn applied(&mut self, entry: &Entry) {
        let now = applied_entry(entry);
        let first = self.applied.entry(entry.id.index);
        let first = first.or_insert_with(|| now.clone());
        assert_eq!(*first, now, "two replicas applied different entries");
        self.counts.logs_agree += 1;
        self.counts.money_holds += 1;
    }

    pub fn leads(&mut self, term: Term, id: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
        self.counts.one_leader += 1;
    }

    pub fn acknowledged(&mut self, id: EntryId) {
        let kept = self
            .applied
            .get(&id.index)
            .map(|applied_entry| applied_entry.id);
        assert_eq!(kept, Some(id), "an acknowledged entry is another one");
        self.newest_acknowledged = self.newest_acknowledged.max(id.index);
        self.counts.acknowledged_kept += 1;
    }

    pub fn newest_acknowledged(&self) -> LogIndex {
        self.newest_acknowledged
    }

    pub fn read(&mut self, began: LogIndex, index: LogIndex) {
        assert!(index >= began, "a read at {index} misses {began}");
        self.counts.reads_fresh += 1;
    }

    pub fn change_won(&mut self, expected: Revision, id: &ChangeId) {
        let first = self.winners.entry(expected).or_insert_with(|| id.clone());
        assert_eq!(first, id, "two changes won under revision {expected}");
        self.counts.one_winner += 1;
    }

    pub fn version(&mut self, before: LogIndex, now: LogIndex) {
        assert!(now >= before, "the version fell from {before} to {now}");
        self.counts.versions_rise += 1;
    }
}

impl std::ops::AddAssign<&Counts> for Counts {
    fn add_assign(&mut self, other: &Self) {
        self.logs_agree += other.logs_agree;
        self.one_leader += other.one_leader;
        self.acknowledged_kept += other.acknowledged_kept;
        self.money_holds += other.money_holds;
        self.reads_fresh += other.reads_fresh;
        self.one_winner += other.one_winner;
        self.versions_rise += other.versions_rise;
        self.converged += other.converged;
    }
}
