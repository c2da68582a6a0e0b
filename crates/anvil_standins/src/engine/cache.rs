//! The prefix cache: blocks of prompts in limited memory; the least recently used block is
//! evicted first. Every change is published as an event.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::answer::Message;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Maximum number of events retained for readers.
const MAX_EVENTS: usize = 10_000;

/// Hash of a block and of all blocks before it.
pub type BlockHash = u64;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// A published change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Sequence number, one higher with each event; a gap means that events were lost.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
    /// The block.
    pub block: BlockHash,
}

/// The cache of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    seq: u64,
    last_use: BTreeMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// An empty cache with this capacity in blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            seq: 0,
            last_use: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            events: VecDeque::new(),
        }
    }

    /// Adds a prompt's blocks; returns how many bytes of its beginning were cached before.
    pub fn admit(&mut self, messages: &[Message]) -> usize {
        let mut cached = 0;
        let mut prefix_cached = true;
        for block in blocks(messages) {
            prefix_cached = prefix_cached && self.last_use.contains_key(&block);
            if prefix_cached {
                cached += BLOCK_BYTES;
            }
            self.touch(block);
        }
        cached
    }

    /// Whether a block is in the cache.
    pub fn contains(&self, block: BlockHash) -> bool {
        self.last_use.contains_key(&block)
    }

    /// Adds a block, or marks it as used.
    pub fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        if let Some(previous) = self.last_use.insert(block, self.clock) {
            self.by_last_use.remove(&previous);
        } else {
            self.publish(EventKind::Stored, block);
        }
        self.by_last_use.insert(self.clock, block);
        if self.last_use.len() > self.capacity {
            self.evict();
        }
    }

    /// Events from sequence number `from` on that are older than `lag`; those whose number is a
    /// multiple of `gap` are lost.
    pub fn events(&self, from: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let retained = self.events.iter();
        retained
            .filter(|(at, event)| event.seq >= from && at.elapsed() >= lag)
            .filter(|(_, event)| gap == 0 || event.seq % gap != 0)
            .map(|(_, event)| *event)
            .collect()
    }

    fn evict(&mut self) {
        if let Some((_, block)) = self.by_last_use.pop_first() {
            self.last_use.remove(&block);
            self.publish(EventKind::Evicted, block);
        }
    }

    fn publish(&mut self, kind: EventKind, block: BlockHash) {
        self.seq += 1;
        let event = CacheEvent {
            seq: self.seq,
            kind,
            block,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Hashes of a prompt's complete blocks; each hash covers the prompt up to the block's end.
pub fn blocks(messages: &[Message]) -> Vec<BlockHash> {
    let mut text = Vec::new();
    for message in messages {
        text.extend_from_slice(message.content.as_bytes());
    }
    let mut previous = 0;
    let complete = text.chunks_exact(BLOCK_BYTES);
    complete
        .map(|block| {
            previous = xxh3_64_with_seed(block, previous);
            previous
        })
        .collect()
}
