//! One endpoint: its connections, its known load and its rate limit.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use anvil_policy::engine::speed::WorkAhead;
use anvil_policy::engine::{EndpointView, EngineRule, Prompt};
use anvil_policy::incarnation;
use anvil_policy::rate_share::{Clocks, RateShare, RouterRank};
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvilreel::event;
use slog::Logger;
use tokio::time::Instant;

use crate::choose::EngineEstimates;
use crate::dialect::ReportedLoad;
use crate::log_events as events;
use crate::pauses::EndpointPause;
use crate::pool::ConnectionPool;
use crate::shared_content::ContentScope;
use crate::wait::{ServiceQueue, Wake};
use crate::warm_up::EndpointWarmUp;

/// One incarnation of an endpoint.
pub struct Endpoint {
    /// Its id, unique to the incarnation.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Requests that it runs concurrently, as listed.
    pub slots: u32,
    /// Where contents run that requests share.
    pub content_scope: ContentScope,
    /// Connections to it.
    pub pool: ConnectionPool,
    /// Requests that wait for an endpoint of its service.
    pub queue: Arc<ServiceQueue>,
    ending: OnceLock<Ending>,
    load: Mutex<EndpointView>,
    rate_share: Mutex<RateShare>,
    warm_up: Mutex<EndpointWarmUp>,
    pause: Mutex<EndpointPause>,
}

/// The end of an incarnation, from when it is first known.
#[derive(Debug, Clone, Copy)]
struct Ending {
    known_at: Instant,
    /// Whether another incarnation has its address.
    is_replaced: bool,
}

impl Endpoint {
    /// Creates it from an entry of the platform's list, with the queue of its service.
    pub fn new(listed: &ListedEndpoint, queue: Arc<ServiceQueue>) -> Self {
        let endpoint = Self {
            id: listed.id.clone(),
            service: listed.service.clone(),
            addr: listed.addr,
            zone: listed.zone.clone(),
            version: listed.version.clone(),
            slots: listed.slots,
            content_scope: ContentScope::new(&listed.service, &listed.version),
            pool: ConnectionPool::new(listed.addr),
            queue,
            ending: OnceLock::new(),
            load: Mutex::default(),
            rate_share: Mutex::default(),
            warm_up: Mutex::default(),
            pause: Mutex::default(),
        };
        if listed.leaving {
            endpoint.mark_leaving();
        }
        endpoint
    }

    /// Whether an entry of the platform's list still names the same incarnation.
    pub fn is_listed_as(&self, listed: &ListedEndpoint) -> bool {
        self.id == listed.id
            && self.addr == listed.addr
            && self.service == listed.service
            && self.version == listed.version
    }

    /// Whether it accepts no new requests.
    pub fn is_leaving(&self) -> bool {
        self.ending.get().is_some()
    }

