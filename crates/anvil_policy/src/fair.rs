//! Weighted fair sharing between keys that have queued work (start-time fair queueing).
//!
//! *Load pattern:* one organisation or key that sends 90% of the load.
//!
//! *Without it:* in order of arrival, whoever sends nine of ten requests gets nine of ten turns,
//! and all others wait in that sender's queue.
//!
//! *Mechanism:* each key has a tag: the virtual time up to which it has used its share. The key
//! with the lowest tag is next, and its tag advances by the cost divided by its weight. A key that
//! becomes ready after a pause starts at the current virtual time, so no key accumulates unused
//! turns.

use std::collections::{BTreeMap, BTreeSet};

/// Virtual time: cost divided by weight, in 1/1024 of the unit of cost.
type Tag = u64;

/// Keeps costs of a millisecond, in microseconds, distinct after the division by a weight of up to
/// 100,000.
const SCALE: u64 = 1_024;

/// By how much a turn advances a tag.
fn step(cost: u64, weight: u32) -> Tag {
    let scaled = cost.max(1).saturating_mul(SCALE);
    // A key with a high weight whose tag stood still would have all turns.
    (scaled / u64::from(weight.max(1))).max(1)
}

/// Selects the next key among those that have work.
#[derive(Debug, Clone)]
pub struct FairShares<K> {
    tags: BTreeMap<K, Tag>,
    ready: BTreeSet<(Tag, K)>,
    virtual_time: Tag,
}

impl<K> Default for FairShares<K> {
    fn default() -> Self {
        Self {
            tags: BTreeMap::new(),
            ready: BTreeSet::new(),
            virtual_time: 0,
        }
    }
}

impl<K: Ord + Clone> FairShares<K> {
    /// Marks a key as having work.
    pub fn mark_ready(&mut self, key: &K) {
        let tag = self.tags.get(key).copied().unwrap_or_default();
        if self.ready.contains(&(tag, key.clone())) {
            return;
        }
        let tag = tag.max(self.virtual_time);
        self.tags.insert(key.clone(), tag);
        self.ready.insert((tag, key.clone()));
    }

    /// Marks a key as having no work.
    pub fn mark_idle(&mut self, key: &K) {
        let Some(tag) = self.tags.get(key).copied() else {
            return;
        };
        self.ready.remove(&(tag, key.clone()));
        // A tag that is not ahead of the virtual time has no effect in `mark_ready`, so it is not
        // kept.
        if tag <= self.virtual_time {
            self.tags.remove(key);
        }
    }

    /// Returns the cost of a turn that was charged but not taken.
    pub fn refund(&mut self, key: &K, cost: u64, weight: u32) {
        let Some(old) = self.tags.get(key).copied() else {
            return;
        };
        let ready = self.ready.remove(&(old, key.clone()));
        let new = old.saturating_sub(step(cost, weight));
        self.tags.insert(key.clone(), new);
        if ready {
            self.ready.insert((new, key.clone()));
        }
    }

    /// The key whose turn it is.
    pub fn next(&self) -> Option<&K> {
        self.ready.first().map(|(_, key)| key)
    }

    /// Charges a key for a turn. `cost` is in any unit that is the same for all keys.
    pub fn charge(&mut self, key: &K, cost: u64, weight: u32) {
        let old = self.tags.get(key).copied().unwrap_or(self.virtual_time);
        let ready = self.ready.remove(&(old, key.clone()));
        // A turn out of order (a promoted request) must not advance the virtual time past keys that
        // still wait.
        let first = self.ready.first().map_or(old, |(tag, _)| *tag);
        self.virtual_time = self.virtual_time.max(old.min(first));
        let new = old
            .max(self.virtual_time)
            .saturating_add(step(cost, weight));
        self.tags.insert(key.clone(), new);
        if ready {
            self.ready.insert((new, key.clone()));
        }
    }
}

/// Divisor of the load in proportion to which an organisation gets turns. Each is to be served at least a
/// quarter as often as the average; a third leaves a margin for errors of the measured loads.
const PROPORTIONAL_PART: f64 = 3.0;
/// Weight of an organisation whose load is at most [`PROPORTIONAL_PART`] times the mean. Large
/// enough that the weight of a tenth of its load stays distinct if operators divide it by 100.
const USUAL_WEIGHT: f64 = 1_000.0;

/// Weight of an organisation, by its load and the mean load of all organisations, times a factor.
///
/// With equal weights for all, an organisation with most of the load would get next to nothing
/// beside many small ones; in proportion to the load, it would push them aside.
pub fn weight_by_load(own: f64, mean: f64, factor: f64) -> u32 {
    let excess = own / (PROPORTIONAL_PART * mean.max(f64::MIN_POSITIVE));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float to integer cast saturates"
    )]
    let weight = (USUAL_WEIGHT * excess.max(1.0) * factor) as u32;
    weight.max(1)
}
