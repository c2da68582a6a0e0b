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
