//! The prefix cache of a fake endpoint; the least recently used prefix is evicted first.

use std::collections::BTreeMap;

use anvil_policy::prefix::{CacheChange, PrefixHash};
use anvil_world::prelude::*;

/// The cached prefixes, limited by their total tokens.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    max_tokens: Tokens,
    tokens: Tokens,
    clock: u64,
    entries: BTreeMap<PrefixHash, (u64, Tokens)>,
}

impl PrefixCache {
    /// An empty cache of this capacity.
    pub fn new(max_tokens: Tokens) -> Self {
        Self {
            max_tokens,
            ..Self::default()
        }
    }

    /// Looks a prefix up, and adds it when it is missing. Returns whether it was cached and the
    /// changes of the cache.
    pub fn touch(&mut self, prefix: PrefixHash, tokens: Tokens) -> (bool, Vec<CacheChange>) {
        self.clock += 1;
        if let Some((last_use, _)) = self.entries.get_mut(&prefix) {
            *last_use = self.clock;
            return (true, Vec::new());
        }
        let mut changes = vec![CacheChange::Added(prefix)];
        self.entries.insert(prefix, (self.clock, tokens));
        self.tokens += tokens;
        while self.tokens > self.max_tokens && self.entries.len() > 1 {
            changes.extend(self.evict());
        }
        (false, changes)
    }

    /// Removes all prefixes.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.tokens = 0;
    }

    fn evict(&mut self) -> Option<CacheChange> {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, (last_use, _))| *last_use);
        let prefix = oldest.map(|(prefix, _)| *prefix)?;
        let (_, tokens) = self.entries.remove(&prefix)?;
        self.tokens -= tokens;
        Some(CacheChange::Removed(prefix))
    }
}
