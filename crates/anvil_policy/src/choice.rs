//! Which endpoint a request goes to.
//!
//! *Answers:* many routers choosing at once from load reports that lag.
//!
//! *Without it:* "least of all reported load" sends every router's work to the one endpoint that
//! looked empty in the last report, which is full before the next one (herd); "round robin" goes
//! on feeding an endpoint that is ten times slower.
//!
//! *How:* a few endpoints are drawn at random, from the own availability zone and from the whole
//! pool, and the one with the least expected time to the first token wins. The expected time
//! counts how full the endpoint is, the prompt tokens that its prefix cache does not hold, and
//! the way there. Affinity to a cached prefix therefore lasts exactly as long as it pays: the
//! endpoint that holds the prefix is always among the drawn ones and has no other privilege.
//!
//! Thresholds and the runs that they come from: `docs/design/04-decisions.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::prelude::*;
use rand::{Rng, RngExt};

use crate::endpoint::{EndpointState, FULL_SHARE};

/// Endpoints that can stand in for each other: those of one model, or of one plain service.
///
/// A pool does not change. When endpoints come or go, a new one is made out of the same shared
/// [`EndpointState`]s and swapped in.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    endpoints: Vec<Arc<EndpointState>>,
    by_zone: BTreeMap<Zone, Vec<usize>>,
    by_id: BTreeMap<InstanceId, usize>,
}

impl Pool {
    /// A pool of these endpoints.
    pub fn new(endpoints: Vec<Arc<EndpointState>>) -> Self {
        let mut by_zone: BTreeMap<Zone, Vec<usize>> = BTreeMap::new();
        let mut by_id = BTreeMap::new();
        for (at, endpoint) in endpoints.iter().enumerate() {
            by_zone.entry(endpoint.zone.clone()).or_default().push(at);
            by_id.insert(endpoint.id.clone(), at);
        }
        Self {
            endpoints,
            by_zone,
            by_id,
        }
    }

    /// All endpoints, in the order they were given.
    pub fn endpoints(&self) -> &[Arc<EndpointState>] {
        &self.endpoints
    }

    /// One endpoint by its sidecar's instance.
    pub fn get(&self, id: &str) -> Option<&Arc<EndpointState>> {
        self.by_id.get(id).map(|at| &self.endpoints[*at])
    }

    /// Runs that this router may add over all endpoints. One pass; for a tick, not a request.
    ///
    /// What one endpoint has above its limit, for prefixes that it holds, is taken from others.
    pub fn room(&self) -> u32 {
        let balance: i64 = self.endpoints.iter().map(|one| one.balance()).sum();
        let own = self.endpoints.iter().map(|one| one.own_room());
        let own = own.fold(0, u32::saturating_add);
        u32::try_from(balance.max(0)).unwrap_or(u32::MAX).max(own)
    }

    /// Runs that this router has over all endpoints. One pass; for a tick, not a request.
    pub fn in_flight(&self) -> u32 {
        let counts = self.endpoints.iter().map(|endpoint| endpoint.in_flight());
        counts.fold(0, u32::saturating_add)
    }

    /// Whether any endpoint takes work at all.
    pub fn serves(&self) -> bool {
        self.endpoints.iter().any(|endpoint| takes_work(endpoint))
    }
}

/// What is asked of [`Chooser::choose`].
#[derive(Debug, Clone, Default)]
pub struct Ask<'a> {
    /// Prompt tokens of the request; 0 for a plain call.
    pub prompt: Tokens,
    /// Endpoints that may hold a prefix of the prompt, with its length in tokens.
    pub cached: &'a [(InstanceId, Tokens)],
    /// Endpoints not to be taken again, because this request has failed there.
    pub avoid: &'a [InstanceId],
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub enum Choice {
    /// To this endpoint. The caller calls [`EndpointState::start`] at once.
    Endpoint(Arc<EndpointState>),
    /// Nowhere now: endpoints serve it, but none has room.
    Full,
    /// Nowhere: no endpoint serves it.
    Nowhere,
}

/// How endpoints are compared.
#[derive(Debug, Clone, PartialEq)]
pub struct Chooser {
    /// The router's own availability zone.
    pub zone: Zone,
    /// Endpoints drawn from the own zone.
    pub draws_near: usize,
    /// Endpoints drawn from the whole pool.
    pub draws_far: usize,
    /// Time that one prompt token costs an endpoint which doesn't hold it.
    pub per_prompt_token: Duration,
    /// Time that a full endpoint adds to the first token over an empty one.
    pub when_full: Duration,
}

impl Default for Chooser {
    fn default() -> Self {
        Self {
            zone: Zone::default(),
            draws_near: 2,
            draws_far: 2,
            per_prompt_token: Duration::from_micros(100),
            when_full: Duration::from_millis(400),
        }
    }
}

impl Chooser {
    /// With the router's own availability zone.
    pub fn with_zone(mut self, zone: Zone) -> Self {
        self.zone = zone;
        self
    }

