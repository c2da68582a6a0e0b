//! The trace of one request: a single log line at its end, with the decisions taken.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_policy::planned_stop::CompleteResponse;
use anvil_world::prelude::*;
use anvilreel::event;
use tokio::time::Instant;

use crate::dialect::PartId;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;
use crate::request_digest;
use crate::stage_times::StageTimes;
use crate::table::Route;

/// Collects what happens to a request and logs it on drop, so each request is logged however it
/// ends.
pub struct Trace {
    gw: Arc<Gateway>,
    started_at: Instant,
    id: Arc<str>,
    route: Option<Arc<str>>,
    organisation: Option<Arc<str>>,
    table_version: u64,
    target_latency: Option<Duration>,
    max_gap: Option<Duration>,
    /// Events that went to the client.
    events: u64,
    /// Output tokens in one event.
    tokens_per_event: Tokens,
    /// Time in each stage up to the beginning of the response.
    pub stages: StageTimes,
    steps: String,
    first_piece_at: Option<Duration>,
    longest_gap: Duration,
    is_client_slow: bool,
    cost: u64,
    prompt_held: Tokens,
    lost_contents: Option<LostContents>,
    outcome: Option<&'static str>,
}

/// Outcome of a request whose client disconnected before the response was complete.
const CLIENT_LEFT: &str = "client_left";
/// Outcome of a request that was still open at the end of a planned stop.
const CUT_BY_STOP: &str = "cut_by_stop";
/// Maximum number of parts of a prompt in one log line.
const MAX_LOGGED_PARTS: usize = 16;
/// No steps are added beyond this many bytes; a normal request has only a few steps.
const MAX_STEPS_BYTES: usize = 1_024;

/// What a request consists of whose response was lost, for the log.
struct LostContents {
    /// Equal for equal requests.
    request: String,
    /// The parts of its prompt.
    parts: String,
}

impl Trace {
    /// Starts the trace of a request that has just arrived.
    pub fn new(gw: Arc<Gateway>, id: Arc<str>, started_at: Instant) -> Self {
        gw.open_requests.fetch_add(1, Ordering::Relaxed);
        Self {
            gw,
            started_at,
            id,
            route: None,
            organisation: None,
            table_version: 0,
            target_latency: None,
            max_gap: None,
            events: 0,
            tokens_per_event: 1,
            stages: StageTimes::new(started_at),
            steps: String::new(),
            first_piece_at: None,
            longest_gap: Duration::ZERO,
            is_client_slow: false,
            cost: 0,
            prompt_held: 0,
            lost_contents: None,
            outcome: None,
        }
    }

    /// Records the route, and the version of the routing table that it is from.
    pub fn record_route(&mut self, route: &Route, table_version: u64) {
        self.route = Some(route.name.clone());
        self.target_latency = Some(route.target_latency);
        self.max_gap = route.max_gap;
        self.table_version = table_version;
    }

    /// Records an event that goes to the client, with its output tokens.
    pub fn record_event(&mut self, tokens: Tokens) {
        self.events += 1;
        self.tokens_per_event = tokens;
    }

    /// Records that the client reads more slowly than events come: what is left of its response says
    /// nothing about the time that others take.
    pub fn record_slow_client(&mut self) {
        self.is_client_slow = true;
    }

    /// Records the organisation that sent the request.
    pub fn record_organisation(&mut self, organisation: &Arc<str>) {
        self.organisation = Some(organisation.clone());
    }

    /// Records one decision with its reasons.
    pub fn step(&mut self, step: std::fmt::Arguments<'_>) {
        if self.steps.len() > MAX_STEPS_BYTES {
            return;
        }
        let at = self.started_at.elapsed().as_millis();
        // Writing to a string can't fail.
        let _ = write!(self.steps, "{at}ms {step}; ");
    }

    /// Records that the response to the client has begun.
    pub fn record_first_piece(&mut self) {
        self.first_piece_at.get_or_insert(self.started_at.elapsed());
        self.stages.end();
    }

