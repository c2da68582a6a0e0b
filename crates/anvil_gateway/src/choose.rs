//! Selects an endpoint for a request, by expected time to the first token.

mod engine_estimates;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_policy::copying::{self, Copying, MissingTokens};
use anvil_policy::engine::home::WeightedRank;
use anvil_policy::engine::memory::MemoryDemand;
use anvil_policy::engine::{EngineRule, Prompt};
use anvil_policy::rate_share::{Clocks, RouterRank};
use anvil_policy::room::{EngineRoom, guaranteed_requests};
use anvil_world::prelude::*;

pub use self::engine_estimates::EngineEstimates;
use crate::endpoint::{Endpoint, EndpointSlot, SlotWork};
use crate::gateway::Gateway;
use crate::metrics;
use crate::pauses::PauseBar;
use crate::regions::Constraints;
use crate::table::Route;
use crate::warm_up::WarmUpTerms;

/// The selected endpoint, and the data behind the decision.
pub struct Selection {
    /// The slot taken at the endpoint.
    pub slot: EndpointSlot,
    /// Expected time to the first token.
    pub expected: Duration,
    /// Prompt tokens that the endpoint has to process.
    pub missing_tokens: Tokens,
    /// The engine from which it copies the prompt's cached prefix.
    pub copy_from: Option<SocketAddr>,
    /// The endpoint's known load and its age, for the trace.
    pub load_summary: String,
}

/// Why no endpoint was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unplaced {
    /// No endpoint accepts work.
    Nobody,
    /// No endpoint of the software version that began the stream accepts work, but others do.
    VersionGone,
    /// Only endpoints accept work whose software version crashes under the request.
    CrashesEndpoints,
    /// No endpoint is in a region in which the request may run.
    OutsideRegions,
    /// All endpoints are in availability zones that operators have evacuated.
    Evacuated,
    /// The best endpoint would respond too late: after this time.
    TooLate(Duration),
    /// All endpoints are at their limits, announced or of their warm-up; the first one accepts another
    /// request after this time.
    AtLimit(Duration),
    /// All endpoints have asked for a pause; the first one ends after this time.
    Paused(Duration),
    /// Some endpoints have asked for a pause, and the others bear no more.
    Full,
    /// The request would overfill the memory of every engine.
    OutOfMemory,
    /// No endpoint has room: a request would wait there for longer than its target allows.
    Busy,
}

/// Limits on the expected time to the first token for a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementTerms {
    /// Its response must be expected within this time.
    pub within: Duration,
    /// If it can wait in front of the endpoints: it is placed only while an endpoint has room, where
    /// its response is expected within this time, or would not be delayed by other requests.
    pub with_room_within: Option<Duration>,
}

/// Expected wait for one more request at a non-engine endpoint whose slots are all in use.
const FULL_ENDPOINT_WAIT: Duration = Duration::from_millis(30);

/// Usual duration of a request at a non-engine endpoint.
const PLAIN_WORK: Duration = Duration::from_millis(40);
/// Cost of a retry after a bad response.
const RETRY_COST: Duration = PLAIN_WORK;

impl Gateway {
    /// Selects one of a route's services at random, by weight.
    pub fn pick_service(&self, route: &Route) -> Option<ServiceId> {
        let total: u32 = route.services.iter().map(|(_, weight)| *weight).sum();
        if total == 0 {
            return None;
        }
        let mut remaining = rand::random_range(0..total);
        let found = route.services.iter().find(|(_, weight)| {
            let is_selected = remaining < *weight;
            remaining = remaining.saturating_sub(*weight);
            is_selected
        });
        found.map(|(service, _)| service.clone())
    }

    fn why_none_is_available(&self, service: &str, constraints: Constraints<'_>) -> Unplaced {
        if self.is_outside(service, constraints.regions) {
            return Unplaced::OutsideRegions;
        }
        if self.directory.is_evacuated(service) {
            return Unplaced::Evacuated;
        }
        let any_contents = Constraints {
            contents: None,
            ..constraints
        };
        if !self.available_endpoints(service, any_contents).is_empty() {
            return Unplaced::CrashesEndpoints;
        }
        let any_version = Constraints {
            version: None,
            avoided: &[],
            ..any_contents
        };
        if !self.available_endpoints(service, any_version).is_empty() {
            return Unplaced::VersionGone;
        }
        Unplaced::Nobody
    }

