//! What one router knows of one endpoint.
//!
//! Two things are known, and neither is the truth: the endpoint's last report, which lags, and
//! this router's own count, which does not see other routers. [`EndpointState::pressure`] joins
//! them. All fields that change are atomics, so that a request reads them without a lock.

use std::sync::atomic::{AtomicBool, AtomicI32, AtomicU32, Ordering};

use anvil_world::prelude::*;

/// Full share of new work, in thousandths.
pub const FULL_SHARE: u32 = 1_000;

/// An endpoint that holds a prefix takes one more for each so many of its limit.
const OVER_FOR_HELD: u32 = 2;

/// One report of an endpoint's load, as its sidecar passed it on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Runs in the endpoint, of all routers.
    pub running: u32,
    /// Runs that wait in the endpoint, of all routers.
    pub queued: u32,
    /// Runs it can work on side by side.
    pub slots: u32,
    /// Tokens a second that it makes for all its runs; 0 when it doesn't say.
    pub tokens_per_second: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// One endpoint as this router sees it. Shared between the pools of all models that it holds.
#[derive(Debug)]
pub struct EndpointState {
    /// The sidecar's instance.
    pub id: InstanceId,
    /// Where it stands.
    pub zone: Zone,
    in_flight: AtomicU32,
    reported: AtomicU32,
    since_report: AtomicI32,
    before_report: AtomicI32,
    slots: AtomicU32,
    limit: AtomicU32,
    parts: AtomicU32,
    share: AtomicU32,
    leaving: AtomicBool,
}

impl EndpointState {
    /// An endpoint without a report yet: empty, with this many slots and a full share.
    pub fn new(id: InstanceId, zone: Zone, slots: u32) -> Self {
        Self {
            id,
            zone,
            in_flight: AtomicU32::new(0),
            reported: AtomicU32::new(0),
            since_report: AtomicI32::new(0),
            before_report: AtomicI32::new(0),
            slots: AtomicU32::new(slots),
            limit: AtomicU32::new(slots.max(1)),
            parts: AtomicU32::new(u32::MAX),
            share: AtomicU32::new(FULL_SHARE),
            leaving: AtomicBool::new(false),
        }
    }

    /// Takes in a report; [`crate::health::Health::report`] does it and moves the limit.
    ///
    /// What this router started and ended since the report before is forgotten, because the new
    /// one counts it. A report that `lags` was made about one interval ago and doesn't: then the
    /// last interval is kept once more. Without this an endpoint that has just been filled looks
    /// empty again with each report, and answers that end sooner than reports come make the
    /// whole pool swing.
    pub fn report(&self, load: &LoadReport, lags: bool) {
        let runs = load.running.saturating_add(load.queued);
        self.reported.store(runs, Ordering::Relaxed);
        let since = self.since_report.swap(0, Ordering::Relaxed);
        let missed = if lags { since } else { 0 };
        self.before_report.store(missed, Ordering::Relaxed);
        self.slots.store(load.slots, Ordering::Relaxed);
        if load.slots < self.limit.load(Ordering::Relaxed) {
            self.limit.store(load.slots.max(1), Ordering::Relaxed);
        }
        self.leaving.store(load.leaving, Ordering::Relaxed);
    }

    /// Counts a run that this router sends there.
    pub fn start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.since_report.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a run that [`EndpointState::start`] counted.
    pub fn finish(&self) {
        // A count that never falls below nothing: a doubled `finish` must not wrap round and
        // close the endpoint for good.
        let less = |n: u32| Some(n.saturating_sub(1));
        let _ = self
            .in_flight
            .try_update(Ordering::Relaxed, Ordering::Relaxed, less);
        self.since_report.fetch_sub(1, Ordering::Relaxed);
    }

    /// Runs that this router has there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Runs there by the last report alone.
    pub fn reported(&self) -> u32 {
        self.reported.load(Ordering::Relaxed)
    }

    /// Runs there, of all routers, as far as this one can tell: the last report, corrected by
    /// what this router did since, and never less than what it has there itself.
    pub fn pressure(&self) -> u32 {
        let reported = self.reported.load(Ordering::Relaxed);
        let since =
            self.since_report.load(Ordering::Relaxed) + self.before_report.load(Ordering::Relaxed);
        reported.saturating_add_signed(since).max(self.in_flight())
    }

    /// Runs it works on side by side, by its own word.
    pub fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Most runs of all routers that it is given; see [`crate::limit`].
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Sets the limit; at least one run.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit.max(1), Ordering::Relaxed);
    }

    /// Sets how many routers share the endpoint. Each may always have its part of half the
    /// limit there, whatever the report says, and at least one run.
    ///
    /// Without it a router that starts while all slots are taken would see no room for ever:
    /// the routers that hold the slots see their own runs end first and take them again. Half
    /// of the limit, not all of it: parts that are all taken would leave nothing to the reports.
    pub fn set_routers(&self, routers: u32) {
        let parts = routers.max(1).saturating_mul(2);
        self.parts.store(parts, Ordering::Relaxed);
    }

    /// Share of new work that it is given, in thousandths; see [`crate::ejection`].
    pub fn share(&self) -> u32 {
        self.share.load(Ordering::Relaxed)
    }

    /// Sets the share; more than [`FULL_SHARE`] counts as full.
    pub fn set_share(&self, share: u32) {
        self.share.store(share.min(FULL_SHARE), Ordering::Relaxed);
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks it as leaving, when the platform's list knows before its own report.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Runs that this router may add now.
    pub fn room(&self) -> u32 {
        self.room_within(self.limit_now()).max(self.own_room())
    }

    /// Runs that this router may add now, if the endpoint holds their prefix: a little over the
    /// limit, because a cached prefix is work saved. The whole is bounded by [`Self::balance`].
    pub fn room_for_held(&self) -> u32 {
        let limit = self.limit_now();
        // Above its slots the run would wait inside the engine, for longer than a prefix saves.
        let over = (limit + limit / OVER_FOR_HELD).min(self.slots());
        self.room_within(over.max(limit)).max(self.own_room())
    }

    /// Runs below the limit; negative when above it, but by no more than held prefixes allow:
    /// an endpoint that is overfull for another reason, because it is leaving or its limit was
    /// cut, must not close the others.
    pub fn balance(&self) -> i64 {
        let limit = i64::from(self.limit_now());
        let over = limit / i64::from(OVER_FOR_HELD);
        (limit - i64::from(self.pressure())).max(-over)
    }

    /// Runs that this router may add whatever the report says.
    pub fn own_room(&self) -> u32 {
        let limit = self.limit_now();
        let part = limit / self.parts.load(Ordering::Relaxed);
        part.max(1).min(limit).saturating_sub(self.in_flight())
    }

    fn room_within(&self, limit: u32) -> u32 {
        limit.saturating_sub(self.pressure())
    }

    /// The limit for now: nothing when it takes no work, and a part while its share is a part.
    fn limit_now(&self) -> u32 {
        if self.is_leaving() || self.share() == 0 {
            return 0;
        }
        let limit = u64::from(self.limit()) * u64::from(self.share()) / u64::from(FULL_SHARE);
        u32::try_from(limit).unwrap_or(u32::MAX).max(1)
    }
}
