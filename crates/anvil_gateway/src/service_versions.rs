//! Software versions of the endpoints of each service, as the platform's lists name them.
//! [`anvil_policy::version_history`] decides what is known of the time before now.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::version_history::VersionHistory;
use anvil_wire::msg::{ListedEndpoint, ListedVersions};
use anvil_world::prelude::*;
use anvilreel::event;

use crate::gateway::Gateway;
use crate::log_events as events;

/// For how long a version is remembered after the list has dropped it: longer than a stream lasts.
const VERSION_RETENTION: Duration = Duration::from_mins(10);

/// Age up to which a list counts as current, as a multiple of the age at which it is read again.
const MAX_LIST_AGES: u32 = 2;

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
type VersionsByService<'a> = BTreeMap<&'a ServiceId, BTreeSet<&'a SoftwareVersion>>;

fn versions_by_service(listed: &[ListedEndpoint]) -> VersionsByService<'_> {
    let mut versions = VersionsByService::new();
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
        let versions = versions_by_service(listed);
        let mut have_changed = false;
        let mut histories = self.service_versions.histories();
        for service in versions.keys() {
            histories.entry((*service).clone()).or_default();
        }
        for (service, history) in histories.iter_mut() {
            let listed = versions.get(service).into_iter().flatten().copied();
            let before: BTreeSet<_> = history.listed_now().cloned().collect();
            history.record(now, listed, VERSION_RETENTION);
            let after: BTreeSet<_> = history.listed_now().cloned().collect();
            if after != before && history.is_mixed(now, VERSION_RETENTION) {
                have_changed = true;
                event!(
                    self.log, events::GATEWAY_SERVICE_VERSIONS, "service" => &**service,
                    "versions" => format!("{after:?}"), "before" => format!("{before:?}")
                );
            }
        }
        drop(histories);
        if have_changed {
            self.update_origin_holders();
        }
    }

    /// The versions of a service that lists named within `span` before now.
    pub fn versions_within(&self, service: &str, span: Duration) -> ListedVersions {
        let histories = self.service_versions.histories();
        let Some(history) = histories.get(service) else {
            return ListedVersions {
                all: BTreeSet::new(),
                settled: None,
            };
        };
        let now = self.lifecycle.now();
        let settled = history.settled_within(now, span, self.settling_time());
        ListedVersions {
            all: history.listed_within(now, span).cloned().collect(),
            settled: settled.map(|versions| versions.cloned().collect()),
        }
    }

    /// Time in which all gateways have listed a new version.
    fn settling_time(&self) -> Duration {
        self.cfg.max_list_age * MAX_LIST_AGES
    }

    /// Whether this gateway's list is no older than any gateway's should be.
    pub fn is_list_current(&self) -> bool {
        self.list_cache.age() <= self.settling_time()
    }

    /// The versions of a service that other gateways may not have listed yet.
    pub fn new_versions(&self, service: &str) -> Vec<SoftwareVersion> {
        let histories = self.service_versions.histories();
        let (now, settling) = (self.lifecycle.now(), self.settling_time());
        let history = histories.get(service).into_iter();
        let new = history.flat_map(|history| {
            let listed = history.listed_now();
            listed.filter(move |version| history.is_new(now, version, settling))
        });
        new.cloned().collect()
    }

    /// Whether a service had more than one version within `span` before now.
    pub fn is_mixed(&self, service: &str, span: Duration) -> bool {
        let histories = self.service_versions.histories();
        let history = histories.get(service);
        history.is_some_and(|history| history.is_mixed(self.lifecycle.now(), span))
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
