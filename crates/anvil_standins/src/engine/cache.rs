//! The prefix cache: blocks of prompts in limited memory, the least used one goes first.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::answer::Message;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Most events kept for readers.
const EVENTS_KEPT: usize = 10_000;

/// Hash of a block and of all before it.
pub type BlockHash = u64;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// It is in the cache.
    Stored,
    /// It is no longer in the cache.
    Evicted,
}

/// One event, as it is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Grows by one with each event; gaps are events that were lost.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
    /// To which block.
    pub block: BlockHash,
}

/// The cache of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    clock: u64,
    seq: u64,
    used: BTreeMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// A cache of so many blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            clock: 0,
            seq: 0,
            used: BTreeMap::new(),
            by_use: BTreeMap::new(),
            events: VecDeque::new(),
        }
    }

    /// Takes a prompt in; gives back how many of its bytes were cached before.
    pub fn admit(&mut self, messages: &[Message]) -> usize {
        let mut cached = 0;
        let mut unbroken = true;
        for block in blocks(messages) {
            unbroken = unbroken && self.used.contains_key(&block);
            if unbroken {
                cached += BLOCK_BYTES;
            }
            self.touch(block);
        }
        cached
    }

    /// Whether a block is in the cache.
    pub fn contains(&self, block: BlockHash) -> bool {
        self.used.contains_key(&block)
    }

    /// Puts a block in, or marks it as used.
    pub fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.by_use.remove(&before);
        } else {
            self.publish(EventKind::Stored, block);
        }
        self.by_use.insert(self.clock, block);
        if self.used.len() > self.limit {
            self.evict();
        }
    }

    /// Events from this number on that are older than `lag`; every `gap`th is lost.
    pub fn events(&self, from: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let known = self.events.iter();
        known
            .filter(|(at, event)| event.seq >= from && at.elapsed() >= lag)
            .filter(|(_, event)| gap == 0 || event.seq % gap != 0)
            .map(|(_, event)| *event)
            .collect()
    }

    fn evict(&mut self) {
        if let Some((_, block)) = self.by_use.pop_first() {
            self.used.remove(&block);
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
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}

/// Hashes of a prompt's whole blocks, each standing for all of the prompt up to its end.
pub fn blocks(messages: &[Message]) -> Vec<BlockHash> {
    let mut text = Vec::new();
    for message in messages {
        text.extend_from_slice(message.content.as_bytes());
    }
    let mut before = 0;
    let whole = text.chunks_exact(BLOCK_BYTES);
    whole
        .map(|block| {
            before = xxh3_64_with_seed(block, before);
            before
        })
        .collect()
}
