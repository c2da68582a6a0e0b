//! Software versions of the endpoints of each service, as the platform's lists name them.
//! [`anvil_policy::version_history`] decides what is known of the time before now.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::version_history::{ListedWithin, VersionHistory};
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvilreel::event;
use arc_swap::ArcSwapOption;
use tokio::sync::Notify;

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
    /// What the ledger has recorded; `None` until that is known.
    pub(crate) recorded: ArcSwapOption<RecordedVersions>,
    /// Wakes the task that reports to the ledger.
    pub(crate) report_wanted: Notify,
}

impl ServiceVersions {
    pub(crate) fn histories(&self) -> MutexGuard<'_, BTreeMap<ServiceId, VersionHistory>> {
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
        self.service_versions.report_wanted.notify_one();
        if have_changed {
            self.update_origin_holders();
        }
    }

    /// Applies the versions that the ledger has recorded; `None` if it has sent none.
    pub fn apply_ledger_versions(&self, recorded: Option<&RecordedVersions>) {
        let previous = self.service_versions.recorded.load();
        if recorded.is_none() || previous.as_deref() == recorded {
            return;
        }
        let recorded = recorded.cloned().map(Arc::new);
        self.service_versions.recorded.store(recorded);
        self.service_versions.report_wanted.notify_one();
        self.update_origin_holders();
    }

    /// The versions of a service that the ledger has recorded, without those that are new by this
    /// gateway's lists; `None` if it has recorded none, or that is not known.
    pub fn recorded_versions(&self, service: &str) -> Option<BTreeSet<SoftwareVersion>> {
        let recorded = self.service_versions.recorded.load();
        let mut versions = recorded.as_ref()?.of(service)?.clone();
        for new in self.new_versions(service) {
            versions.remove(&new);
        }
        Some(versions)
    }

    /// Whether this gateway has had a list.
    pub fn has_listed_versions(&self) -> bool {
        !self.service_versions.histories().is_empty()
    }

    /// The versions of a service that lists named within `span` before now.
    pub fn versions_within(&self, service: &str, span: Duration) -> ListedWithin {
        let histories = self.service_versions.histories();
        let Some(history) = histories.get(service) else {
            return ListedWithin::default();
        };
        let now = self.lifecycle.now();
        let settled = history.settled_within(now, span, self.settling_time());
        ListedWithin {
            all: history.listed_within(now, span).cloned().collect(),
            settled: settled.map(|versions| versions.cloned().collect()),
            is_covering: history.covers(now, span),
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

    /// Whether a service had more than one version within `span` before now, or others may take it for
    /// one that had.
    pub fn is_mixed(&self, service: &str, span: Duration) -> bool {
        let histories = self.service_versions.histories();
        let history = histories.get(service);
        let is_listed = history.is_some_and(|history| history.is_mixed(self.lifecycle.now(), span));
        is_listed || self.is_recorded_mixed(service)
    }

    /// Whether the ledger has recorded more than one version of a service.
    fn is_recorded_mixed(&self, service: &str) -> bool {
        let recorded = self.service_versions.recorded.load();
        let recorded = recorded.as_ref().and_then(|recorded| recorded.of(service));
        recorded.is_some_and(|versions| versions.len() > 1)
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