    /// Selects among the endpoints of a service that satisfy the constraints.
    ///
    /// Endpoints that failed recently are used only if no others are left: an attempt there may
    /// still succeed, a refusal can't. Endpoints that asked for a pause receive nothing in it, and
    /// those that announced a limit or are warming up receive at most this gateway's share of what
    /// they tolerate.
    pub fn select_endpoint(
        &self,
        service: &str,
        prompt: &Prompt<'_>,
        constraints: Constraints<'_>,
        placement: PlacementTerms,
    ) -> Result<Selection, Unplaced> {
        let now = self.lifecycle.now();
        let available = self.available_endpoints(service, constraints);
        if available.is_empty() {
            return Err(self.why_none_is_available(service, constraints));
        }
        let terms = self.engine_terms(service, prompt, &available);
        let candidate = |endpoint| self.estimate(now, prompt, &terms, endpoint);
        let warm_up = self.warm_up_terms(service);
        let candidates: Vec<Candidate<'_>> = available.iter().map(candidate).collect();
        let best = self.reserve_best(now, &candidates, warm_up.as_ref(), placement)?;
        let source = copy_source(&terms, prompt, best, &candidates);
        let missing_tokens = source
            .as_ref()
            .map_or(best.missing.with_home, |source| source.equivalent_tokens);
        let load_summary = best.endpoint.load().describe(now);
        let work = SlotWork {
            unprocessed_tokens: missing_tokens,
            held_tokens: terms.held_tokens,
        };
        let mut slot = EndpointSlot::take(best.endpoint.clone(), now, &terms.rule, prompt, work);
        if source.is_some() {
            // The time includes that of the copy.
            slot.disregard_first_event();
        }
        Ok(Selection {
            slot,
            expected: best.expected,
            missing_tokens,
            copy_from: source.map(|source| source.addr),
            load_summary,
        })
    }