    /// Since when it is known that it accepts no new requests; `None` if it does.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.ending.get().map(|ending| ending.known_at)
    }

    /// Marks it as leaving. Returns whether that is new. An incarnation never becomes ready again,
    /// so a lagging list can't remove the mark.
    pub fn mark_leaving(&self) -> bool {
        self.mark_ending(false)
    }

    /// Marks it as ended, since another incarnation answers at its address.
    pub fn mark_replaced(&self) {
        self.mark_ending(true);
    }

    fn mark_ending(&self, is_replaced: bool) -> bool {
        let ending = Ending {
            known_at: Instant::now(),
            is_replaced,
        };
        self.ending.set(ending).is_ok()
    }

    /// Whether a list read `list_age` ago that names its id as ready shows a new incarnation. A list may
    /// name a replaced one for long after its end, so it never does for that.
    pub fn has_restarted(&self, list_age: Duration, max_lag: Duration) -> bool {
        self.ending.get().is_some_and(|ending| {
            !ending.is_replaced && incarnation::is_new(ending.known_at.elapsed(), list_age, max_lag)
        })
    }

    /// Its known load.
    pub fn load(&self) -> MutexGuard<'_, EndpointView> {
        // Sound after a panic elsewhere: each number is valid by itself.
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its warm-up.
    pub fn warm_up(&self) -> MutexGuard<'_, EndpointWarmUp> {
        // Sound after a panic elsewhere: each value is valid by itself.
        self.warm_up.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The pause it has asked for.
    pub fn pause(&self) -> MutexGuard<'_, EndpointPause> {
        // Sound after a panic elsewhere: each value is valid by itself.
        self.pause.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The limit it has announced to all gateways together, if any.
    pub fn limit(&self) -> Option<RateLimit> {
        self.rate_share().limit()
    }

    /// Applies the limit announced in the response to a request sent at `sent_at`, or its absence.
    pub fn apply_announced_limit(
        &self,
        now: Now,
        sent_at: Now,
        limit: Option<RateLimit>,
        log: &Logger,
    ) {
        if self.rate_share().apply_answer(now, sent_at, limit) {
            self.log_limit("heard", log);
        }
    }

    /// Applies the limit reported by the ledger, or its end.
    pub fn apply_reported_limit(&self, now: Now, limit: Option<RateLimit>, log: &Logger) {
        if self.rate_share().set_limit(now, limit) {
            self.log_limit("told", log);
        }
    }

    fn log_limit(&self, how: &str, log: &Logger) {
        event!(
            log, events::GATEWAY_ENDPOINT_LIMIT, "endpoint" => &*self.id,
            "per_thousand_seconds" => self.limit(), "how" => how
        );
    }

    /// Requests sent since the limit is known, and thousandths of requests this gateway could have
    /// sent.
    pub fn limit_used(&self, now: Now, position: RouterRank) -> (u64, u64) {
        self.rate_share().usage(now, position)
    }

    /// Time until the limit allows another request; zero if it does now.
    pub fn rate_limit_wait(&self, clocks: Clocks, position: RouterRank) -> Duration {
        let position = position.at_endpoint(&self.id);
        self.rate_share().time_until_send(clocks, position)
    }

    /// Counts a request that is about to be sent. Returns false if the limit does not allow it.
    pub fn try_count_request(&self, clocks: Clocks, position: RouterRank) -> bool {
        let position = position.at_endpoint(&self.id);
        self.rate_share().try_send(clocks, position)
    }

    fn rate_share(&self) -> MutexGuard<'_, RateShare> {
        // Sound after a panic elsewhere: each number is valid by itself.
        self.rate_share
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a failed request and puts the endpoint on cooldown.
    pub fn record_failure(&self, now: Now, log: &Logger, reason: &str) {
        let mut load = self.load();
        let was_on_cooldown = load.is_on_cooldown(now);
        load.record_failure(now);
        if !was_on_cooldown {
            event!(
                log, events::GATEWAY_ENDPOINT_SHUT,
                "endpoint" => &*self.id, "why" => reason, "failures" => load.failures()
            );
        }
    }

    /// Whether it has a slot for another request.
    pub fn has_free_slot(&self, now: Now) -> bool {
        !self.is_full(&self.load(), now)
    }

    /// Whether all its slots are in use.
    fn is_full(&self, load: &EndpointView, now: Now) -> bool {
        load.estimated_requests(now) >= load.slots(self.slots)
    }

    /// Applies the load that the endpoint reports.
    pub fn apply_load(&self, now: Now, load: &ReportedLoad) {
        let mut view = self.load();
        let was_full = self.is_full(&view, now);
        view.apply_report(now, load.running, load.queued, load.slots);
        if let Some(percent) = load.work_percent {
            view.apply_pace(now, percent);
        }
        let has_room_again = was_full && !self.is_full(&view, now);
        drop(view);
        self.queue
            .record_report(load.running.saturating_add(load.queued), load.slots);
        if has_room_again {
            self.queue.free_place(Wake::Place);
        }
    }
}

/// A slot at an endpoint, held by one request and released on drop.
pub struct EndpointSlot {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    work: SlotWork,
    taken_at: Instant,
    taken_now: Now,
    has_response: bool,
    /// Set until the first event, if that shows how fast the endpoint works.
    prefill: Option<Prefill>,
    /// Tokens of the prompt.
    prompt_tokens: Tokens,
    /// Tokens of output that have come.
    output_tokens: Tokens,
    /// Whether the output that comes is the beginning of the response.
    began_response: bool,
}

/// What a request means for the endpoint that holds it.
#[derive(Debug, Clone, Copy)]
pub struct SlotWork {
    /// Tokens of the prompt that it has to process.
    pub unprocessed_tokens: Tokens,
    /// Tokens in its memory: the prompt and the expected output.
    pub held_tokens: Tokens,
}

/// The work that the endpoint does before the first event.
#[derive(Debug, Clone, Copy)]
struct Prefill {
    ahead: WorkAhead,
    sent_at: Now,
}

