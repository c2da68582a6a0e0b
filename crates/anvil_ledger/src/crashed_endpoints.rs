//! Which service the endpoints belong to that crashed under suspect contents.
//!
//! The digest of a whole request doesn't name its service, and what it shares with others, which does,
//! is not suspect if sound requests with it are answered. An operator's order for all quarantines of a
//! service would leave such requests out. So routers name the service of a crashed endpoint by clearing the
//! content that stands for it, which earlier builds apply without effect.
//!
//! Replicas may differ in it, because previous builds don't keep it: only the leader uses it, to fill in
//! the contents of an order. Applying a command must not depend on it.

use std::collections::{BTreeMap, BTreeSet};

use anvil_world::command::{ClearSuspects, ReportCrash};
use anvil_world::content::{self, ServiceDigest};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum number of endpoints: those of the largest fleet. Above it, endpoints without a suspect content are
/// removed.
const MAX_ENDPOINTS: usize = 8_192;

/// Services by crashed endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedEndpoints {
    /// By the endpoint's id in digests; `None` while its service is not known.
    services: BTreeMap<u64, Option<ServiceDigest>>,
}

impl CrashedEndpoints {
    /// Records that an endpoint crashed.
    pub fn record(&mut self, report: &ReportCrash) {
        let endpoint = content::endpoint_id(&report.endpoint);
        self.services.entry(endpoint).or_default();
    }

    /// Records the services of crashed endpoints.
    pub fn record_services(&mut self, clear: &ClearSuspects) {
        for content in &clear.contents {
            if let Some((service, endpoint)) = content::service_and_id(*content)
                && let Some(known) = self.services.get_mut(&endpoint)
            {
                *known = Some(service);
            }
        }
    }

    /// Above the maximum, removes the endpoints that `suspected` does not name.
    pub fn evict_excess(&mut self, suspected: impl FnOnce() -> BTreeSet<InstanceId>) {
        if self.services.len() > MAX_ENDPOINTS {
            let suspected = suspected();
            let kept: BTreeSet<_> = suspected
                .iter()
                .map(|id| content::endpoint_id(id))
                .collect();
            self.services.retain(|endpoint, _| kept.contains(endpoint));
        }
    }

    /// Whether an endpoint that crashed belongs to this service.
    pub fn is_at(&self, endpoint: &str, service: ServiceDigest) -> bool {
        let endpoint = content::endpoint_id(endpoint);
        self.services.get(&endpoint) == Some(&Some(service))
    }
}
