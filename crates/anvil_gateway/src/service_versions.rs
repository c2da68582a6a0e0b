//! Software versions of the endpoints of each service, as the platform's lists name them.
//! [`anvil_policy::version_history`] decides what is known of the time before now.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::version_history::VersionHistory;
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvilreel::event;

use crate::gateway::Gateway;
use crate::log_events as events;

/// Maximum time between two lists, as a multiple of the age at which a list is read again: a version
/// that serves for less is not expected.
const MAX_LIST_GAP: u32 = 2;
/// For how long a version is remembered after the list has dropped it: as long as a route's timeout
/// may reasonably be.
const VERSION_RETENTION: Duration = Duration::from_mins(10);

/// Histories by service.
#[derive(Default)]
pub struct ServiceVersions {
    histories: Mutex<BTreeMap<ServiceId, VersionHistory>>,
}

impl ServiceVersions {
    fn histories(&self) -> MutexGuard<'_, BTreeMap<ServiceId, VersionHistory>> {
        // Sound after a panic elsewhere: each history is valid by itself.
        self.histories
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Versions by service, as one list names them.
type ListedVersions<'a> = BTreeMap<&'a ServiceId, BTreeSet<&'a SoftwareVersion>>;

fn versions_by_service(listed: &[ListedEndpoint]) -> ListedVersions<'_> {
    let mut versions = ListedVersions::new();
    for endpoint in listed {
        let of_service = versions.entry(&endpoint.service).or_default();
        of_service.insert(&endpoint.version);
    }
    versions
}

impl Gateway {
    /// Records the versions in a list of endpoints that has just become the newest one.
    pub fn record_listed_versions(&self, listed: &[ListedEndpoint]) {
        let now = self.lifecycle.now();
        let max_gap = self.cfg.max_list_age * MAX_LIST_GAP;
        let versions = versions_by_service(listed);
        let mut histories = self.service_versions.histories();
        for service in versions.keys() {
            histories.entry((*service).clone()).or_default();
        }
        for (service, history) in histories.iter_mut() {
            let listed = versions.get(service).into_iter().flatten().copied();
            let before: BTreeSet<_> = history.listed_now().cloned().collect();
            history.record(now, listed, max_gap, VERSION_RETENTION);
            let after: BTreeSet<_> = history.listed_now().cloned().collect();
            if after != before && (after.len() > 1 || before.len() > 1) {
                event!(
                    self.log, events::GATEWAY_SERVICE_VERSIONS, "service" => &**service,
                    "versions" => format!("{after:?}"), "before" => format!("{before:?}")
                );
            }
        }
    }

    /// Number of services whose endpoints run more than one software version now.
    pub fn count_mixed_services(&self) -> u64 {
        let histories = self.service_versions.histories();
        let mixed = histories
            .values()
            .filter(|history| history.listed_now().nth(1).is_some());
        mixed.count() as u64
    }
}
