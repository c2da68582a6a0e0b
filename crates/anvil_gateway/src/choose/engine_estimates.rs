//! What this gateway has learned of the engines of each service. [`anvil_policy::engine::speed`]
//! decides what a first event says about speed.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::engine::EngineRule;
use anvil_policy::engine::speed::ServiceSpeed;
use anvil_world::prelude::*;

/// Learned speeds by service.
#[derive(Default)]
pub struct EngineEstimates {
    /// What is assumed before any response.
    prior: EngineRule,
    speeds: Mutex<BTreeMap<ServiceId, ServiceSpeed>>,
}

impl EngineEstimates {
    /// The rule for the engines of a service, with what was learned of them.
    pub fn rule(&self, service: &str) -> EngineRule {
        let speeds = self.speeds();
        let speed = speeds.get(service).copied().unwrap_or_default();
        speed.apply_to(&self.prior)
    }

    /// Network round trip to an engine in another availability zone.
    pub fn other_zone_round_trip(&self) -> Duration {
        self.prior.other_zone_round_trip
    }

    /// Updates what was learned of a service.
    pub fn update<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&EngineRule, &mut ServiceSpeed) -> T,
    ) -> T {
        let mut speeds = self.speeds();
        let speed = speeds.entry(service.clone()).or_default();
        f(&self.prior, speed)
    }

    fn speeds(&self) -> MutexGuard<'_, BTreeMap<ServiceId, ServiceSpeed>> {
        // Sound after a panic elsewhere: each number is valid by itself.
        self.speeds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
