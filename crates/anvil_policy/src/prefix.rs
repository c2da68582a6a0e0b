//! Index of the prompt prefixes that each endpoint holds in its cache.
//!
//! *Load pattern:* many requests with the same prefix (a shop's instructions, a device's history),
//! on engines that cache prefixes in limited memory and publish cache events late and with gaps.
//!
//! *Without it:* every endpoint prefills every prefix again, and all caches hold the same few. With
//! an index that never expires entries, requests follow a prefix that was evicted long ago.
//!
//! *Mechanism:* a prompt is cut into blocks, and the hash of each block covers all text before it.
//! An entry is added when this router sends a prompt (the engine will hold it soon) and when an
//! event reports it. It is removed by a removal event, invalidated when the endpoint's cache was
//! cleared, expires with age, and is evicted when the index is full. A wrong entry costs one
//! prefill, so entries may be wrong for a short time. [`crate::choice`] decides how much a cached
//! prefix counts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a prompt up to and including one block.
pub type PrefixHash = u64;

/// Bounds of the index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixRule {
    /// Prompt bytes in a block.
    pub block_bytes: usize,
    /// Maximum number of blocks of one prompt that are hashed.
    pub max_blocks: usize,
    /// Maximum number of prefixes in the index; about 100 bytes each.
    pub max_entries: usize,
    /// Maximum number of endpoints recorded for one prefix.
    pub max_holders: usize,
    /// An entry without use or event for this long is ignored.
    pub entry_ttl: Duration,
}

impl Default for PrefixRule {
    fn default() -> Self {
        Self {
            block_bytes: 1_024,
            max_blocks: 32,
            max_entries: 65_536,
            max_holders: 4,
            entry_ttl: Duration::from_mins(5),
        }
    }
}

impl PrefixRule {
    /// Hashes of the complete blocks of a prompt, first block first. `model` separates the prefixes
    /// of different models.
    pub fn hashes(&self, model: &str, prompt: &[u8]) -> Vec<PrefixHash> {
        let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
        let blocks = prompt.chunks_exact(self.block_bytes.max(1));
        let next = |block: &[u8]| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        };
        blocks.take(self.max_blocks).map(next).collect()
    }
}

/// Change of an endpoint's cache, as the endpoint reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the endpoint's events, without gaps if none is lost.
    pub seq: u64,
    /// The change.
    pub change: CacheChange,
}

/// Kind of change of a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// A prefix was added.
    Added(PrefixHash),
    /// A prefix was evicted.
    Removed(PrefixHash),
    /// The whole cache was cleared.
    Cleared,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    seen: Now,
    /// The endpoint's generation when the entry was made; entries of an older generation are
    /// invalid.
    generation: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct EventFeed {
    next_seq: Option<u64>,
    generation: u64,
}

/// The prefix index of one router. Its memory is bounded, whatever is sent or received.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    rule: PrefixRule,
    entries: BTreeMap<PrefixHash, BTreeMap<InstanceId, Holder>>,
    /// Prefixes in order of insertion; the oldest is evicted when the index is full.
    order: VecDeque<PrefixHash>,
    feeds: BTreeMap<InstanceId, EventFeed>,
}

impl PrefixIndex {
    /// Creates an index with these bounds.
    pub fn new(rule: PrefixRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// Number of prefixes in the index.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a prompt with these hashes was sent to an endpoint.
    pub fn record_sent(&mut self, now: Now, endpoint: &InstanceId, hashes: &[PrefixHash]) {
        for hash in hashes {
            self.add_holder(now, endpoint, *hash);
        }
    }

    /// Applies an event. Late and duplicate events are ignored. After a gap, older entries of the
    /// endpoint stay valid until they expire, although the lost event may have been a removal.
    pub fn apply_event(&mut self, now: Now, endpoint: &InstanceId, event: &CacheEvent) {
        let feed = self.feeds.entry(endpoint.clone()).or_default();
        let expected = feed.next_seq.unwrap_or(event.seq);
        if event.seq < expected {
            return;
        }
        feed.next_seq = Some(event.seq + 1);
        match event.change {
            CacheChange::Added(hash) => self.add_holder(now, endpoint, hash),
            CacheChange::Removed(hash) => self.remove_holder(endpoint, hash),
            CacheChange::Cleared => self.invalidate(endpoint),
        }
    }

    /// Invalidates all entries of an endpoint, because it restarted or its events stopped.
    pub fn invalidate(&mut self, endpoint: &InstanceId) {
        self.feeds.entry(endpoint.clone()).or_default().generation += 1;
    }

    /// Removes an endpoint that is gone.
    pub fn remove_endpoint(&mut self, endpoint: &str) {
        self.feeds.remove(endpoint);
        for holders in self.entries.values_mut() {
            holders.remove(endpoint);
        }
    }

    /// Endpoints that may hold a prefix of the prompt, with the number of blocks held. Longest
    /// prefix first, each endpoint once, and at most as many as [`PrefixRule::max_holders`].
    pub fn holders(&self, now: Now, hashes: &[PrefixHash]) -> Vec<(InstanceId, usize)> {
        let mut found: Vec<(InstanceId, usize)> = Vec::new();
        for (at, hash) in hashes.iter().enumerate().rev() {
            let Some(holders) = self.entries.get(hash) else {
                continue;
            };
            for (id, holder) in holders {
                let known = found.iter().any(|(other, _)| other == id);
                if !known && self.is_valid(now, id, holder) {
                    found.push((id.clone(), at + 1));
                }
            }
            if found.len() >= self.rule.max_holders {
                found.truncate(self.rule.max_holders);
                break;
            }
        }
        found
    }

    fn is_valid(&self, now: Now, id: &InstanceId, holder: &Holder) -> bool {
        let generation = self.feeds.get(id).map_or(0, |feed| feed.generation);
        let is_fresh = now.saturating_sub(holder.seen) <= self.rule.entry_ttl;
        is_fresh && holder.generation == generation
    }

    fn add_holder(&mut self, now: Now, endpoint: &InstanceId, hash: PrefixHash) {
        let generation = self.feeds.get(endpoint).map_or(0, |feed| feed.generation);
        if !self.entries.contains_key(&hash) {
            self.evict_oldest();
            self.order.push_back(hash);
        }
        let holders = self.entries.entry(hash).or_default();
        let seen = Holder {
            seen: now,
            generation,
        };
        holders.insert(endpoint.clone(), seen);
        if holders.len() > self.rule.max_holders {
            let oldest = holders.iter().min_by_key(|(_, holder)| holder.seen);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                holders.remove(&oldest);
            }
        }
    }

    fn remove_holder(&mut self, endpoint: &str, hash: PrefixHash) {
        if let Some(holders) = self.entries.get_mut(&hash) {
            holders.remove(endpoint);
        }
    }

    fn evict_oldest(&mut self) {
        while self.entries.len() >= self.rule.max_entries.max(1) {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}
