//! Which endpoints hold which prompt prefixes.
//!
//! *Answers:* many requests that begin alike (a shop's instructions, a watch's history), on
//! engines that cache prefixes in limited memory and publish cache events late and with gaps.
//!
//! *Without it:* every endpoint prefills every prefix anew, and the cache of each holds the same
//! few. With an index that believes all it hears, requests follow a prefix that was dropped long
//! ago.
//!
//! *How:* a prompt is cut into blocks, and each block's hash covers all text before it. An entry
//! is made when this router sends a prompt (the engine will have it soon) and when an event says
//! so; it goes with a removal event, with a gap in the events of an endpoint (everything heard
//! before is in doubt), with age, and when memory is full. A wrong entry costs one prefill, so
//! the index may be wrong, but not for long. See [`crate::choice`] for how much a hit counts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a prompt's blocks up to and with one block.
pub type PrefixHash = u64;

/// Bounds of the index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixRule {
    /// Prompt bytes in a block.
    pub block: usize,
    /// Blocks of one prompt that are looked at.
    pub most_blocks: usize,
    /// Prefixes that are remembered at most; about 100 bytes each.
    pub most_entries: usize,
    /// Endpoints that are remembered for one prefix.
    pub most_holders: usize,
    /// After this time without use or event, an entry is not believed.
    pub believed_for: Duration,
}

impl Default for PrefixRule {
    fn default() -> Self {
        Self {
            block: 1_024,
            most_blocks: 32,
            most_entries: 65_536,
            most_holders: 4,
            believed_for: Duration::from_mins(5),
        }
    }
}

impl PrefixRule {
    /// Hashes of a prompt's whole blocks, first block first. `model` keeps models apart.
    pub fn hashes(&self, model: &str, prompt: &[u8]) -> Vec<PrefixHash> {
        let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
        let blocks = prompt.chunks_exact(self.block.max(1));
        let next = |block: &[u8]| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        };
        blocks.take(self.most_blocks).map(next).collect()
    }
}

/// What an endpoint says of its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Running number of the endpoint's events, without gaps when none is lost.
    pub seq: u64,
    /// What happened.
    pub change: CacheChange,
}

/// A change of a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// A prefix was taken in.
    Added(PrefixHash),
    /// A prefix was dropped.
    Removed(PrefixHash),
    /// The whole cache was dropped.
    Cleared,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    seen: Now,
    /// The endpoint's generation when it was seen; older than the present one means in doubt.
    generation: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Feed {
    next_seq: Option<u64>,
    generation: u64,
}

/// The index of one router. Bounded in memory whatever is sent or heard.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    rule: PrefixRule,
    entries: BTreeMap<PrefixHash, BTreeMap<InstanceId, Holder>>,
    /// Prefixes in the order in which they came; the oldest goes when memory is full.
    order: VecDeque<PrefixHash>,
    feeds: BTreeMap<InstanceId, Feed>,
}

impl PrefixIndex {
    /// With these bounds.
    pub fn new(rule: PrefixRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// Prefixes that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Remembers that a prompt with these hashes was sent to an endpoint.
    pub fn sent(&mut self, now: Now, endpoint: &InstanceId, hashes: &[PrefixHash]) {
        for hash in hashes {
            self.hold(now, endpoint, *hash);
        }
    }

    /// Takes in an event. Late and doubled ones do no harm, a gap puts the endpoint's older
    /// entries in doubt: the lost event may have been a removal.
    pub fn heard(&mut self, now: Now, endpoint: &InstanceId, event: &CacheEvent) {
        let feed = self.feeds.entry(endpoint.clone()).or_default();
        let expected = feed.next_seq.unwrap_or(event.seq);
        if event.seq < expected {
            return;
        }
        feed.next_seq = Some(event.seq + 1);
        match event.change {
            CacheChange::Added(hash) => self.hold(now, endpoint, hash),
            CacheChange::Removed(hash) => self.drop_holder(endpoint, hash),
            CacheChange::Cleared => self.doubt(endpoint),
        }
    }

    /// Puts all entries of an endpoint in doubt: it restarted, or its events stopped.
    pub fn doubt(&mut self, endpoint: &InstanceId) {
        self.feeds.entry(endpoint.clone()).or_default().generation += 1;
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: &str) {
        self.feeds.remove(endpoint);
        for holders in self.entries.values_mut() {
            holders.remove(endpoint);
        }
    }

    /// Endpoints that may hold a prefix of the prompt, with the number of blocks held. Longest
    /// first, each endpoint once, and no more than the rule's holders.
    pub fn holders(&self, now: Now, hashes: &[PrefixHash]) -> Vec<(InstanceId, usize)> {
        let mut found: Vec<(InstanceId, usize)> = Vec::new();
        for (at, hash) in hashes.iter().enumerate().rev() {
            let Some(holders) = self.entries.get(hash) else {
                continue;
            };
            for (id, holder) in holders {
                let known = found.iter().any(|(other, _)| other == id);
                if !known && self.believes(now, id, holder) {
                    found.push((id.clone(), at + 1));
                }
            }
            if found.len() >= self.rule.most_holders {
                found.truncate(self.rule.most_holders);
                break;
            }
        }
        found
    }

    fn believes(&self, now: Now, id: &InstanceId, holder: &Holder) -> bool {
        let generation = self.feeds.get(id).map_or(0, |feed| feed.generation);
        let young = now.saturating_sub(holder.seen) <= self.rule.believed_for;
        young && holder.generation == generation
    }

    fn hold(&mut self, now: Now, endpoint: &InstanceId, hash: PrefixHash) {
        let generation = self.feeds.get(endpoint).map_or(0, |feed| feed.generation);
        if !self.entries.contains_key(&hash) {
            self.make_room();
            self.order.push_back(hash);
        }
        let holders = self.entries.entry(hash).or_default();
        let seen = Holder {
            seen: now,
            generation,
        };
        holders.insert(endpoint.clone(), seen);
        if holders.len() > self.rule.most_holders {
            let oldest = holders.iter().min_by_key(|(_, holder)| holder.seen);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                holders.remove(&oldest);
            }
        }
    }

    fn drop_holder(&mut self, endpoint: &str, hash: PrefixHash) {
        if let Some(holders) = self.entries.get_mut(&hash) {
            holders.remove(endpoint);
        }
    }

    fn make_room(&mut self) {
        while self.entries.len() >= self.rule.most_entries.max(1) {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}
