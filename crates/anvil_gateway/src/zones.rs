//! Availability zones that operators have evacuated: their endpoints receive no new requests.
//!
//! The orders arrive with the routing table, in the same event of the ledger. A gateway that has
//! just started serves only once it has a routing table, so it also knows the evacuated zones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvil_world::prelude::*;
use anvilreel::event;
use slog::Logger;

use crate::gateway::Gateway;
use crate::log_events as events;

impl Gateway {
    /// Applies the zones' documents. Returns the zones whose evacuation has ended.
    pub fn apply_zone_documents(&self, tree: &BTreeMap<TreePath, TreeEntry>) -> BTreeSet<ZoneId> {
        let evacuated = evacuated_zones(tree, &self.log);
        let previous = self.directory.evacuated_zones();
        if *previous == evacuated {
            return BTreeSet::new();
        }
        for (_, zone, entry) in zone_documents(tree) {
            if evacuated.contains(zone) != previous.contains(zone) {
                event!(
                    self.log, events::GATEWAY_ZONE_ORDER, "zone" => &**zone,
                    "evacuated" => evacuated.contains(zone), "operator" => &*entry.operator,
                    "revision" => entry.revision
                );
            }
        }
        let ended = previous.difference(&evacuated).cloned().collect();
        self.directory.set_evacuated_zones(Arc::new(evacuated));
        self.state_changed.notify_waiters();
        ended
    }
}

/// The documents of zones, with their paths and zones.
fn zone_documents(
    tree: &BTreeMap<TreePath, TreeEntry>,
) -> impl Iterator<Item = (&TreePath, &ZoneId, &TreeEntry)> {
    tree.iter().filter_map(|(path, entry)| match path {
        TreePath::Zone(zone) => Some((path, zone, entry)),
        _ => None,
    })
}

/// A zone whose document can't be read counts as evacuated: requests that go elsewhere are served,
/// and those sent to endpoints that are about to be switched off are lost.
fn evacuated_zones(tree: &BTreeMap<TreePath, TreeEntry>, log: &Logger) -> BTreeSet<ZoneId> {
    let mut evacuated = BTreeSet::new();
    for (path, zone, entry) in zone_documents(tree) {
        let is_evacuated = match Document::check(path, &entry.text) {
            Ok(Document::Zone(document)) => document.evacuated,
            Ok(_) => true,
            Err(e) => {
                event!(
                    log, events::GATEWAY_ZONE_UNREADABLE, "zone" => &**zone, "error" => e.to_string()
                );
                true
            }
        };
        if is_evacuated {
            evacuated.insert(zone.clone());
        }
    }
    evacuated
}
