//! Selects an endpoint for a request, by expected time to the first token.

mod candidate;
mod copy_source;
mod engine_estimates;
mod unplaced;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_policy::engine::Prompt;
use anvil_policy::rate_share::Clocks;
use anvil_policy::room::guaranteed_requests;
use anvil_world::prelude::*;

use self::candidate::Candidate;
use self::copy_source::copy_source;
pub use self::engine_estimates::EngineEstimates;
use self::unplaced::EndpointWait;
pub use self::unplaced::Unplaced;
use crate::endpoint::{EndpointSlot, SlotWork};
use crate::gateway::Gateway;
use crate::metrics;
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

/// Limits on the expected time to the first token for a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementTerms {
    /// Its response must be expected within this time.
    pub within: Duration,
    /// If it can wait in front of the endpoints: it is placed only while an endpoint has room,
    /// where its response is expected within this time, or would not be delayed by other requests.
    pub with_room_within: Option<Duration>,
    /// Whether another endpoint holds the request and may still respond: it is placed only
    /// where there is room and no request has failed recently.
    pub is_replacement: bool,
}

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
        if terms.is_replacement && !accepting.is_empty() {
            accepting.retain(|one| one.may_replace_another(now, terms.within));
            if accepting.is_empty() {
                return Err(Unplaced::Busy);
            }
        }
        if !accepting.is_empty() && candidates.iter().any(|other| other.pause.is_paused) {
            accepting.retain(|candidate| candidate.endpoint.bears_another(now));
            if accepting.is_empty() {
                return Err(Unplaced::Full);
            }
        }
        let with_memory = accepting.iter().filter(|candidate| candidate.has_memory);
        if with_memory.count() < accepting.len() {
            self.metrics.count(metrics::ATTEMPTS_MEMORY_FULL);
            accepting.retain(|candidate| candidate.has_memory);
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
}
