//! The prefix cache of a fake endpoint: least recently used goes first.

use std::collections::BTreeMap;

use anvil_policy::prefix::{CacheChange, PrefixHash};
use anvil_world::prelude::*;

/// Prefixes held, bounded by their tokens in all.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    most_tokens: Tokens,
    tokens: Tokens,
    used: u64,
    held: BTreeMap<PrefixHash, (u64, Tokens)>,
}

impl PrefixCache {
    /// An empty cache of this size.
    pub fn new(most_tokens: Tokens) -> Self {
        Self {
            most_tokens,
            ..Self::default()
        }
    }

    /// Looks a prefix up, takes it in when it is missing, and says what changed. The first
    /// value is whether it was held.
    pub fn touch(&mut self, prefix: PrefixHash, tokens: Tokens) -> (bool, Vec<CacheChange>) {
        self.used += 1;
        if let Some((used, _)) = self.held.get_mut(&prefix) {
            *used = self.used;
            return (true, Vec::new());
        }
        let mut changes = vec![CacheChange::Added(prefix)];
        self.held.insert(prefix, (self.used, tokens));
        self.tokens += tokens;
        while self.tokens > self.most_tokens && self.held.len() > 1 {
            changes.extend(self.evict());
        }
        (false, changes)
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.held.clear();
        self.tokens = 0;
    }

    fn evict(&mut self) -> Option<CacheChange> {
        let oldest = self.held.iter().min_by_key(|(_, (used, _))| *used);
        let prefix = oldest.map(|(prefix, _)| *prefix)?;
        let (_, tokens) = self.held.remove(&prefix)?;
        self.tokens -= tokens;
        Some(CacheChange::Removed(prefix))
    }
}