    /// Whether there is room for a request that can wait, see [`anvil_policy::room`].
    fn has_room(&self, now: Now, accepting: &[&Candidate<'_>], within: Duration) -> bool {
        let Some(first) = accepting.first() else {
            return false;
        };
        let queue = &first.endpoint.queue;
        let slots = accepting.iter().map(|one| one.endpoint.slots);
        let slots = slots.fold(0, u32::saturating_add);
        let routers = self.gateway_count.load(Ordering::Relaxed);
        if queue.in_flight() < guaranteed_requests(slots, routers) {
            return true;
        }
        if first.is_engine {
            return accepting.iter().any(|one| one.has_engine_room(now, within));
        }
        queue.has_window_room()
    }

    /// Selects the best candidate that accepts a request now, and counts the request against its
    /// limit.
    fn reserve_best<'a>(
        &self,
        now: Now,
        candidates: &'a [Candidate<'a>],
        warm_up: Option<&WarmUpTerms>,
        terms: PlacementTerms,
    ) -> Result<&'a Candidate<'a>, Unplaced> {
        // A clock before the epoch still yields valid time windows.
        let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = Clocks {
            now,
            time_of_day: time_of_day.unwrap_or_default(),
        };
        let position = self.share_position();
        let mut accepting = Vec::new();
        let mut shortest_wait = EndpointWait::MAX;
        for candidate in candidates {
            let wait = candidate.wait(warm_up, at, position);
            if wait.is_zero() {
                accepting.push(candidate);
            }
            shortest_wait = shortest_wait.min(wait);
        }
        if !accepting.is_empty() && candidates.iter().any(|other| other.pause.is_paused) {
            accepting.retain(|candidate| candidate.endpoint.bears_another(now));
            if accepting.is_empty() {
                return Err(Unplaced::Full);
            }
        }
        let with_room = accepting.iter().filter(|candidate| candidate.has_room);
        if with_room.count() < accepting.len() {
            self.metrics.count(metrics::ATTEMPTS_BESIDE_FULL_MEMORY);
            accepting.retain(|candidate| candidate.has_room);
            if accepting.is_empty() {
                return Err(Unplaced::OutOfMemory);
            }
        }
        if let Some(within) = terms.with_room_within
            && !accepting.is_empty()
            && !self.has_room(now, &accepting, within)
        {
            return Err(Unplaced::Busy);
        }
        let preference = |candidate: &&Candidate<'_>| {
            let is_late = candidate.expected > terms.within;
            let reload_cost = if is_late {
                Duration::ZERO
            } else {
                candidate.reload_cost
            };
            let cost = candidate.expected + reload_cost;
            (candidate.on_cooldown, is_late, cost)
        };
        while let Some(best) = accepting.iter().copied().min_by_key(preference) {
            if best.expected > terms.within {
                return Err(Unplaced::TooLate(best.expected));
            }
            let is_warm_enough =
                warm_up.is_none_or(|terms| best.endpoint.try_count_in_warm_up(terms, at));
            if is_warm_enough
                && best.endpoint.try_count_request(at, position)
                && best.endpoint.try_count_after_pause(now, &self.log)
            {
                return Ok(best);
            }
            // A concurrent request took the last one allowed.
            accepting.retain(|candidate| candidate.endpoint.id != best.endpoint.id);
        }
        Err(shortest_wait.into())
    }

    fn engine_terms<'a>(
        &self,
        service: &str,
        prompt: &Prompt<'_>,
        available: &'a [Arc<Endpoint>],
    ) -> EngineTerms<'a> {
        let estimate = self.engine_estimates.of(service);
        let rule = estimate.speed.apply_to(&self.engine_estimates.prior);
        let table = self.table.load();
        let service = table.as_ref().and_then(|table| table.services.get(service));
        let engine = service.and_then(|service| service.engine);
        let prompt_tokens = prompt.tokens();
        let held_tokens = if prompt_tokens == 0 {
            0
        } else {
            prompt_tokens + estimate.sizes.expected_output(prompt.max_output)
        };
        let memory = engine.filter(|engine| engine.memory_tokens > 0 && held_tokens > 0);
        EngineTerms {
            home: home_of(prompt, available),
            copying: engine.and_then(|engine| {
                Copying::between(engine.bytes_per_token, engine.link_mbps, &rule)
            }),
            memory: memory.map(|engine| MemoryDemand {
                capacity: engine.memory_tokens,
                request: held_tokens,
                mean_request: estimate.sizes.mean().unwrap_or(held_tokens),
            }),
            held_tokens,
            rule,
        }
    }

    /// Network round trip to an endpoint.
    pub(crate) fn round_trip_to(&self, endpoint: &Endpoint) -> Duration {
        if endpoint.zone == self.cfg.zone.id {
            Duration::ZERO
        } else {
            self.engine_estimates.other_zone_round_trip()
        }
    }

    fn estimate<'a>(
        &self,
        now: Now,
        prompt: &Prompt<'_>,
        terms: &EngineTerms<'_>,
        endpoint: &'a Arc<Endpoint>,
    ) -> Candidate<'a> {
        let rule = &terms.rule;
        let load = endpoint.load();
        let network_delay = self.round_trip_to(endpoint);
        let base = network_delay + load.failure_cost(RETRY_COST);
        let on_cooldown = load.is_on_cooldown(now);
        let pause = endpoint.pause_bar(now);
        let memory = terms.memory.as_ref();
        let has_room = memory.is_none_or(|demand| load.has_room(now, demand));
        if prompt.parts.is_empty() {
            let utilisation = f64::from(load.estimated_requests(now))
                / f64::from(load.slots(endpoint.slots).max(1));
            let jitter = Duration::from_micros(rand::random_range(0..500));
            let work = FULL_ENDPOINT_WAIT.mul_f64(utilisation) + PLAIN_WORK;
            return Candidate {
                endpoint,
                expected: base + work.mul_f64(load.work_factor(now)) + jitter,
                is_engine: false,
                reload_cost: Duration::ZERO,
                missing: MissingTokens {
                    by_own_requests: 0,
                    with_home: 0,
                },
                has_room,
                on_cooldown,
                pause,
            };
        }
        let is_home = terms.home.is_some_and(|home| Arc::ptr_eq(home, endpoint));
        let by_own_requests = load.missing_tokens(now, rule, prompt, false);
        let with_home = if is_home {
            load.missing_tokens(now, rule, prompt, true)
        } else {
            by_own_requests
        };
        let expected = load.expected_first_token(now, rule, with_home, endpoint.slots);
        let reload_cost = if terms.copying.is_some() {
            // A prefix that is cached elsewhere is copied.
            Duration::ZERO
        } else {
            load.reload_cost(now, rule, prompt.missing_shared(with_home))
        };
        Candidate {
            endpoint,
            expected: base + expected,
            is_engine: true,
            reload_cost,
            missing: MissingTokens {
                by_own_requests,
                with_home,
            },
            has_room,
            on_cooldown,
            pause,
        }
    }
}

