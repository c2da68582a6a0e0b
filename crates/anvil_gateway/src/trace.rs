//! The trace of one request: a single log line at its end, with the decisions taken.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_world::prelude::*;
use anvilreel::event;
use tokio::time::Instant;

use crate::content;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;

/// Collects what happens to a request and logs it on drop, so each request is logged however it
/// ends.
pub struct Trace {
    gw: Arc<Gateway>,
    begun: Instant,
    id: Arc<str>,
    route: Option<Arc<str>>,
    organisation: Option<Arc<str>>,
    table: u64,
    steps: String,
    first: Option<Duration>,
    pause: Duration,
    billed: u64,
    content: Option<RequestDigest>,
    outcome: Option<&'static str>,
}

/// No steps are added beyond this many bytes; a normal request has only a few steps.
const MOST_STEPS: usize = 1_024;

impl Trace {
    /// Starts the trace of a request that has just arrived.
    pub fn new(gw: Arc<Gateway>, id: Arc<str>, begun: Instant) -> Self {
        gw.open.fetch_add(1, Ordering::Relaxed);
        Self {
            gw,
            begun,
            id,
            route: None,
            organisation: None,
            table: 0,
            steps: String::new(),
            first: None,
            pause: Duration::ZERO,
            billed: 0,
            content: None,
            outcome: None,
        }
    }

    /// Records the route, and the version of the routing table that it is from.
    pub fn routed(&mut self, route: &Arc<str>, table: u64) {
        self.route = Some(route.clone());
        self.table = table;
    }

    /// Records the organisation that sent the request.
    pub fn sent_by(&mut self, organisation: &Arc<str>) {
        self.organisation = Some(organisation.clone());
    }

    /// Records one decision with its reasons.
    pub fn step(&mut self, step: std::fmt::Arguments<'_>) {
        if self.steps.len() > MOST_STEPS {
            return;
        }
        let at = self.begun.elapsed().as_millis();
        // Writing to a string can't fail.
        let _ = write!(self.steps, "{at}ms {step}; ");
    }

    /// Records that the response to the client has begun.
    pub fn first_piece(&mut self) {
        self.first.get_or_insert(self.begun.elapsed());
    }

    /// Records the gap between two events of a stream; the longest one is logged.
    pub fn paused(&mut self, pause: Duration) {
        self.pause = self.pause.max(pause);
    }

    /// Records the cost in tokens.
    pub fn billed(&mut self, tokens: u64) {
        self.billed = tokens;
    }

    /// Records the digest that is equal for equal requests.
    pub fn content(&mut self, content: RequestDigest) {
        self.content = Some(content);
    }

    /// Records the outcome. Only the first call has an effect.
    pub fn ended(&mut self, outcome: &'static str) {
        self.outcome.get_or_insert(outcome);
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or("client_left");
        let took = self.begun.elapsed();
        self.gw.open.fetch_sub(1, Ordering::Relaxed);
        self.gw.metrics.count(&format!("requests.{outcome}"));
        self.gw.metrics.time(metrics::TOOK, took);
        if let Some(first) = self.first {
            self.gw.metrics.time(metrics::FIRST_PIECE, first);
        }
        let log = &self.gw.log;
        let took = took.as_millis();
        let first = self.first.map_or(0, |first| first.as_millis());
        let pause = self.pause.as_millis();
        let confirmed = self.gw.confirmed.load(Ordering::Relaxed);
        let held = self.gw.now_ms().saturating_sub(confirmed);
        if outcome == "completed" {
            event!(
                log, events::GATEWAY_REQUEST_COMPLETED,
                "request" => &*self.id, "route" => self.route.as_deref(),
                "organisation" => self.organisation.as_deref(), "table" => self.table,
                "held_ms" => held,
                "first_ms" => first, "pause_ms" => pause, "took_ms" => took, "billed" => self.billed, "steps" => &*self.steps
            );
        } else {
            event!(
                log, events::GATEWAY_REQUEST_FAILED,
                "request" => &*self.id, "outcome" => outcome, "route" => self.route.as_deref(),
                "organisation" => self.organisation.as_deref(), "table" => self.table,
                "held_ms" => held, "content" => self.content.map(content::text),
                "first_ms" => first, "pause_ms" => pause, "took_ms" => took, "billed" => self.billed, "steps" => &*self.steps
            );
        }
    }
}
