//! What one router knows of one endpoint.
//!
//! *Load pattern:* many routers that send work to the same endpoints between two load reports.
//!
//! *Without it:* a router that relies on the last report sees an endpoint as empty that it has just
//! filled, and one that relies on its own count doesn't see the work of other routers.
//!
//! *Mechanism:* neither source is exact: the endpoint's last report lags, and this router's own
//! count doesn't include other routers. [`EndpointState::estimated_load`] combines them. All fields that
//! change are atomics, so that a request reads them without a lock.

use std::sync::atomic::{AtomicBool, AtomicI32, AtomicU32, Ordering};

use anvil_world::prelude::*;

/// Full share of new work, in thousandths.
pub const FULL_SHARE: u32 = 1_000;

/// An endpoint that holds a request's prefix may exceed its limit by the limit divided by this.
const CACHED_PREFIX_DIVISOR: u32 = 2;

/// Load of an endpoint, as reported by its sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Runs in progress at the endpoint, from all routers.
    pub running: u32,
    /// Runs queued inside the endpoint, from all routers.
    pub queued: u32,
    /// Number of runs it can work on at a time.
    pub slots: u32,
    /// Tokens a second that it generates for all its runs; 0 if not reported.
    pub tokens_per_second: u32,
    /// Whether it is draining and accepts no new work.
    pub leaving: bool,
}

/// State of an endpoint as this router sees it. Shared between the pools of all models that the
/// endpoint holds.
#[derive(Debug)]
pub struct EndpointState {
    /// The instance of its sidecar.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    in_flight: AtomicU32,
    reported: AtomicU32,
    /// Runs that this router started, less those that ended, since the last report.
    net_since_report: AtomicI32,
    /// The same for the interval before the last report; zero unless reports lag.
    net_before_report: AtomicI32,
    slots: AtomicU32,
    limit: AtomicU32,
    /// This router may always use the limit divided by this.
    guarantee_divisor: AtomicU32,
    share: AtomicU32,
    leaving: AtomicBool,
}

impl EndpointState {
    /// Creates an endpoint without a report yet: empty, with this many slots and a full share.
    pub fn new(id: InstanceId, zone: Zone, slots: u32) -> Self {
        Self {
            id,
            zone,
            in_flight: AtomicU32::new(0),
            reported: AtomicU32::new(0),
            net_since_report: AtomicI32::new(0),
            net_before_report: AtomicI32::new(0),
            slots: AtomicU32::new(slots),
            limit: AtomicU32::new(slots.max(1)),
            guarantee_divisor: AtomicU32::new(u32::MAX),
            share: AtomicU32::new(FULL_SHARE),
            leaving: AtomicBool::new(false),
        }
    }

    /// Applies a load report. Called by [`crate::health::Health::report`], which also adjusts the
    /// limit.
    ///
    /// Runs that this router started and ended since the previous report are no longer added,
    /// because the new report counts them. A report that `lags` was made about one interval ago and
    /// doesn't count them, so the last interval is kept for one more report. Without this, an
    /// endpoint that has just been filled looks empty again after each report, and with answers
    /// shorter than the report interval the load of the whole pool oscillates.
    pub fn report(&self, load: &LoadReport, lags: bool) {
        let runs = load.running.saturating_add(load.queued);
        self.reported.store(runs, Ordering::Relaxed);
        let since = self.net_since_report.swap(0, Ordering::Relaxed);
        let uncounted = if lags { since } else { 0 };
        self.net_before_report.store(uncounted, Ordering::Relaxed);
        self.slots.store(load.slots, Ordering::Relaxed);
        if load.slots < self.limit.load(Ordering::Relaxed) {
            self.limit.store(load.slots.max(1), Ordering::Relaxed);
        }
        self.leaving.store(load.leaving, Ordering::Relaxed);
    }

