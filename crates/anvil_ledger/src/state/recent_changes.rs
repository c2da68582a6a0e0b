//! The most recent changes by version, so that a follower is sent only what it lacks.

use std::collections::{BTreeMap, BTreeSet};

use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

/// Number of versions recorded. A follower that is further behind gets everything: at 11,000
/// changes and 2,200 joins a day this is more than seven hours.
const MAX_RECORDED: usize = 4_096;

/// Something that followers hold a copy of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ChangedItem {
    /// A document.
    Document(TreePath),
    /// An instance.
    Member(InstanceId),
    /// A fenced router.
    Fence(InstanceId),
    /// A request during which endpoints crashed.
    Suspect(ContentDigest),
    /// A limit that an endpoint announced.
    Limit(InstanceId),
}

/// The most recent changes by version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RecentChanges {
    /// The newest version that is no longer recorded.
    forgotten: LogIndex,
    recent: BTreeMap<LogIndex, BTreeSet<ChangedItem>>,
}

impl RecentChanges {
    pub(super) fn record_at(&mut self, index: LogIndex, changed_item: ChangedItem) {
        self.record_version(index);
        self.recent.entry(index).or_default().insert(changed_item);
    }

    /// Records a version without an item: what changed is part of every event for followers. The
    /// previous build reads this, but could not read a new kind of item.
    pub(super) fn record_version(&mut self, index: LogIndex) {
        self.recent.entry(index).or_default();
        if self.recent.len() > MAX_RECORDED
            && let Some((oldest, _)) = self.recent.pop_first()
        {
            self.forgotten = oldest;
        }
    }

    pub(super) fn version(&self) -> LogIndex {
        let newest = self.recent.last_key_value();
        newest.map_or(self.forgotten, |(index, _)| *index)
    }

    pub(super) fn since(&self, version: LogIndex) -> Option<BTreeSet<ChangedItem>> {
        if version < self.forgotten {
            return None;
        }
        let newer = self.recent.range(version + 1..);
        Some(
            newer
                .flat_map(|(_, changed_items)| changed_items)
                .cloned()
                .collect(),
        )
    }
}
