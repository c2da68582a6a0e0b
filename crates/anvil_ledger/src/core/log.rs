//! The part of the log that is held in memory: everything after the oldest entry still needed.

use std::collections::VecDeque;

use anvil_world::ids::{LogIndex, Term};

use super::{Entry, EntryId};

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Log {
    /// The entry before the first one held.
    base: EntryId,
    entries: VecDeque<Entry>,
}

impl Log {
    pub fn new(base: EntryId, entries: Vec<Entry>) -> Self {
        Self {
            base,
            entries: entries.into(),
        }
    }

    pub fn base(&self) -> EntryId {
        self.base
    }

    pub fn last(&self) -> EntryId {
        self.entries.back().map_or(self.base, |entry| entry.id)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let offset = index.checked_sub(self.base.index + 1)?;
        usize::try_from(offset).ok()
    }

    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.id.term)
    }

    pub fn id_at(&self, index: LogIndex) -> Option<EntryId> {
        let term = self.term_at(index)?;
        Some(EntryId { term, index })
    }

    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Entries from `first` to `last`, as many as fit into `bytes`, but at least one.
    pub fn slice(&self, first: LogIndex, last: LogIndex, bytes: usize) -> Vec<Entry> {
        let Some(start) = self.position(first) else {
            return Vec::new();
        };
        let mut taken = 0;
        let fits = |entry: &&Entry| {
            let first_of_all = taken == 0;
            taken += entry.weight();
            entry.id.index <= last && (first_of_all || taken <= bytes)
        };
        self.entries
            .range(start.min(self.entries.len())..)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Drops all entries from this position on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Drops all entries up to this position.
    pub fn compact(&mut self, upto: LogIndex) {
        let Some(base) = self.id_at(upto) else {
            return;
        };
        let count = usize::try_from(upto - self.base.index).unwrap_or(usize::MAX);
        self.entries.drain(..count);
        self.base = base;
    }

    /// Drops all entries; the next one follows `base`.
    pub fn reset(&mut self, base: EntryId) {
        self.entries.clear();
        self.base = base;
    }

    /// The position before the first entry of the term that is found at `index`.
    pub fn before_term_of(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut at = index;
        while at > self.base.index && self.term_at(at) == term {
            at -= 1;
        }
        at
    }
}
