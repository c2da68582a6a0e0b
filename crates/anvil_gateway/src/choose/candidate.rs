//! The endpoints among which one is selected, with what is expected of each for one request.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::copying::{Copying, MissingTokens};
use anvil_policy::engine::home::WeightedRank;
use anvil_policy::engine::memory::MemoryDemand;
use anvil_policy::engine::{EngineRule, Prompt};
use anvil_policy::rate_share::{Clocks, RouterRank};
use anvil_policy::room::EngineRoom;
use anvil_world::prelude::*;

use super::unplaced::EndpointWait;
use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::pauses::PauseBar;
use crate::warm_up::WarmUpTerms;

/// Expected wait for one more request at a non-engine endpoint whose slots are all in use.
const FULL_ENDPOINT_WAIT: Duration = Duration::from_millis(30);

/// Usual duration of a request at a non-engine endpoint.
const PLAIN_WORK: Duration = Duration::from_millis(40);
/// Cost of a retry after a bad response.
const RETRY_COST: Duration = PLAIN_WORK;

/// What applies to all engines among which one is selected.
pub(super) struct EngineTerms<'a> {
    /// How fast they work.
    pub(super) rule: EngineRule,
    /// The home of the prompt's shared prefix.
    pub(super) home: Option<&'a Arc<Endpoint>>,
    /// How they copy from each other, if that is much faster than prefill.
    pub(super) copying: Option<Copying>,
    /// What the request would add to their memory, if the table states how large that is.
    pub(super) memory: Option<MemoryDemand>,
    /// Tokens of the request: its prompt and expected output.
    pub(super) held_tokens: Tokens,
}

/// An endpoint with the estimate for this request.
pub(super) struct Candidate<'a> {
    pub(super) endpoint: &'a Arc<Endpoint>,
    /// Time to the first token if all missing prompt tokens are processed.
    pub(super) expected: Duration,
    /// Whether it processes the request's prompt.
    pub(super) is_engine: bool,
    /// What it costs other requests if the prompt's shared prefix is processed there.
    pub(super) reload_cost: Duration,
    /// Prompt tokens that are not cached there.
    pub(super) missing: MissingTokens,
    /// Whether the request fits into its memory.
    pub(super) has_memory: bool,
    /// Whether it failed recently and is on cooldown.
    pub(super) on_cooldown: bool,
    /// How the pause that it asked for bars it.
    pub(super) pause: PauseBar,
}

impl Candidate<'_> {
    /// Whether the engine has room for a request that can wait.
    pub(super) fn has_engine_room(&self, now: Now, within: Duration) -> bool {
        let load = self.endpoint.load();
        let room = EngineRoom {
            requests: load.estimated_requests(now),
            slots: load.slots(self.endpoint.slots).max(1),
            expected: self.expected,
            has_pending_prompts: load.pending_prefill > 0,
        };
        room.allows(within)
    }

    /// Whether it may take over a request whose endpoint may still respond: it would begin at once.
    pub(super) fn may_replace_another(&self, now: Now, within: Duration) -> bool {
        let has_room = if self.is_engine {
            self.has_engine_room(now, within)
        } else {
            self.endpoint.has_free_slot(now)
        };
        has_room && !self.on_cooldown
    }

    /// Time until the endpoint accepts the request, by its limit, its warm-up and its pause.
    pub(super) fn wait(
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

impl Gateway {
    /// What applies to all engines of a service for this prompt.
    pub(super) fn engine_terms<'a>(
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

    /// What is expected of an endpoint for this prompt.
    pub(super) fn estimate<'a>(
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
        let has_memory = memory.is_none_or(|demand| load.has_memory_for(now, demand));
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
                has_memory,
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
            has_memory,
            on_cooldown,
            pause,
        }
    }
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
