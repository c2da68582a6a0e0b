//! Chooses an endpoint for a request, out of what this gateway knows.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::engine::{Prompt, home_rank};
use anvil_world::prelude::*;

use crate::endpoint::{Endpoint, Place};
use crate::gateway::Gateway;
use crate::table::Route;

/// What was chosen, and on which grounds.
pub struct Chosen {
    /// The place taken.
    pub place: Place,
    /// Expected time to the first token.
    pub expected: Duration,
    /// Tokens of the prompt that have to be read there.
    pub missing: Tokens,
    /// What is known of its load, and how old that is.
    pub grounds: String,
}

/// Why nothing was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unplaced {
    /// No endpoint takes work.
    Nobody,
    /// The best one would answer too late: after this time.
    TooLate(Duration),
}

/// Expected time that one more request waits at a plain endpoint with no place left.
const WHEN_FULL: Duration = Duration::from_millis(30);

/// What it costs to try another endpoint after a bad answer: about one answer of a plain service.
const NEXT_TRY: Duration = Duration::from_millis(40);

impl Gateway {
    /// Draws one of a route's services by weight.
    pub fn draw_service(&self, route: &Route) -> Option<ServiceId> {
        let total: u32 = route.services.iter().map(|(_, weight)| *weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = rand::random_range(0..total);
        let found = route.services.iter().find(|(_, weight)| {
            let here = drawn < *weight;
            drawn = drawn.saturating_sub(*weight);
            here
        });
        found.map(|(service, _)| service.clone())
    }

    /// Chooses among the endpoints of a service that have not been tried.
    ///
    /// Endpoints that failed lately are passed over while others are there. When all have failed,
    /// they are tried all the same: a request that is turned away is surely not answered.
    pub fn choose(
        &self,
        service: &str,
        prompt: &Prompt<'_>,
        tried: &[InstanceId],
        within: Duration,
    ) -> Result<Chosen, Unplaced> {
        let now = self.life.now();
        let group = self.directory.group(service);
        let open =
            |endpoint: &&Arc<Endpoint>| !endpoint.is_leaving() && !tried.contains(&endpoint.id);
        let home = home_of(prompt, group.iter().filter(open));
        let sound = |endpoint: &&Arc<Endpoint>| open(endpoint) && !endpoint.load().is_shut(now);
        let best = self.best(now, prompt, home, group.iter().filter(sound));
        let best = best.or_else(|| self.best(now, prompt, home, group.iter().filter(open)));
        let (endpoint, expected, missing) = best.ok_or(Unplaced::Nobody)?;
        if expected > within {
            return Err(Unplaced::TooLate(expected));
        }
        let grounds = endpoint.load().grounds(now);
        let place = Place::take(endpoint.clone(), now, &self.rule, prompt, missing);
        Ok(Chosen {
            place,
            expected,
            missing,
            grounds,
        })
    }

    fn best<'a>(
        &self,
        now: Now,
        prompt: &Prompt<'_>,
        home: Option<u64>,
        group: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> Option<(&'a Arc<Endpoint>, Duration, Tokens)> {
        let weighed = group.map(|endpoint| {
            let (expected, missing) = self.expect(now, prompt, home, endpoint);
            (endpoint, expected, missing)
        });
        weighed.min_by_key(|(_, expected, _)| *expected)
    }

    fn expect(
        &self,
        now: Now,
        prompt: &Prompt<'_>,
        home: Option<u64>,
        endpoint: &Endpoint,
    ) -> (Duration, Tokens) {
        let load = endpoint.load();
        let far = *endpoint.zone != *self.cfg.zone.id;
        let way = if far {
            self.rule.other_zone
        } else {
            Duration::ZERO
        };
        if prompt.parts.is_empty() {
            let full = f64::from(load.busy(now)) / f64::from(load.slots(endpoint.slots).max(1));
            let spread = Duration::from_micros(rand::random_range(0..500));
            let set_back = load.set_back(NEXT_TRY);
            return (way + WHEN_FULL.mul_f64(full) + set_back + spread, 0);
        }
        let is_home = prompt
            .subject()
            .is_some_and(|subject| Some(home_rank(subject, &endpoint.id)) == home);
        let missing = load.missing(now, &self.rule, prompt, is_home);
        let expected = load.expected(now, &self.rule, missing, endpoint.slots);
        (way + expected + load.set_back(NEXT_TRY), missing)
    }
}

fn home_of<'a>(prompt: &Prompt<'_>, group: impl Iterator<Item = &'a Arc<Endpoint>>) -> Option<u64> {
    let subject = prompt.subject()?;
    group.map(|endpoint| home_rank(subject, &endpoint.id)).max()
}