    /// Records the gap between two events of a stream; the longest one is logged.
    pub fn record_gap(&mut self, gap: Duration) {
        self.longest_gap = self.longest_gap.max(gap);
    }

    /// Records the cost in tokens.
    pub fn record_cost(&mut self, tokens: u64) {
        self.cost = tokens;
    }

    /// Records the tokens of its prompt that are held for a retry.
    pub fn record_prompt_held(&mut self, tokens: Tokens) {
        self.prompt_held = tokens;
    }

    /// Records what the request consists of, because an endpoint lost its response.
    pub fn record_lost_contents(
        &mut self,
        request_digest: ContentDigest,
        prompt_parts: impl Iterator<Item = PartId>,
    ) {
        self.lost_contents.get_or_insert_with(|| {
            let logged = prompt_parts.take(MAX_LOGGED_PARTS);
            let parts: Vec<_> = logged.map(|part| format!("{part:x}")).collect();
            LostContents {
                request: request_digest::to_hex(request_digest),
                parts: parts.join(" "),
            }
        });
    }

    /// Records the outcome. Only the first call has an effect.
    pub fn record_outcome(&mut self, outcome: &'static str) {
        self.outcome.get_or_insert(outcome);
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.stages.end();
        let is_grace_over = self.gw.is_grace_over.load(Ordering::Relaxed);
        let dropped = if is_grace_over {
            CUT_BY_STOP
        } else {
            CLIENT_LEFT
        };
        let outcome = self.outcome.unwrap_or(dropped);
        let took = self.started_at.elapsed();
        self.gw.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.gw.metrics.count(&format!("requests.{outcome}"));
        self.gw.metrics.time(metrics::REQUEST_TIME, took);
        if let Some(first) = self.first_piece_at {
            self.gw.metrics.time(metrics::FIRST_PIECE, first);
        }
        let log = &self.gw.log;
        let took_ms = took.as_millis();
        let first_ms = self.first_piece_at.map_or(0, |first| first.as_millis());
        let longest_gap_ms = self.longest_gap.as_millis();
        let target_ms = self.target_latency.map(|target| target.as_millis());
        let pause_target_ms = self.max_gap.map(|gap| gap.as_millis());
        let stages = &self.stages;
        let confirmed_ms = self.gw.ledger_confirmed_ms.load(Ordering::Relaxed);
        let since_confirmed_ms = self.gw.now_ms().saturating_sub(confirmed_ms);
        // What the lines of completed and failed requests share.
        macro_rules! request_event {
            ($event:path $(, $key:literal => $value:expr)*) => {
                event!(
                    log, $event, "request" => &*self.id, "route" => self.route.as_deref(),
                    "organisation" => self.organisation.as_deref(), "table" => self.table_version,
                    "held_ms" => since_confirmed_ms $(, $key => $value)*,
                    "first_ms" => first_ms, "pause_ms" => longest_gap_ms, "took_ms" => took_ms,
                    "target_ms" => target_ms, "pause_target_ms" => pause_target_ms,
                    "body_ms" => stages.body.as_millis(), "money_ms" => stages.money.as_millis(),
                    "place_ms" => stages.place.as_millis(),
                    "connect_ms" => stages.connect.as_millis(),
                    "response_ms" => stages.response.as_millis(),
                    "billed" => self.cost, "steps" => &*self.steps
                )
            };
        }
        if outcome == "completed" {
            if let Some(route) = &self.route {
                let response = CompleteResponse {
                    took,
                    first: self.first_piece_at.unwrap_or(took),
                    events: if self.is_client_slow { 0 } else { self.events },
                    tokens_per_event: self.tokens_per_event,
                    longest_gap: self.longest_gap,
                };
                self.gw.record_response_time(route, response);
            }
            request_event!(events::GATEWAY_REQUEST_COMPLETED);
        } else {
            let lost = self.lost_contents.as_ref();
            request_event!(
                events::GATEWAY_REQUEST_FAILED, "outcome" => outcome,
                "content" => lost.map(|lost| &*lost.request),
                "parts" => lost.map(|lost| &*lost.parts), "prompt_held" => self.prompt_held
            );
        }
    }
}
