//! Draws the arrivals of a scenario. They depend on the seed alone, never on a rule's answers.

use std::time::Duration;

use anvil_policy::prefix::PrefixHash;
use anvil_world::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::request::Request;
use super::scenario::{Burst, Kind, PolicyScenario};

impl PolicyScenario {
    /// The zone of the endpoint or router at a place.
    pub fn zone(&self, at: usize) -> Zone {
        Zone::new("region", &format!("zone-{}", at % self.zones))
    }

    /// Time until the next arrival.
    pub fn gap(&self, now: Now, rng: &mut ChaCha8Rng) -> Duration {
        let burst = |burst: &&Burst| burst.from <= now && now < burst.until;
        let times = self
            .bursts
            .iter()
            .find(burst)
            .map_or(1.0, |burst| burst.times);
        let even: f64 = rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-even.ln() / (self.rate * times))
    }

    /// A request that arrives now.
    pub fn draw(&self, now: Now, rng: &mut ChaCha8Rng) -> Request {
        let kind = self.kind(rng);
        let organisation = self.organisation(rng);
        let prefix = rng.random_range(0..self.prefixes.max(1));
        let prefix = (organisation * self.prefixes + prefix) as PrefixHash;
        Request {
            organisation: format!("organisation-{organisation}").into(),
            class: kind.class,
            prefix,
            prefix_tokens: kind.prefix,
            prompt: kind.prefix + rng.random_range(kind.prompt.0..=kind.prompt.1),
            output: rng.random_range(kind.output.0..=kind.output.1),
            output_bound: kind.output_bound,
            arrived: now,
            deadline: now + kind.timeout,
            router: rng.random_range(0..self.routers),
            avoid: Vec::new(),
            made: 0,
            first_token: None,
            newest_token: now,
            tries: 0,
            going: None,
        }
    }

    fn kind(&self, rng: &mut ChaCha8Rng) -> &Kind {
        let all: u32 = self.kinds.iter().map(|kind| kind.part).sum();
        let mut drawn = rng.random_range(0..all);
        for kind in &self.kinds {
            if drawn < kind.part {
                return kind;
            }
            drawn -= kind.part;
        }
        &self.kinds[0]
    }

    fn organisation(&self, rng: &mut ChaCha8Rng) -> usize {
        match self.skew {
            Some((part, few)) if rng.random_bool(part) => rng.random_range(0..few),
            Some((_, few)) => rng.random_range(few..self.organisations),
            None => rng.random_range(0..self.organisations),
        }
    }
}
