//! Whether endpoints have room for a request that can wait at its router.
//!
//! *Load pattern:* endpoints that many routers fill, each of which knows its own requests and the
//! load that endpoints reported last; some routers receive several times the requests of others.
//!
//! *Without it:* a request is sent into the queue of a full endpoint, where it starts after its
//! target and can no longer go to one that becomes free. If routers hold requests back by the
//! reported load alone, those with many requests in flight learn of each free slot and take it, and
//! the others are left with few.
//!
//! *Mechanism:* plain endpoints have room while the router's requests in flight are below its
//! [`InFlightWindow`]; engines, whose requests take seconds, while one has a slot and no prompts
//! that delay the next one ([`EngineRoom`]). A router with less than a part of its equal share of
//! the slots in flight sends in any case.
//!
//! *Thresholds:* the part is a quarter. With the whole share, routers with many requests would be
//! left with too little beside many small ones.

use std::time::Duration;

/// Part of a router's equal share of the slots that it may always use, as a divisor.
const GUARANTEED_DIVISOR: u32 = 4;

/// Number of requests that each router may have in flight, whatever the load of the others. `slots`
/// are those of all endpoints.
pub fn guaranteed_requests(slots: u32, routers: u32) -> u32 {
    (slots / routers.max(1) / GUARANTEED_DIVISOR).max(1)
}

/// What is known of one engine, for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineRoom {
    /// Estimated requests there, from all routers.
    pub requests: u32,
    /// Its slots.
    pub slots: u32,
    /// Expected time to the response.
    pub expected: Duration,
    /// Whether it has prompts of this router that it has not processed yet.
    pub has_pending_prompts: bool,
}

/// Requests in the queue of an engine that has all slots in use, as a divisor of its slots: they
/// keep the slots in use between the end of a request and the arrival of the next. A sixteenth is
/// served within a sixteenth of the duration of a response.
const ENGINE_QUEUE_DIVISOR: u32 = 16;

impl EngineRoom {
    /// Whether the engine has room for the request, whose response should begin `within` this time.
    pub fn allows(&self, within: Duration) -> bool {
        let queue = self.slots / ENGINE_QUEUE_DIVISOR;
        let has_slot = self.requests < self.slots.saturating_add(queue);
        has_slot && (self.expected <= within || !self.has_pending_prompts)
    }
}

/// Shortest time between two changes of a window: some responses of a plain service.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Part by which a window is lowered if all reports are of congested endpoints.
const DECREASE: f64 = 0.3;
/// Growth of a window, as a part of what the demand would have in flight by itself.
const INCREASE: f64 = 0.1;
/// After so many intervals without congestion there is no window.
const MAX_CALM_INTERVALS: u32 = 20;
/// An endpoint is congested with more than this multiple of its slots, when more than one request
/// waits for each.
const CONGESTED_LOAD: u32 = 2;

/// Whether an endpoint that reports this load is congested.
pub fn is_congested(load: u32, slots: u32) -> bool {
    load > slots.saturating_mul(CONGESTED_LOAD)
}

/// Shortest time between two changes of a window, by the time that a request takes: the effect of a
/// change shows only then.
pub fn window_interval(slot_time: Duration) -> Duration {
    slot_time.max(MIN_INTERVAL)
}

/// What a router observed since the last change of its window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowSample {
    /// Time since then.
    pub elapsed: Duration,
    /// Requests that arrived, whether or not they were sent.
    pub offered: u32,
    /// Reports of endpoints, and how many of these were congested.
    pub reports: u32,
    /// See [`Self::reports`].
    pub congested: u32,
    /// Requests in flight now.
    pub in_flight: u32,
    /// Mean time that a request takes at an endpoint.
    pub slot_time: Duration,
}

/// Maximum number of requests that a router has in flight at the endpoints of a plain service.
///
/// It is lowered by a factor while endpoints report congestion, and grows in proportion to the
/// router's demand otherwise. All routers see much the same reports, so their windows become
/// proportional to their demands, without a message between them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct InFlightWindow {
    /// `None` while there is no maximum.
    size: Option<f64>,
    /// Intervals without congestion, and the one before them.
    calm_intervals: u32,
}

impl InFlightWindow {
    /// The maximum; `None` while there is none.
    pub fn size(&self) -> Option<u32> {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float to integer cast saturates"
        )]
        self.size.map(|size| size.ceil() as u32)
    }

    /// Changes the window after an interval.
    pub fn change(&mut self, sample: &WindowSample) {
        // By the part of congested reports: a majority of the few reports that a router with few
        // requests receives is much less reliable than that of many.
        let congested = f64::from(sample.congested) / f64::from(sample.reports.max(1));
        if sample.congested > 0 {
            self.size.get_or_insert(f64::from(sample.in_flight));
            self.calm_intervals = 1;
        }
        let Some(size) = &mut self.size else { return };
        let rate = f64::from(sample.offered) / sample.elapsed.as_secs_f64().max(f64::EPSILON);
        let by_demand = rate * sample.slot_time.as_secs_f64();
        let growth = INCREASE * by_demand * f64::from(self.calm_intervals);
        let decrease = 1.0 - DECREASE * congested;
        *size = (*size * decrease + growth * (1.0 - congested)).max(1.0);
        if sample.congested > 0 {
            return;
        }
        // A router that sent nothing for a while had no reports either.
        let intervals =
            sample.elapsed.as_secs_f64() / window_interval(sample.slot_time).as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float to integer cast saturates"
        )]
        let intervals = intervals as u32;
        self.calm_intervals = self.calm_intervals.saturating_add(intervals.max(1));
        if self.calm_intervals >= MAX_CALM_INTERVALS {
            self.size = None;
        }
    }
}
