//! Which endpoints a router watches.
//!
//! *Answers:* 520 routers before 7,100 endpoints. Were each to watch all, every sidecar would
//! report to hundreds of routers, and every router would keep thousands of streams.
//!
//! *Without it:* control traffic grows with routers times endpoints, beyond the 4 KB a second
//! that a node may spend on control.
//!
//! *How:* for each router the endpoints are ranked by rendezvous hashing, those of the own
//! availability zone first, and the best few are watched. When an endpoint or router comes or
//! goes, only its own place changes. Some are always taken from other zones of the region, so
//! that a lost zone leaves a router with work to give.

use std::collections::BTreeSet;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many endpoints a router watches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubsetRule {
    /// Of its own availability zone.
    pub near: usize,
    /// Of each other zone of its region.
    pub each_zone: usize,
    /// Of other regions, in all.
    pub other_regions: usize,
}

impl Default for SubsetRule {
    fn default() -> Self {
        Self {
            near: 48,
            each_zone: 12,
            other_regions: 8,
        }
    }
}

impl SubsetRule {
    /// The endpoints that `router` watches, out of all of one pool.
    pub fn watched<'a>(
        &self,
        router: &str,
        home: &Zone,
        all: impl Iterator<Item = (&'a InstanceId, &'a Zone)>,
    ) -> BTreeSet<InstanceId> {
        let mut groups = std::collections::BTreeMap::<Group, Vec<(u64, &InstanceId)>>::new();
        for (id, zone) in all {
            let ranked = groups.entry(Group::of(home, zone)).or_default();
            ranked.push((rank(router, id), id));
        }
        let mut watched = BTreeSet::new();
        for (group, mut ranked) in groups {
            let most = self.most(&group);
            ranked.sort_unstable();
            watched.extend(ranked.into_iter().take(most).map(|(_, id)| id.clone()));
        }
        watched
    }

    fn most(&self, group: &Group) -> usize {
        match group {
            Group::Near => self.near,
            Group::Zone(_) => self.each_zone,
            Group::Far => self.other_regions,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Near,
    Zone(ZoneId),
    Far,
}

impl Group {
    fn of(home: &Zone, zone: &Zone) -> Self {
        if zone == home {
            Self::Near
        } else if zone.region == home.region {
            Self::Zone(zone.id.clone())
        } else {
            Self::Far
        }
    }
}

fn rank(router: &str, endpoint: &str) -> u64 {
    let seed = xxh3_64_with_seed(router.as_bytes(), 0);
    xxh3_64_with_seed(endpoint.as_bytes(), seed)
}
