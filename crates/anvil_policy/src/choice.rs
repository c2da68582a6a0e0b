//! Chooses the endpoint for a request.
//!
//! *Load pattern:* many routers that choose at the same time from load reports that lag.
//!
//! *Without it:* choosing the lowest reported load sends the work of every router to the one
//! endpoint that looked empty in the last report, and it is full before the next report (herding).
//! Round robin keeps sending work to an endpoint that is ten times slower.
//!
//! *Mechanism:* a few endpoints are sampled at random, from the router's own availability zone and
//! from the whole pool, and the one with the lowest expected time to the first token is chosen. The
//! expected time accounts for how full the endpoint is, for the prompt tokens that its prefix cache
//! lacks, and for the network round trip. An endpoint that holds a prefix of the prompt is always
//! among the candidates and gets no other preference, so affinity lasts exactly as long as it pays.
//!
//! *Thresholds:* a retry samples more endpoints and avoids the zones where the request failed,
//! because in a lost zone it would use up all its attempts. The scan after unsuccessful sampling is
//! bounded, because a full pool is scanned just when the router is overloaded. Further reasons, and
//! the runs that the thresholds come from, are in `docs/design/04-decisions.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::prelude::*;
use rand::{Rng, RngExt};

use crate::endpoint::{EndpointState, FULL_SHARE};

/// Endpoints that can replace each other: those of one model, or of one plain service.
///
/// A pool is immutable. When endpoints come or go, a new one is built from the same shared
/// [`EndpointState`]s and swapped in.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    endpoints: Vec<Arc<EndpointState>>,
    by_zone: BTreeMap<Zone, Vec<usize>>,
    by_id: BTreeMap<InstanceId, usize>,
}

impl Pool {
    /// Creates a pool of these endpoints.
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

    /// An endpoint by the instance of its sidecar.
    pub fn get(&self, id: &str) -> Option<&Arc<EndpointState>> {
        self.by_id.get(id).map(|at| &self.endpoints[*at])
    }

    /// Number of runs that this router may add over all endpoints. Scans the whole pool; to be
    /// called on a tick, not for each request.
    ///
    /// Runs that an endpoint has above its limit, because it holds their prefixes, are subtracted
    /// from the headroom of the others.
    pub fn headroom(&self) -> u32 {
        let signed_headroom: i64 = self.endpoints.iter().map(|one| one.signed_headroom()).sum();
        let own = self.endpoints.iter().map(|one| one.guaranteed_headroom());
        let own = own.fold(0, u32::saturating_add);
        u32::try_from(signed_headroom.max(0))
            .unwrap_or(u32::MAX)
            .max(own)
    }

    /// Number of runs that this router has at all endpoints. Scans the whole pool; to be called on
    /// a tick, not for each request.
    pub fn in_flight(&self) -> u32 {
        let counts = self.endpoints.iter().map(|endpoint| endpoint.in_flight());
        counts.fold(0, u32::saturating_add)
    }

    /// Whether any endpoint accepts work at all.
    pub fn accepts_work(&self) -> bool {
        self.endpoints.iter().any(|endpoint| accepts_work(endpoint))
    }
}

/// Input of [`Chooser::choose`].
#[derive(Debug, Clone, Default)]
pub struct ChoiceRequest<'a> {
    /// Prompt tokens of the request; 0 for a plain call.
    pub prompt: Tokens,
    /// Endpoints that may hold a prefix of the prompt, with its length in tokens.
    pub cached: &'a [(InstanceId, Tokens)],
    /// Endpoints to exclude, because this request has failed there.
    pub avoid: &'a [InstanceId],
}

/// Result of a choice.
#[derive(Debug, Clone)]
pub enum Choice {
    /// The chosen endpoint. The caller calls [`EndpointState::start`] at once.
    Endpoint(Arc<EndpointState>),
    /// Some endpoints accept work, but none has headroom now.
    Full,
    /// No endpoint accepts work.
    Unserved,
}

/// Parameters by which endpoints are compared.
#[derive(Debug, Clone, PartialEq)]
pub struct Chooser {
    /// The router's own availability zone.
    pub zone: Zone,
    /// Number of endpoints sampled from the router's own zone.
    pub own_zone_samples: usize,
    /// Number of endpoints sampled from the whole pool.
    pub pool_samples: usize,
    /// Time to prefill one prompt token that is not cached.
    pub per_prompt_token: Duration,
    /// Time that a full endpoint adds to the first token, compared to an empty one.
    pub full_penalty: Duration,
}

impl Default for Chooser {
    fn default() -> Self {
        Self {
            zone: Zone::default(),
            own_zone_samples: 2,
            pool_samples: 2,
            per_prompt_token: Duration::from_micros(100),
            full_penalty: Duration::from_millis(400),
        }
    }
}

impl Chooser {
    /// Sets the router's own availability zone.
    pub fn with_zone(mut self, zone: Zone) -> Self {
        self.zone = zone;
        self
    }

