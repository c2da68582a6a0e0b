//! Software versions that the ledger records for each service.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceId, SoftwareVersion};

/// Maximum number of services; others are not recorded.
const MAX_SERVICES: usize = 1_024;
/// Maximum number of versions of one service; others are not recorded.
const MAX_VERSIONS: usize = 64;

/// Versions of each service's endpoints that were listed lately, for as long as streams that began at
/// them may go on.
///
/// It has no times: clocks differ and are set. A version is removed when a router whose own lists reach
/// back far enough reports that it was not listed any more.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordedVersions(BTreeMap<ServiceId, BTreeSet<SoftwareVersion>>);

impl RecordedVersions {
    /// The versions of a service; `None` if nothing was recorded of it.
    pub fn of(&self, service: &str) -> Option<&BTreeSet<SoftwareVersion>> {
        self.0.get(service)
    }

    /// All versions by service.
    pub fn all(&self) -> &BTreeMap<ServiceId, BTreeSet<SoftwareVersion>> {
        &self.0
    }

    /// Records versions that were listed.
    pub fn add(&mut self, service: &ServiceId, listed: &BTreeSet<SoftwareVersion>) {
        if self.0.len() >= MAX_SERVICES && !self.0.contains_key(service) {
            return;
        }
        let versions = self.0.entry(service.clone()).or_default();
        for version in listed {
            if versions.len() < MAX_VERSIONS {
                versions.insert(version.clone());
            }
        }
    }

    /// Removes versions whose streams have ended. The last version of a service stays.
    pub fn remove(&mut self, service: &str, ended: &BTreeSet<SoftwareVersion>) {
        let Some(versions) = self.0.get_mut(service) else {
            return;
        };
        let left: BTreeSet<_> = versions.difference(ended).cloned().collect();
        if !left.is_empty() {
            *versions = left;
        }
    }
}
