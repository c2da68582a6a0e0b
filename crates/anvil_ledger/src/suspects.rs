//! Contents of requests during which endpoints crashed, from the reports of all routers.
//!
//! A request may crash each endpoint that begins to run it, while its retries arrive at one router
//! after another. Each router alone knows of one crash or two, and a restarted router of none, so
//! without a common record all of them would dispatch it again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

use anvil_world::command::{ClearSuspects, ReportCrash};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum number of recorded contents: enough for those of a zone that is lost at once.
const MAX_SUSPECTS: usize = 16_384;
/// Number of contents that are evicted together when the maximum is exceeded.
const EVICTION_BATCH: usize = 4_096;
/// Minimum weight of a content that is announced to routers: more than one crash. A first crash is
/// weak evidence, and there are many of those.
const MIN_ANNOUNCED_WEIGHT: u32 = 3;

/// Suspected contents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// The latest time in any report so far. Leaders' clocks differ; this never falls.
    clock: SystemTime,
    all: BTreeMap<ContentDigest, SuspectContent>,
}

/// What an operator's order lifts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Lifted {
    /// Contents whose records are removed.
    pub contents: BTreeSet<ContentDigest>,
    /// Contents whose announcement changed.
    pub changed: BTreeSet<ContentDigest>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            clock: UNIX_EPOCH,
            all: BTreeMap::new(),
        }
    }
}

impl Suspects {
    /// Records a crash. Returns the contents whose announcement changed.
    pub fn report(&mut self, report: &ReportCrash) -> BTreeSet<ContentDigest> {
        self.clock = self.clock.max(report.at);
        let mut changed = self.expire();
        for (content, run) in &report.contents {
            let new = || SuspectContent::new(self.clock);
            let suspect = self.all.entry(*content).or_insert_with(new);
            if suspect.record_crash(&report.endpoint, *run, self.clock) && is_announced(suspect) {
                changed.insert(*content);
            }
        }
        changed.append(&mut self.evict_excess());
        changed
    }

    /// Removes contents that endpoints have answered. Returns those whose announcement changed.
    pub fn clear(&mut self, clear: &ClearSuspects) -> BTreeSet<ContentDigest> {
        let cleared = clear.contents.iter().copied();
        self.remove(cleared.collect())
    }

    /// Removes the records that an operator's order names, so that their contents are blamed from the
    /// beginning if endpoints crash under them again.
    ///
    /// Contents that were in flight at the same crashes are blamed together, or one of them explains the
    /// crashes of another. If only the named record were removed, the others would be blamed for its
    /// crashes, and requests that share less with the crashing one would be refused. So its crashes are
    /// removed from all other records.
    pub fn lift(&mut self, named: &[ContentDigest]) -> Lifted {
        let known = named.iter().copied();
        let contents: BTreeSet<_> = known.filter(|c| self.all.contains_key(c)).collect();
        let is_announced_before: BTreeSet<_> =
            self.announced().map(|(content, _)| content).collect();
        let removed = contents
            .iter()
            .filter_map(|content| self.all.remove(content));
        let removed: Vec<_> = removed.collect();
        let mut changed = contents.clone();
        self.all.retain(|content, suspect| {
            for other in &removed {
                if suspect.remove_crashes_of(other) {
                    changed.insert(*content);
                }
            }
            !suspect.crashes.is_empty()
        });
        changed.retain(|content| is_announced_before.contains(content));
        Lifted { contents, changed }
    }

    /// The record of a content, if it is announced to routers.
    pub fn get(&self, content: ContentDigest) -> Option<&SuspectContent> {
        self.all
            .get(&content)
            .filter(|suspect| is_announced(suspect))
    }

    /// All records that are announced to routers.
    pub fn announced(&self) -> impl Iterator<Item = (ContentDigest, &SuspectContent)> {
        let all = self
            .all
            .iter()
            .map(|(content, suspect)| (*content, suspect));
        all.filter(|(_, suspect)| is_announced(suspect))
    }

    /// All records.
    pub fn all(&self) -> &BTreeMap<ContentDigest, SuspectContent> {
        &self.all
    }

    fn expire(&mut self) -> BTreeSet<ContentDigest> {
        let all = self.all.iter();
        let over = all.filter(|(_, suspect)| suspect.is_expired(self.clock));
        let over = over.map(|(content, _)| *content).collect();
        self.remove(over)
    }

    /// Above the maximum, evicts the contents with the lowest weight, the oldest first.
    fn evict_excess(&mut self) -> BTreeSet<ContentDigest> {
        if self.all.len() <= MAX_SUSPECTS {
            return BTreeSet::new();
        }
        let weight = |suspect: &SuspectContent| (suspect.weight(), suspect.since);
        let all = self.all.iter();
        let mut ranked: Vec<_> = all
            .map(|(content, suspect)| (weight(suspect), *content))
            .collect();
        ranked.sort_unstable();
        let least = ranked.into_iter().take(EVICTION_BATCH);
        self.remove(least.map(|(_, content)| content).collect())
    }

    fn remove(&mut self, contents: Vec<ContentDigest>) -> BTreeSet<ContentDigest> {
        let removed = contents.into_iter().filter_map(|content| {
            let suspect = self.all.remove(&content)?;
            is_announced(&suspect).then_some(content)
        });
        removed.collect()
    }
}

fn is_announced(suspect: &SuspectContent) -> bool {
    suspect.weight() >= MIN_ANNOUNCED_WEIGHT
}