    /// Chooses an endpoint with headroom for one more run.
    pub fn choose(&self, pool: &Pool, request: &ChoiceRequest<'_>, rng: &mut impl Rng) -> Choice {
        let mut best = Best::default();
        for (id, cached_tokens) in request.cached {
            if let Some(endpoint) = pool.get(id) {
                self.consider(pool, &mut best, endpoint, request, *cached_tokens, rng);
            }
        }
        for endpoint in self.sample(pool, request, rng) {
            self.consider(pool, &mut best, endpoint, request, 0, rng);
        }
        match best.endpoint {
            Some(endpoint) => Choice::Endpoint(Arc::clone(endpoint)),
            None => scan(pool, request, rng),
        }
    }

    fn sample<'a>(
        &self,
        pool: &'a Pool,
        request: &ChoiceRequest<'_>,
        rng: &mut impl Rng,
    ) -> Vec<&'a Arc<EndpointState>> {
        let all = &pool.endpoints;
        if all.len() <= self.own_zone_samples + self.pool_samples {
            return all.iter().collect();
        }
        let own_zone = pool.by_zone.get(&self.zone).map_or(&[][..], Vec::as_slice);
        let from_own_zone = if own_zone.is_empty() {
            0
        } else {
            self.own_zone_samples
        };
        let from_pool = if request.avoid.is_empty() {
            self.pool_samples
        } else {
            self.pool_samples * RETRY_SAMPLE_FACTOR
        };
        let mut sampled = Vec::with_capacity(from_own_zone + from_pool);
        sampled.extend(
            (0..from_own_zone).map(|_| &all[own_zone[rng.random_range(0..own_zone.len())]]),
        );
        sampled.extend((0..from_pool).map(|_| &all[rng.random_range(0..all.len())]));
        sampled
    }

    fn consider<'a>(
        &self,
        pool: &'a Pool,
        best: &mut Best<'a>,
        endpoint: &'a Arc<EndpointState>,
        request: &ChoiceRequest<'_>,
        cached_tokens: Tokens,
        rng: &mut impl Rng,
    ) {
        // An endpoint with a reduced share is skipped in the same proportion of the samples, so
        // that an ejected or recovering endpoint gets its reduced share and no more.
        let headroom = if cached_tokens > 0 {
            endpoint.headroom_for_cached()
        } else {
            endpoint.headroom()
        };
        let within_share =
            endpoint.share() >= FULL_SHARE || rng.random_range(0..FULL_SHARE) < endpoint.share();
        if !within_share || headroom == 0 || request.avoid.contains(&endpoint.id) {
            return;
        }
        let mut score = self.expected(endpoint, request.prompt.saturating_sub(cached_tokens));
        if failed_in_zone(pool, endpoint, request) {
            score += FAILED_ZONE_PENALTY_S;
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
        let fullness = f64::from(endpoint.estimated_load()) / f64::from(endpoint.limit().max(1));
        let round_trip = 2.0
            * Link::between(&self.zone, &endpoint.zone)
                .one_way
                .as_secs_f64();
        #[expect(
            clippy::cast_precision_loss,
            reason = "prompts are far below 2^52 tokens"
        )]
        let prefill = self.per_prompt_token.as_secs_f64() * uncached as f64;
        self.full_penalty.as_secs_f64() * fullness + round_trip + prefill
    }
}

/// A retry samples this many times as many endpoints from the whole pool, to find one outside a
/// lost zone.
const RETRY_SAMPLE_FACTOR: usize = 4;

/// Penalty in seconds for an endpoint in an availability zone where this request has failed: in a
/// lost zone the request would fail at one endpoint after the other until its attempts are used up.
const FAILED_ZONE_PENALTY_S: f64 = 1.0;

fn failed_in_zone(pool: &Pool, endpoint: &EndpointState, request: &ChoiceRequest<'_>) -> bool {
    let mut failed = request.avoid.iter().filter_map(|id| pool.get(id));
    failed.any(|other| other.zone == endpoint.zone)
}

#[derive(Default)]
struct Best<'a> {
    endpoint: Option<&'a Arc<EndpointState>>,
    score: f64,
}

/// Maximum number of endpoints that are scanned when no sampled one had headroom. So many full ones
/// in a row mean that the pool is full; scanning all 7,100 took 65 microseconds for each request,
/// just when the router was overloaded.
const MAX_SCANNED: usize = 256;

/// Scans endpoints in order, from a random start.
fn scan(pool: &Pool, request: &ChoiceRequest<'_>, rng: &mut impl Rng) -> Choice {
    let all = pool.endpoints.len();
    if all == 0 {
        return Choice::Unserved;
    }
    let first = rng.random_range(0..all);
    let (before, after) = pool.endpoints.split_at(first);
    let mut any_serves = false;
    for (scanned, endpoint) in after.iter().chain(before).enumerate() {
        if any_serves && scanned >= MAX_SCANNED {
            break;
        }
        if request.avoid.contains(&endpoint.id) {
            continue;
        }
        any_serves |= accepts_work(endpoint);
        if endpoint.headroom() > 0 {
            return Choice::Endpoint(Arc::clone(endpoint));
        }
    }
    if any_serves {
        Choice::Full
    } else {
        Choice::Unserved
    }
}

fn accepts_work(endpoint: &EndpointState) -> bool {
    !endpoint.is_leaving() && endpoint.share() > 0
}