    /// Counts a run that this router sends there.
    pub fn start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.net_since_report.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a run that was counted by [`EndpointState::start`].
    pub fn finish(&self) {
        // The count saturates at zero: a duplicate `finish` must not wrap around, which would close
        // the endpoint for good.
        let decrement = |n: u32| Some(n.saturating_sub(1));
        let _ = self
            .in_flight
            .try_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        self.net_since_report.fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of runs that this router has there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of runs there by the last report alone.
    pub fn reported(&self) -> u32 {
        self.reported.load(Ordering::Relaxed)
    }

    /// Estimated number of runs there, from all routers: the last report, corrected by what this
    /// router started and ended since, and at least the number of its own runs.
    pub fn estimated_load(&self) -> u32 {
        let reported = self.reported.load(Ordering::Relaxed);
        let since = self.net_since_report.load(Ordering::Relaxed)
            + self.net_before_report.load(Ordering::Relaxed);
        reported.saturating_add_signed(since).max(self.in_flight())
    }

    /// Number of runs it works on at a time, as reported.
    pub fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Maximum number of runs from all routers that it is given; see [`crate::limit`].
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Sets the limit; at least one run.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit.max(1), Ordering::Relaxed);
    }

    /// Sets how many routers share the endpoint. Each may always use its part of half the limit,
    /// whatever the report says, and at least one run.
    ///
    /// Without this a router that starts while all slots are taken would never see headroom: the
    /// routers that hold the slots see their own runs end first and take the slots again. The
    /// guaranteed part is taken from half of the limit, because guaranteeing all of it would leave
    /// no slots to be assigned by the reports.
    pub fn set_routers(&self, routers: u32) {
        let guarantee_divisor = routers.max(1).saturating_mul(2);
        self.guarantee_divisor
            .store(guarantee_divisor, Ordering::Relaxed);
    }

    /// Share of new work that it is given, in thousandths; see [`crate::ejection`].
    pub fn share(&self) -> u32 {
        self.share.load(Ordering::Relaxed)
    }

    /// Sets the share; more than [`FULL_SHARE`] counts as full.
    pub fn set_share(&self, share: u32) {
        self.share.store(share.min(FULL_SHARE), Ordering::Relaxed);
    }

    /// Whether it is draining and accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks it as draining, when the platform's list shows this before its own report does.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Number of runs that this router may add now.
    pub fn headroom(&self) -> u32 {
        self.headroom_within(self.effective_limit())
            .max(self.guaranteed_headroom())
    }

    /// Number of runs that this router may add now, if the endpoint holds their prefix: it may
    /// exceed the limit a little, because a cached prefix saves work. [`Self::signed_headroom`]
    /// bounds the total.
    pub fn headroom_for_cached(&self) -> u32 {
        let limit = self.effective_limit();
        // Above its slots the run would be queued inside the engine for longer than a cached prefix
        // saves.
        let extended_limit = (limit + limit / CACHED_PREFIX_DIVISOR).min(self.slots());
        self.headroom_within(extended_limit.max(limit))
            .max(self.guaranteed_headroom())
    }

    /// Headroom below the limit; negative above the limit, but by no more than cached prefixes
    /// allow. An endpoint that is overfull for another reason, because it is draining or its limit
    /// was cut, must not use up the headroom of the others.
    pub fn signed_headroom(&self) -> i64 {
        let limit = i64::from(self.effective_limit());
        let max_excess = limit / i64::from(CACHED_PREFIX_DIVISOR);
        (limit - i64::from(self.estimated_load())).max(-max_excess)
    }

    /// Number of runs that this router may add whatever the report says.
    pub fn guaranteed_headroom(&self) -> u32 {
        let limit = self.effective_limit();
        let part = limit / self.guarantee_divisor.load(Ordering::Relaxed);
        part.max(1).min(limit).saturating_sub(self.in_flight())
    }

    fn headroom_within(&self, limit: u32) -> u32 {
        limit.saturating_sub(self.estimated_load())
    }

    /// The limit that applies now: zero if it accepts no work, and reduced in proportion to its
    /// share.
    fn effective_limit(&self) -> u32 {
        if self.is_leaving() || self.share() == 0 {
            return 0;
        }
        let limit = u64::from(self.limit()) * u64::from(self.share()) / u64::from(FULL_SHARE);
        u32::try_from(limit).unwrap_or(u32::MAX).max(1)
    }
}
