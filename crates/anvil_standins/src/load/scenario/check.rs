//! Validation of scenarios.

use std::time::Duration;

use anvil_world::settings::{Problem, Validate};

use super::{Load, Scenario};

/// Maximum `run_for` of a scenario.
const MAX_RUN_TIME: Duration = Duration::from_mins(30);
/// Maximum total request rate of a scenario, a second.
const MAX_RATE: u64 = 200_000;

impl Validate for Scenario {
    fn problems(&self) -> Vec<Problem> {
        let mut problems = Problem::check_name("name", &self.name);
        let max_secs = MAX_RUN_TIME.as_secs();
        problems.extend(Problem::check_range(
            "run_for",
            self.run_for.as_secs(),
            1..=max_secs,
        ));
        let zones = self.fleet.zones.len() as u64;
        problems.extend(Problem::check_range("fleet.zones", zones, 1..=64));
        problems.extend(Problem::check_range(
            "fleet.routers",
            self.fleet.routers.into(),
            1..=64,
        ));
        problems.extend(Problem::check_range(
            "fleet.ledgers",
            self.fleet.ledgers.into(),
            1..=7,
        ));
        let organisations = u64::from(self.callers.organisations);
        let key = "callers.organisations";
        problems.extend(Problem::check_range(key, organisations, 1..=10_000));
        let large = u64::from(self.callers.large);
        problems.extend(Problem::check_range(
            "callers.large",
            large,
            0..=organisations,
        ));
        let percent = u64::from(self.callers.large_percent);
        problems.extend(Problem::check_range(
            "callers.large_percent",
            percent,
            0..=100,
        ));
        problems.extend(Problem::check_range(
            "endpoints",
            self.endpoints.len() as u64,
            1..=64,
        ));
        let rate: u64 = self.load.iter().map(|load| u64::from(load.rate)).sum();
        problems.extend(Problem::check_range("rate", rate, 1..=MAX_RATE));
        problems.extend(self.load.iter().flat_map(|load| self.load_problems(load)));
        problems
    }
}

impl Scenario {
    fn load_problems(&self, load: &Load) -> Vec<Problem> {
        let mut problems = Vec::new();
        for (key, (min, max)) in [("prompt", load.prompt), ("output", load.output)] {
            problems.extend(Problem::check_range(key, min, 1..=1_000_000));
            problems.extend(Problem::check_range(key, max, min..=1_000_000));
        }
        let served = self.endpoints.iter().any(|g| g.service == load.service);
        if !served {
            let allowed = "a service of one of the endpoints";
            problems.push(Problem::new("service", load.service.as_ref(), allowed));
        }
        problems
    }
}