/// What applies to all engines among which one is selected.
struct EngineTerms<'a> {
    /// How fast they work.
    rule: EngineRule,
    /// The home of the prompt's shared prefix.
    home: Option<&'a Arc<Endpoint>>,
    /// How they copy from each other, if that is much faster than prefill.
    copying: Option<Copying>,
    /// What the request would add to their memory, if the table states how large that is.
    memory: Option<MemoryDemand>,
    /// Tokens of the request: its prompt and expected output.
    held_tokens: Tokens,
}

/// An endpoint with the estimate for this request.
struct Candidate<'a> {
    endpoint: &'a Arc<Endpoint>,
    /// Time to the first token if all missing prompt tokens are processed.
    expected: Duration,
    /// Whether it processes the request's prompt.
    is_engine: bool,
    /// What it costs other requests if the prompt's shared prefix is processed there.
    reload_cost: Duration,
    /// Prompt tokens that are not cached there.
    missing: MissingTokens,
    /// Whether the request fits into its memory.
    has_room: bool,
    /// Whether it failed recently and is on cooldown.
    on_cooldown: bool,
    /// How the pause that it asked for bars it.
    pause: PauseBar,
}

impl Candidate<'_> {
    /// Whether the engine has room for a request that can wait.
    fn has_engine_room(&self, now: Now, within: Duration) -> bool {
        let load = self.endpoint.load();
        let room = EngineRoom {
            requests: load.estimated_requests(now),
            slots: load.slots(self.endpoint.slots).max(1),
            expected: self.expected,
            has_pending_prompts: load.pending_prefill > 0,
        };
        room.allows(within)
    }

    fn wait(
        &self,
        warm_up: Option<&WarmUpTerms>,
        at: Clocks,
        position: RouterRank,
    ) -> EndpointWait {
        let endpoint = self.endpoint;
        let warm_up_wait = warm_up.map_or(Duration::ZERO, |terms| endpoint.warm_up_wait(terms, at));
        let by_limit = endpoint.rate_limit_wait(at, position).max(warm_up_wait);
        EndpointWait {
            time: by_limit.max(self.pause.wait),
            by_pause: self.pause.wait > by_limit,
        }
    }
}

/// Time until an endpoint accepts another request of this gateway, by what bars it until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EndpointWait {
    time: Duration,
    by_pause: bool,
}

impl EndpointWait {
    const MAX: Self = Self {
        time: Duration::MAX,
        by_pause: true,
    };

    fn is_zero(self) -> bool {
        self.time.is_zero()
    }
}

impl From<EndpointWait> for Unplaced {
    fn from(wait: EndpointWait) -> Self {
        if wait.by_pause {
            Self::Paused(wait.time)
        } else {
            Self::AtLimit(wait.time)
        }
    }
}

/// An engine from which another one copies a cached prefix.
struct CopySource {
    addr: SocketAddr,
    /// Tokens whose processing takes as long as copying the prefix and processing the rest.
    equivalent_tokens: Tokens,
}

/// The engine to copy the prefix from, if copying is much faster than recomputing it.
fn copy_source(
    terms: &EngineTerms<'_>,
    prompt: &Prompt<'_>,
    selected: &Candidate<'_>,
    candidates: &[Candidate<'_>],
) -> Option<CopySource> {
    prompt.shared_prefix()?;
    let copying = terms.copying?;
    let others = candidates
        .iter()
        .filter(|other| !other.on_cooldown && !other.pause.is_paused);
    let others = others.filter(|other| other.endpoint.id != selected.endpoint.id);
    let others: Vec<_> = others
        .map(|other| (other.endpoint.addr, other.missing))
        .collect();
    let (addr, source_missing) = copying::source(selected.missing, &others)?;
    Some(CopySource {
        addr,
        equivalent_tokens: copying.equivalent_missing(
            selected.missing.with_home,
            source_missing,
            &terms.rule,
        ),
    })
}

fn home_of<'a>(prompt: &Prompt<'_>, endpoints: &'a [Arc<Endpoint>]) -> Option<&'a Arc<Endpoint>> {
    let subject = prompt.shared_prefix()?;
    let ranked = endpoints.iter().map(|endpoint| {
        let weight = endpoint.load().home_weight();
        (endpoint, WeightedRank::new(subject, &endpoint.id, weight))
    });
    let home = ranked.reduce(|best, other| {
        if other.1.is_above(&best.1) {
            other
        } else {
            best
        }
    });
    home.map(|(endpoint, _)| endpoint)
}
