//! Bounded subset of the endpoints that a router watches.
//!
//! *Load pattern:* 520 routers and 7,100 endpoints. If each router watched all endpoints, every
//! sidecar would report to hundreds of routers, and every router would keep thousands of streams.
//!
//! *Without it:* control traffic grows with routers times endpoints, beyond the 4 KB a second that
//! an instance may spend on control.
//!
//! *Mechanism:* each router ranks the endpoints by rendezvous hashing, separately for its own
//! availability zone, for each other zone of its region, and for other regions, and watches the
//! best few of each. When an endpoint or router comes or goes, only its own entries change. Some
//! endpoints always come from other zones of the region, so that a router can still send work when
//! its zone is lost.
//!
//! *Thresholds:* the numbers of endpoints are fixed, so that the control traffic of a router does
//! not grow with the fleet.

use std::collections::BTreeSet;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of endpoints that a router watches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubsetRule {
    /// In its own availability zone.
    pub own_zone: usize,
    /// In each other zone of its region.
    pub per_other_zone: usize,
    /// In all other regions together.
    pub other_regions: usize,
}

impl Default for SubsetRule {
    fn default() -> Self {
        Self {
            own_zone: 48,
            per_other_zone: 12,
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
            let max_in_group = self.max_in_group(&group);
            ranked.sort_unstable();
            watched.extend(
                ranked
                    .into_iter()
                    .take(max_in_group)
                    .map(|(_, id)| id.clone()),
            );
        }
        watched
    }

    fn max_in_group(&self, group: &Group) -> usize {
        match group {
            Group::OwnZone => self.own_zone,
            Group::OtherZone(_) => self.per_other_zone,
            Group::OtherRegion => self.other_regions,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    OwnZone,
    OtherZone(ZoneId),
    OtherRegion,
}

impl Group {
    fn of(home: &Zone, zone: &Zone) -> Self {
        if zone == home {
            Self::OwnZone
        } else if zone.region == home.region {
            Self::OtherZone(zone.id.clone())
        } else {
            Self::OtherRegion
        }
    }
}

fn rank(router: &str, endpoint: &str) -> u64 {
    let seed = xxh3_64_with_seed(router.as_bytes(), 0);
    xxh3_64_with_seed(endpoint.as_bytes(), seed)
}
