//! Weighted fair shares between keys that have work waiting (start-time fair queueing).
//!
//! *Answers:* one organisation or key with 90% of the load.
//!
//! *Without it:* in order of arrival, nine of ten turns go to whoever sends nine of ten
//! requests, and everybody else waits in that one's queue.
//!
//! Each key has a tag: the virtual time up to which it has had its share. The lowest tag is
//! next, and its cost divided by its weight is added. A key that comes back after a pause starts
//! at the present virtual time, so nobody saves up turns.

use std::collections::{BTreeMap, BTreeSet};

/// Virtual time: cost divided by weight, in 1/1024 of the cost's unit.
type Tag = u64;

/// Keeps small costs apart after the division by a weight of up to 1,000.
const SCALE: u64 = 1_024;

/// Who is next among the keys with work.
#[derive(Debug, Clone)]
pub struct FairShares<K> {
    tags: BTreeMap<K, Tag>,
    ready: BTreeSet<(Tag, K)>,
    present: Tag,
}

impl<K> Default for FairShares<K> {
    fn default() -> Self {
        Self {
            tags: BTreeMap::new(),
            ready: BTreeSet::new(),
            present: 0,
        }
    }
}

impl<K: Ord + Clone> FairShares<K> {
    /// Marks a key as having work.
    pub fn wake(&mut self, key: &K) {
        let tag = self.tags.get(key).copied().unwrap_or_default();
        if self.ready.contains(&(tag, key.clone())) {
            return;
        }
        let tag = tag.max(self.present);
        self.tags.insert(key.clone(), tag);
        self.ready.insert((tag, key.clone()));
    }

    /// Marks a key as having no work.
    pub fn sleep(&mut self, key: &K) {
        let Some(tag) = self.tags.get(key).copied() else {
            return;
        };
        self.ready.remove(&(tag, key.clone()));
        // A tag in the past says nothing that `wake` would not find out, so it isn't kept.
        if tag <= self.present {
            self.tags.remove(key);
        }
    }

    /// The key whose turn it is.
    pub fn next(&self) -> Option<&K> {
        self.ready.first().map(|(_, key)| key)
    }

    /// Charges a key for a turn. `cost` in any unit that is the same for all keys.
    pub fn charge(&mut self, key: &K, cost: u64, weight: u32) {
        let old = self.tags.get(key).copied().unwrap_or(self.present);
        let ready = self.ready.remove(&(old, key.clone()));
        let step = cost.max(1).saturating_mul(SCALE) / u64::from(weight.max(1));
        // A turn out of order (a rescue) must not carry the present past keys that still wait.
        let first = self.ready.first().map_or(old, |(tag, _)| *tag);
        self.present = self.present.max(old.min(first));
        let new = old.max(self.present).saturating_add(step);
        self.tags.insert(key.clone(), new);
        if ready {
            self.ready.insert((new, key.clone()));
        }
    }
}
