//! Draws the arrivals of a scenario. They depend on the seed only, never on a rule's decisions.

use std::time::Duration;

use anvil_policy::prefix::PrefixHash;
use anvil_world::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::request::Request;
use super::scenario::{Burst, Kind, PolicyScenario};

impl PolicyScenario {
    /// The zone of the endpoint or router with this index.
    pub fn zone(&self, index: usize) -> Zone {
        Zone::new("region", &format!("zone-{}", index % self.zones))
    }

    /// Time until the next arrival, exponentially distributed.
    pub fn arrival_gap(&self, now: Now, rng: &mut ChaCha8Rng) -> Duration {
        let burst = |burst: &&Burst| burst.from <= now && now < burst.until;
        let factor = self
            .bursts
            .iter()
            .find(burst)
            .map_or(1.0, |burst| burst.factor);
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / (self.rate * factor))
    }

    /// Draws a request that arrives now.
    pub fn draw_request(&self, now: Now, rng: &mut ChaCha8Rng) -> Request {
        let kind = self.draw_kind(rng);
        let organisation = self.draw_organisation(rng);
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
            received: 0,
            first_token: None,
            last_token: now,
            attempts: 0,
            attempt: None,
        }
    }

    fn draw_kind(&self, rng: &mut ChaCha8Rng) -> &Kind {
        let total: u32 = self.kinds.iter().map(|kind| kind.weight).sum();
        let mut remaining = rng.random_range(0..total);
        for kind in &self.kinds {
            if remaining < kind.weight {
                return kind;
            }
            remaining -= kind.weight;
        }
        &self.kinds[0]
    }

    fn draw_organisation(&self, rng: &mut ChaCha8Rng) -> usize {
        match self.skew {
            Some((large_part, large_count)) if rng.random_bool(large_part) => {
                rng.random_range(0..large_count)
            }
            Some((_, large_count)) => rng.random_range(large_count..self.organisations),
            None => rng.random_range(0..self.organisations),
        }
    }
}
