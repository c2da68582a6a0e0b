//! Requests under which endpoints crashed, as all routers together saw it.
//!
//! Failure: a request crashes each endpoint that begins to run it, and comes again at one router after the other.
//! Each router knows of one crash or two, and a router that starts anew of none, so all of them send it on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

use anvil_world::command::{ClearSuspects, ReportCrash};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

/// Requests that are remembered: those of a zone that is lost at once fit in.
const REMEMBERED: usize = 16_384;
/// Requests that are forgotten together, when there are too many.
const FORGOTTEN_AT_ONCE: usize = 4_096;
/// Weight from which on routers are told of a request: more than one crash. The first one says little, and there
/// are many of those.
const TOLD_FROM: u32 = 3;

/// Suspected requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// The latest time that a report came with. Leaders' clocks differ; this never falls.
    clock: SystemTime,
    all: BTreeMap<RequestDigest, Suspect>,
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
    /// An endpoint crashed. Returns the requests of which routers have to be told anew.
    pub fn report(&mut self, report: &ReportCrash) -> BTreeSet<RequestDigest> {
        self.clock = self.clock.max(report.at);
        let mut changed = self.forget();
        for (request, run) in &report.requests {
            let new = || Suspect::new(self.clock);
            let suspect = self.all.entry(*request).or_insert_with(new);
            if suspect.crashed(&report.endpoint, *run, self.clock) && is_told(suspect) {
                changed.insert(*request);
            }
        }
        changed.append(&mut self.bound());
        changed
    }

    /// Endpoints have answered requests. Returns those of which routers have to be told anew.
    pub fn clear(&mut self, clear: &ClearSuspects) -> BTreeSet<RequestDigest> {
        let cleared = clear.requests.iter().copied();
        self.remove(cleared.collect())
    }

    /// What routers are told of a request.
    pub fn get(&self, request: RequestDigest) -> Option<&Suspect> {
        self.all.get(&request).filter(|suspect| is_told(suspect))
    }

    /// All that routers are told.
    pub fn told(&self) -> impl Iterator<Item = (RequestDigest, &Suspect)> {
        let all = self
            .all
            .iter()
            .map(|(request, suspect)| (*request, suspect));
        all.filter(|(_, suspect)| is_told(suspect))
    }

    fn forget(&mut self) -> BTreeSet<RequestDigest> {
        let all = self.all.iter();
        let over = all.filter(|(_, suspect)| suspect.is_over(self.clock));
        let over = over.map(|(request, _)| *request).collect();
        self.remove(over)
    }

    /// Forgets those against which least speaks, the oldest ones first, when there are too many.
    fn bound(&mut self) -> BTreeSet<RequestDigest> {
        if self.all.len() <= REMEMBERED {
            return BTreeSet::new();
        }
        let weight = |suspect: &Suspect| (suspect.weight(), suspect.since);
        let all = self.all.iter();
        let mut ranked: Vec<_> = all
            .map(|(request, suspect)| (weight(suspect), *request))
            .collect();
        ranked.sort_unstable();
        let least = ranked.into_iter().take(FORGOTTEN_AT_ONCE);
        self.remove(least.map(|(_, request)| request).collect())
    }

    fn remove(&mut self, requests: Vec<RequestDigest>) -> BTreeSet<RequestDigest> {
        let removed = requests.into_iter().filter_map(|request| {
            let suspect = self.all.remove(&request)?;
            is_told(&suspect).then_some(request)
        });
        removed.collect()
    }
}

fn is_told(suspect: &Suspect) -> bool {
    suspect.weight() >= TOLD_FROM
}
