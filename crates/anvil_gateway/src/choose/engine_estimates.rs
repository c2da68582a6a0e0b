//! What this gateway has learned of the engines of each service. [`anvil_policy::engine`] decides
//! what a response says about speed and sizes.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::engine::EngineRule;
use anvil_policy::engine::memory::RequestSizes;
use anvil_policy::engine::speed::ServiceSpeed;
use anvil_world::prelude::*;

/// What was learned of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceEstimate {
    /// How fast its engines work.
    pub speed: ServiceSpeed,
    /// How large its requests are.
    pub sizes: RequestSizes,
}

/// What was learned, by service.
#[derive(Default)]
pub struct EngineEstimates {
    /// What is assumed of engines before any response.
    pub prior: EngineRule,
    services: Mutex<BTreeMap<ServiceId, ServiceEstimate>>,
}

impl EngineEstimates {
    /// What was learned of a service.
    pub fn of(&self, service: &str) -> ServiceEstimate {
        self.services().get(service).copied().unwrap_or_default()
    }

    /// Network round trip to an engine in another availability zone.
    pub fn other_zone_round_trip(&self) -> Duration {
        self.prior.other_zone_round_trip
    }

    /// Updates what was learned of a service.
    pub fn update<T>(&self, service: &ServiceId, f: impl FnOnce(&mut ServiceEstimate) -> T) -> T {
        f(self.services().entry(service.clone()).or_default())
    }

    fn services(&self) -> MutexGuard<'_, BTreeMap<ServiceId, ServiceEstimate>> {
        // Sound after a panic elsewhere: each number is valid by itself.
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
