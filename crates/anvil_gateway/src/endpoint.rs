//! One endpoint: its connections, its known load and its rate limit.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::engine::{EndpointView, EngineRule, Prompt};
use anvil_policy::rate_share::{Clocks, RateShare, RouterRank};
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvilreel::event;
use slog::Logger;
use tokio::time::Instant;

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
    leaving: AtomicBool,
    load: Mutex<EndpointView>,
    rate_share: Mutex<RateShare>,
    warm_up: Mutex<EndpointWarmUp>,
    pause: Mutex<EndpointPause>,
}

impl Endpoint {
    /// Creates it from an entry of the platform's list, with the queue of its service.
    pub fn new(listed: &ListedEndpoint, queue: Arc<ServiceQueue>) -> Self {
        Self {
            id: listed.id.clone(),
            service: listed.service.clone(),
            addr: listed.addr,
            zone: listed.zone.clone(),
            version: listed.version.clone(),
            slots: listed.slots,
            content_scope: ContentScope::new(&listed.service, &listed.version),
            pool: ConnectionPool::new(listed.addr),
            queue,
            leaving: AtomicBool::new(listed.leaving),
            load: Mutex::default(),
            rate_share: Mutex::default(),
            warm_up: Mutex::default(),
            pause: Mutex::default(),
        }
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
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks it as leaving. Returns whether that is new. An incarnation never becomes ready again,
    /// so a lagging list can't remove the mark.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
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
    unprocessed_tokens: Tokens,
    taken_at: Instant,
    taken_now: Now,
    has_response: bool,
}

impl EndpointSlot {
    /// Takes a slot.
    pub fn take(
        endpoint: Arc<Endpoint>,
        now: Now,
        rule: &EngineRule,
        prompt: &Prompt<'_>,
        unprocessed_tokens: Tokens,
    ) -> Self {
        endpoint
            .load()
            .record_start(now, rule, prompt, unprocessed_tokens);
        endpoint.queue.record_sent();
        Self {
            endpoint,
            unprocessed_tokens,
            taken_at: Instant::now(),
            taken_now: now,
            has_response: false,
        }
    }

    /// Records that the response has begun, so the prompt has been processed.
    pub fn response_started(&mut self) {
        if self.has_response {
            return;
        }
        self.has_response = true;
        let had_prompt = self.unprocessed_tokens > 0;
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
        let unprocessed_tokens = std::mem::take(&mut self.unprocessed_tokens);
        self.endpoint.load().end_prefill(unprocessed_tokens);
    }
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        self.end_prefill();
        self.endpoint.load().record_end();
        // A refusal says nothing of how long requests take.
        let held = self.has_response.then(|| self.taken_at.elapsed());
        self.endpoint.queue.record_end(held);
    }
}
