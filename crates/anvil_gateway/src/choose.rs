//! Chooses an endpoint for a request, out of what this gateway knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_policy::copying::{self, Copying, Lacking};
use anvil_policy::engine::{Prompt, home_rank};
use anvil_policy::rate_share::Clocks;
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
    /// The engine from which it is to copy what that one has read.
    pub copy_from: Option<SocketAddr>,
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
    /// All of them take fewer requests than come; the first one takes another after this time.
    AtLimit(Duration),
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
    /// they are tried all the same: a request that is turned away is surely not answered. Those that
    /// announced a limit get no more than this gateway's part of it.
    pub fn choose(
        &self,
        service: &str,
        prompt: &Prompt<'_>,
        tried: &[InstanceId],
        within: Duration,
    ) -> Result<Chosen, Unplaced> {
        let now = self.life.now();
        let open = self.directory.open(service, tried);
        let home = home_of(prompt, &open);
        let weighed = |endpoint| self.weigh(now, prompt, home, endpoint);
        let all: Vec<Weighed<'_>> = open.iter().map(weighed).collect();
        let best = self.take_best(now, &all, within)?;
        let source = self.source(service, prompt, best, &all);
        let missing = source
            .as_ref()
            .map_or(best.lacking.believed, |source| source.left);
        let grounds = best.endpoint.load().grounds(now);
        let place = Place::take(best.endpoint.clone(), now, &self.rule, prompt, missing);
        Ok(Chosen {
            place,
            expected: best.expected,
            missing,
            copy_from: source.map(|source| source.addr),
            grounds,
        })
    }

    /// The best of these that takes a request now; the request is counted there.
    fn take_best<'a>(
        &self,
        now: Now,
        all: &'a [Weighed<'a>],
        within: Duration,
    ) -> Result<&'a Weighed<'a>, Unplaced> {
        // A time of day before the epoch has windows all the same.
        let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = Clocks {
            now,
            time_of_day: time_of_day.unwrap_or_default(),
        };
        let turn = self.turn();
        let mut taking = Vec::new();
        let mut soonest = None;
        for weighed in all {
            let wait = weighed.endpoint.opens_in(at, turn);
            soonest = Some(soonest.map_or(wait, |soonest: Duration| soonest.min(wait)));
            if wait.is_zero() {
                taking.push(weighed);
            }
        }
        let by_rank = |weighed: &&Weighed<'_>| (weighed.shut, weighed.expected);
        while let Some(best) = taking.iter().copied().min_by_key(by_rank) {
            if best.expected > within {
                return Err(Unplaced::TooLate(best.expected));
            }
            if best.endpoint.takes_one(at, turn) {
                return Ok(best);
            }
            // Another request was first.
            taking.retain(|weighed| weighed.endpoint.id != best.endpoint.id);
        }
        Err(soonest.map_or(Unplaced::Nobody, Unplaced::AtLimit))
    }

    /// The engine from which the chosen one copies, where that is much faster than reading.
    fn source(
        &self,
        service: &str,
        prompt: &Prompt<'_>,
        chosen: &Weighed<'_>,
        all: &[Weighed<'_>],
    ) -> Option<Source> {
        prompt.subject()?;
        let table = self.table.load();
        let engine = table.as_ref()?.services.get(service)?.engine?;
        let rate = Copying::between(engine.bytes_per_token, engine.link_mbps, &self.rule)?;
        let others = all.iter().filter(|other| !other.shut);
        let others = others.filter(|other| other.endpoint.id != chosen.endpoint.id);
        let others: Vec<_> = others
            .map(|other| (other.endpoint.addr, other.lacking))
            .collect();
        let (addr, there) = copying::source(chosen.lacking, &others)?;
        Some(Source {
            addr,
            left: rate.as_if_missing(chosen.lacking.believed, there, &self.rule),
        })
    }

    fn weigh<'a>(
        &self,
        now: Now,
        prompt: &Prompt<'_>,
        home: Option<u64>,
        endpoint: &'a Arc<Endpoint>,
    ) -> Weighed<'a> {
        let load = endpoint.load();
        let far = *endpoint.zone != *self.cfg.zone.id;
        let way = if far {
            self.rule.other_zone
        } else {
            Duration::ZERO
        };
        let before = way + load.set_back(NEXT_TRY);
        let shut = load.is_shut(now);
        if prompt.parts.is_empty() {
            let full = f64::from(load.busy(now)) / f64::from(load.slots(endpoint.slots).max(1));
            let spread = Duration::from_micros(rand::random_range(0..500));
            return Weighed {
                endpoint,
                expected: before + WHEN_FULL.mul_f64(full) + spread,
                lacking: Lacking {
                    unsent: 0,
                    believed: 0,
                },
                shut,
            };
        }
        let is_home = prompt
            .subject()
            .is_some_and(|subject| Some(home_rank(subject, &endpoint.id)) == home);
        let unsent = load.missing(now, &self.rule, prompt, false);
        let believed = if is_home {
            load.missing(now, &self.rule, prompt, true)
        } else {
            unsent
        };
        let expected = load.expected(now, &self.rule, believed, endpoint.slots);
        Weighed {
            endpoint,
            expected: before + expected,
            lacking: Lacking { unsent, believed },
            shut,
        }
    }
}

/// An endpoint with what is expected of it.
struct Weighed<'a> {
    endpoint: &'a Arc<Endpoint>,
    /// Time to the first token if all that is missing is read.
    expected: Duration,
    /// What it lacks of the prompt.
    lacking: Lacking,
    /// It failed lately.
    shut: bool,
}

/// An engine from which another one copies.
struct Source {
    addr: SocketAddr,
    /// Tokens whose reading takes as long as what remains to be read and copied.
    left: Tokens,
}

fn home_of(prompt: &Prompt<'_>, group: &[Arc<Endpoint>]) -> Option<u64> {
    let subject = prompt.subject()?;
    let ranks = group
        .iter()
        .map(|endpoint| home_rank(subject, &endpoint.id));
    ranks.max()
}
