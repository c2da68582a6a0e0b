//! Software versions at which streams run, as reported by routers.
//!
//! Routers keep these in memory. When all of them are killed, this record tells at which version a
//! stream that its client takes up goes on. A stream that is not recorded is refused while its service
//! had several versions, so it may be evicted at any time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::RecordOrigins;
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum number of streams. Beyond it, those that expire first are evicted.
const MAX_STREAMS: usize = 20_000;
/// Longest time for which a stream is kept.
const MAX_KEEP: Duration = Duration::from_mins(10);

/// Origins by stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigins {
    /// The latest time in any report so far. Leaders' clocks differ; this never falls.
    clock: SystemTime,
    all: BTreeMap<u128, Origin>,
    by_expiry: BTreeSet<(SystemTime, u128)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Origin {
    service: ServiceId,
    version: SoftwareVersion,
    expires: SystemTime,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            clock: UNIX_EPOCH,
            all: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }
}

impl StreamOrigins {
    /// Records where streams began.
    pub fn record(&mut self, report: &RecordOrigins) {
        self.clock = self.clock.max(report.at);
        for group in &report.groups {
            let expires = self.clock + group.keep.min(MAX_KEEP);
            for key in &group.streams {
                let origin = Origin {
                    service: group.service.clone(),
                    version: group.version.clone(),
                    expires,
                };
                self.insert(*key, origin);
            }
        }
        while let Some(key) = self.next_to_evict() {
            self.remove(key);
        }
    }

    /// The service and the version at which a stream began.
    pub fn get(&self, key: u128) -> Option<(&ServiceId, &SoftwareVersion)> {
        let origin = self.all.get(&key)?;
        Some((&origin.service, &origin.version))
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    fn insert(&mut self, key: u128, origin: Origin) {
        self.remove(key);
        self.by_expiry.insert((origin.expires, key));
        self.all.insert(key, origin);
    }

    fn remove(&mut self, key: u128) {
        if let Some(origin) = self.all.remove(&key) {
            self.by_expiry.remove(&(origin.expires, key));
        }
    }

    fn next_to_evict(&self) -> Option<u128> {
        let (expires, key) = self.by_expiry.first()?;
        (*expires <= self.clock || self.all.len() > MAX_STREAMS).then_some(*key)
    }
}