impl EndpointSlot {
    /// Takes a slot.
    pub fn take(
        endpoint: Arc<Endpoint>,
        now: Now,
        rule: &EngineRule,
        prompt: &Prompt<'_>,
        work: SlotWork,
    ) -> Self {
        let mut load = endpoint.load();
        let ahead = load.work_ahead(now, rule, prompt, work.unprocessed_tokens, endpoint.slots);
        load.record_start(now, rule, prompt, work.unprocessed_tokens);
        load.hold_tokens(work.held_tokens);
        drop(load);
        endpoint.queue.record_sent();
        Self {
            endpoint,
            work,
            taken_at: Instant::now(),
            taken_now: now,
            has_response: false,
            prompt_tokens: prompt.tokens(),
            output_tokens: 0,
            began_response: false,
            prefill: Some(Prefill {
                ahead,
                sent_at: now,
            }),
        }
    }

    /// When it was taken.
    pub fn taken_at(&self) -> Instant {
        self.taken_at
    }

    /// Records that the time of the first event doesn't show how fast the endpoint works.
    pub fn disregard_first_event(&mut self) {
        self.prefill = None;
    }

    /// Records that the request is sent now, on a connection.
    pub fn request_sent(&mut self, now: Now) {
        if let Some(prefill) = &mut self.prefill {
            let pending = self.endpoint.load().pending_prefill;
            prefill.ahead.pending_tokens = pending.saturating_sub(self.work.unprocessed_tokens);
            prefill.sent_at = now;
        }
    }

    /// Records that the first event of the response has come, which shows how fast the endpoint
    /// works; `round_trip` is the part of its time that the network took. Further calls have no
    /// effect.
    pub fn record_first_event(
        &mut self,
        now: Now,
        estimates: &EngineEstimates,
        round_trip: Duration,
        log: &Logger,
    ) {
        self.began_response = true;
        let Some(Prefill { ahead, sent_at }) = self.prefill.take() else {
            return;
        };
        let endpoint = &self.endpoint;
        let took = now.saturating_sub(sent_at).saturating_sub(round_trip);
        let mut load = endpoint.load();
        let prior = &estimates.prior;
        let has_changed = estimates.update(&endpoint.service, |service| {
            let speed = &mut service.speed;
            load.record_first_event(now, prior, speed, &ahead, took, endpoint.slots)
        });
        if has_changed {
            event!(
                log, events::GATEWAY_ENGINE_SPEED, "endpoint" => &*endpoint.id,
                "service" => &*endpoint.service, "speed" => load.speed().factor(),
                "step" => load.speed().step()
            );
        }
    }

    /// Records that the response has begun, so the prompt has been processed.
    pub fn response_started(&mut self) {
        if self.has_response {
            return;
        }
        self.has_response = true;
        let had_prompt = self.work.unprocessed_tokens > 0;
        self.end_prefill();
        let (endpoint, after) = (&self.endpoint, self.taken_at.elapsed());
        endpoint.queue.record_response(after);
        // An engine that has processed a prompt has room for another one, if it has a slot.
        if had_prompt {
            let has_slot = || endpoint.has_free_slot(self.taken_now + after);
            endpoint.queue.free_place_if(Wake::Place, has_slot);
        }
    }

    fn end_prefill(&mut self) {
        let unprocessed_tokens = std::mem::take(&mut self.work.unprocessed_tokens);
        self.endpoint.load().end_prefill(unprocessed_tokens);
    }

    /// Records output. What exceeds the expected output is counted in the endpoint's memory.
    pub fn record_output(&mut self, tokens: Tokens) {
        self.output_tokens += tokens;
        let held = self.prompt_tokens + self.output_tokens;
        if self.prompt_tokens > 0 && held > self.work.held_tokens {
            let excess = held - self.work.held_tokens;
            self.work.held_tokens = held;
            self.endpoint.load().hold_tokens(excess);
        }
    }

    /// Records that the response is complete, which shows how large requests are.
    pub fn record_completed(&self, estimates: &EngineEstimates) {
        if self.began_response && self.prompt_tokens > 0 {
            estimates.update(&self.endpoint.service, |service| {
                service.sizes.record(self.prompt_tokens, self.output_tokens);
            });
        }
    }
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        self.end_prefill();
        let mut load = self.endpoint.load();
        load.record_end();
        load.release_tokens(self.work.held_tokens);
        drop(load);
        // A refusal says nothing of how long requests take.
        let held = self.has_response.then(|| self.taken_at.elapsed());
        self.endpoint.queue.record_end(held);
    }
}