    /// Chooses an endpoint with room for one more run.
    pub fn choose(&self, pool: &Pool, ask: &Ask<'_>, rng: &mut impl Rng) -> Choice {
        let mut best = Best::default();
        for (id, held) in ask.cached {
            if let Some(endpoint) = pool.get(id) {
                self.weigh(pool, &mut best, endpoint, ask, *held, rng);
            }
        }
        for endpoint in self.draw(pool, ask, rng) {
            self.weigh(pool, &mut best, endpoint, ask, 0, rng);
        }
        match best.endpoint {
            Some(endpoint) => Choice::Endpoint(Arc::clone(endpoint)),
            None => sweep(pool, ask, rng),
        }
    }

    fn draw<'a>(
        &self,
        pool: &'a Pool,
        ask: &Ask<'_>,
        rng: &mut impl Rng,
    ) -> Vec<&'a Arc<EndpointState>> {
        let all = &pool.endpoints;
        if all.len() <= self.draws_near + self.draws_far {
            return all.iter().collect();
        }
        let near = pool.by_zone.get(&self.zone).map_or(&[][..], Vec::as_slice);
        let from_near = if near.is_empty() { 0 } else { self.draws_near };
        let from_all = if ask.avoid.is_empty() {
            self.draws_far
        } else {
            self.draws_far * MORE_FOR_RETRIES
        };
        let mut drawn = Vec::with_capacity(from_near + from_all);
        drawn.extend((0..from_near).map(|_| &all[near[rng.random_range(0..near.len())]]));
        drawn.extend((0..from_all).map(|_| &all[rng.random_range(0..all.len())]));
        drawn
    }

    fn weigh<'a>(
        &self,
        pool: &'a Pool,
        best: &mut Best<'a>,
        endpoint: &'a Arc<EndpointState>,
        ask: &Ask<'_>,
        held: Tokens,
        rng: &mut impl Rng,
    ) {
        // An endpoint with a part share is passed over in the same part of the draws, so that
        // an ejected or returning endpoint gets its trickle and no more.
        let room = if held > 0 {
            endpoint.room_for_held()
        } else {
            endpoint.room()
        };
        let passes =
            endpoint.share() >= FULL_SHARE || rng.random_range(0..FULL_SHARE) < endpoint.share();
        if !passes || room == 0 || ask.avoid.contains(&endpoint.id) {
            return;
        }
        let mut score = self.expected(endpoint, ask.prompt.saturating_sub(held));
        if failed_near(pool, endpoint, ask) {
            score += FAILED_NEAR;
        }
        if best.endpoint.is_none() || score < best.score {
            *best = Best {
                endpoint: Some(endpoint),
                score,
            };
        }
    }

    /// Expected time to the first token, in seconds.
    fn expected(&self, endpoint: &EndpointState, uncached: Tokens) -> f64 {
        let full = f64::from(endpoint.pressure()) / f64::from(endpoint.limit().max(1));
        let way = 2.0
            * Link::between(&self.zone, &endpoint.zone)
                .one_way
                .as_secs_f64();
        #[expect(
            clippy::cast_precision_loss,
            reason = "prompts are far below 2^52 tokens"
        )]
        let prefill = self.per_prompt_token.as_secs_f64() * uncached as f64;
        self.when_full.as_secs_f64() * full + way + prefill
    }
}

/// A retry draws so many times as many endpoints, to find one outside a zone that is lost.
const MORE_FOR_RETRIES: usize = 4;

/// Added, in seconds, for an endpoint of an availability zone where this request has failed: a
/// lost zone fails a request at each of its endpoints in turn until its tries are used up.
const FAILED_NEAR: f64 = 1.0;

fn failed_near(pool: &Pool, endpoint: &EndpointState, ask: &Ask<'_>) -> bool {
    let mut failed = ask.avoid.iter().filter_map(|id| pool.get(id));
    failed.any(|other| other.zone == endpoint.zone)
}

#[derive(Default)]
struct Best<'a> {
    endpoint: Option<&'a Arc<EndpointState>>,
    score: f64,
}

/// Endpoints that are looked at when none of the drawn ones had room. So many full ones in a
/// row mean that the pool is full; looking at all 7,100 took 65 microseconds for each request,
/// just when there was no time for it.
const SWEPT: usize = 256;

/// Looks at endpoints one after the other, from a random start.
fn sweep(pool: &Pool, ask: &Ask<'_>, rng: &mut impl Rng) -> Choice {
    let all = pool.endpoints.len();
    if all == 0 {
        return Choice::Nowhere;
    }
    let first = rng.random_range(0..all);
    let (before, after) = pool.endpoints.split_at(first);
    let mut serves = false;
    for (seen, endpoint) in after.iter().chain(before).enumerate() {
        if serves && seen >= SWEPT {
            break;
        }
        if ask.avoid.contains(&endpoint.id) {
            continue;
        }
        serves |= takes_work(endpoint);
        if endpoint.room() > 0 {
            return Choice::Endpoint(Arc::clone(endpoint));
        }
    }
    if serves {
        Choice::Full
    } else {
        Choice::Nowhere
    }
}

fn takes_work(endpoint: &EndpointState) -> bool {
    !endpoint.is_leaving() && endpoint.share() > 0
}
