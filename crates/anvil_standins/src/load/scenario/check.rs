//! What a scenario may ask for.

use std::time::Duration;

use anvil_world::settings::{Problem, Validate};

use super::{Load, Scenario};

/// Longest run that a scenario may ask for.
const LONGEST: Duration = Duration::from_mins(30);
/// Most requests a second that a scenario may ask for.
const FASTEST: u64 = 200_000;

impl Validate for Scenario {
    fn problems(&self) -> Vec<Problem> {
        let mut found = Problem::check_name("name", &self.name);
        let most = LONGEST.as_secs();
        found.extend(Problem::check_range(
            "run_for",
            self.run_for.as_secs(),
            1..=most,
        ));
        let zones = self.fleet.zones.len() as u64;
        found.extend(Problem::check_range("fleet.zones", zones, 1..=64));
        found.extend(Problem::check_range(
            "fleet.routers",
            self.fleet.routers.into(),
            1..=64,
        ));
        found.extend(Problem::check_range(
            "fleet.ledgers",
            self.fleet.ledgers.into(),
            1..=7,
        ));
        let organisations = u64::from(self.callers.organisations);
        let at = "callers.organisations";
        found.extend(Problem::check_range(at, organisations, 1..=10_000));
        let large = u64::from(self.callers.large);
        found.extend(Problem::check_range(
            "callers.large",
            large,
            0..=organisations,
        ));
        let percent = u64::from(self.callers.large_percent);
        found.extend(Problem::check_range(
            "callers.large_percent",
            percent,
            0..=100,
        ));
        found.extend(Problem::check_range(
            "endpoints",
            self.endpoints.len() as u64,
            1..=64,
        ));
        let rate: u64 = self.load.iter().map(|load| u64::from(load.rate)).sum();
        found.extend(Problem::check_range("rate", rate, 1..=FASTEST));
        found.extend(self.load.iter().flat_map(|load| self.load_problems(load)));
        found
    }
}

impl Scenario {
    fn load_problems(&self, load: &Load) -> Vec<Problem> {
        let mut found = Vec::new();
        for (key, (least, most)) in [("prompt", load.prompt), ("output", load.output)] {
            found.extend(Problem::check_range(key, least, 1..=1_000_000));
            found.extend(Problem::check_range(key, most, least..=1_000_000));
        }
        let served = self.endpoints.iter().any(|g| g.service == load.service);
        if !served {
            let allowed = "a service of one of the endpoints";
            found.push(Problem::new("service", load.service.as_ref(), allowed));
        }
        found
    }
}
