//! One endpoint that is called directly: its connections and what is known of its load.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::engine::{EndpointLoad, EngineRule, Prompt};
use anvil_policy::rate_share::{Clocks, RateShare, Turn};
use anvil_wire::msg::Listed;
use anvil_world::prelude::*;
use anvilreel::event;
use slog::Logger;

use crate::dialect::Load;
use crate::log_events as events;
use crate::pool::Pool;

/// One endpoint in one life.
pub struct Endpoint {
    /// Its id; another life has another one.
    pub id: InstanceId,
    /// What it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands.
    pub zone: ZoneId,
    /// Requests that it works on side by side, as listed.
    pub slots: u32,
    /// Connections to it.
    pub pool: Pool,
    leaving: AtomicBool,
    load: Mutex<EndpointLoad>,
    rate_share: Mutex<RateShare>,
}

impl Endpoint {
    /// As the platform lists it.
    pub fn new(listed: &Listed) -> Self {
        Self {
            id: listed.id.clone(),
            service: listed.service.clone(),
            addr: listed.addr,
            zone: listed.zone.clone(),
            slots: listed.slots,
            pool: Pool::new(listed.addr),
            leaving: AtomicBool::new(listed.leaving),
            load: Mutex::default(),
            rate_share: Mutex::default(),
        }
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks it as leaving. Returns whether that is news. An endpoint never comes back in the
    /// same life, so a list that lags can't take the mark away.
    pub fn leave(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// What is known of its load.
    pub fn load(&self) -> MutexGuard<'_, EndpointLoad> {
        // A panic elsewhere leaves plain numbers, each of them valid.
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What it takes from all routers together, as far as is known.
    pub fn limit(&self) -> Option<RateLimit> {
        self.rate_share().limit()
    }

    /// An answer of its to a request sent at `sent` announces this limit, or none.
    pub fn limit_heard(&self, now: Now, sent: Now, word: Option<RateLimit>, log: &Logger) {
        if self.rate_share().heard(now, sent, word) {
            self.log_limit("heard", log);
        }
    }

    /// The ledger tells of its limit, or that there is none any more.
    pub fn limit_told(&self, now: Now, limit: Option<RateLimit>, log: &Logger) {
        if self.rate_share().told(now, limit) {
            self.log_limit("told", log);
        }
    }

    fn log_limit(&self, how: &str, log: &Logger) {
        event!(
            log, events::GATEWAY_ENDPOINT_LIMIT, "endpoint" => &*self.id,
            "per_thousand_seconds" => self.limit(), "how" => how
        );
    }

    /// Requests sent since its limit is known, and thousandths of those that this gateway might have sent.
    pub fn limit_used(&self, now: Now, turn: Turn) -> (u64, u64) {
        self.rate_share().used(now, turn)
    }

    /// Time until it may be sent a request; nothing when it may be now.
    pub fn opens_in(&self, at: Clocks, turn: Turn) -> Duration {
        self.rate_share().opens_in(at, turn)
    }

    /// Counts a request that is about to be sent; false where it may not be.
    pub fn takes_one(&self, at: Clocks, turn: Turn) -> bool {
        self.rate_share().send(at, turn)
    }

    fn rate_share(&self) -> MutexGuard<'_, RateShare> {
        // A panic elsewhere leaves numbers and times, each of them valid.
        self.rate_share
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// It failed a request: it is passed over for a while.
    pub fn failed(&self, now: Now, log: &Logger, why: &str) {
        let mut load = self.load();
        let was_shut = load.is_shut(now);
        load.failed(now);
        if !was_shut {
            event!(
                log, events::GATEWAY_ENDPOINT_SHUT,
                "endpoint" => &*self.id, "why" => why, "failures" => load.failures()
            );
        }
    }

    /// Takes in its own word on its load.
    pub fn heard(&self, now: Now, load: &Load) {
        self.load()
            .heard(now, load.running, load.waiting, load.slots);
    }
}

/// A place at an endpoint that one request holds. Dropping it gives the place back.
pub struct Place {
    /// Where.
    pub endpoint: Arc<Endpoint>,
    unread: Tokens,
}

impl Place {
    /// Takes a place.
    pub fn take(
        endpoint: Arc<Endpoint>,
        now: Now,
        rule: &EngineRule,
        prompt: &Prompt<'_>,
        unread: Tokens,
    ) -> Self {
        endpoint.load().start(now, rule, prompt, unread);
        Self { endpoint, unread }
    }

    /// The first piece of the answer is here: the prompt has been read.
    pub fn answered(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.endpoint.load().read(unread);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.answered();
        self.endpoint.load().end();
    }
}
