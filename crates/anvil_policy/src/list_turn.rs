//! Which router reads the platform's list of endpoints, and from whom the others get it.
//!
//! *Load pattern:* hundreds of routers that each need to know within seconds which endpoints come
//! and leave, and a list that is read page by page and served at a bounded rate.
//!
//! *Without it:* every router reads every page: the calls grow with routers times pages. A reader
//! in each availability zone isn't enough: when one of them is refused, its siblings skip it, find
//! the next one without a newer list as well, and read themselves, so refusals cause more calls.
//!
//! *Mechanism:* all routers rank the fleet in the same way, without communication. The rank alone
//! decides when a router reads: the first one early, a few substitutes one after the other, each
//! only if no newer list has reached it by then, and all others when their copy is too old, spread
//! over the time that the platform's rate allows for all of them. Lists travel along a tree: each
//! router requests them from one of lower rank in its zone, and the first of each zone from the
//! first of another. Whom a router skips changes only whom it asks, never when it reads.
//!
//! *Thresholds:* between two substitutes lies the time to read a list and to pass it on. The number
//! of calls is pages for each reading, whatever the number of routers and zones.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Ages of a router's copy of the list at which it acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListAges {
    /// Any router without a newer list begins to read it.
    pub must_read: Duration,
    /// Time over which the readings of all routers are spread after that.
    pub spread: Duration,
}

/// Age at which the first router reads, as parts of the age at which any does; drawn between them.
const FIRST_READS: (f64, f64) = (0.55, 0.6);
/// The same for a router without siblings, which needs no time to pass the list on.
const ALONE_READS: (f64, f64) = (0.82, 1.0);
/// Age at which the first substitute reads, as a part of the same.
const SUBSTITUTE_READS: f64 = 0.72;
/// Additional age for each further substitute.
const SUBSTITUTE_STEP: f64 = 0.08;
/// Number of substitutes.
const SUBSTITUTES: usize = 4;
/// Age by which a newer list arrives unless the first router has failed.
const LIST_EXPECTED: f64 = 0.75;
/// Duration of a request after that.
const LATE_REQUEST: f64 = 0.05;
/// Assumed age of the list of a router that has none: substitutes leave the first router time to
/// read.
const MISSING_LIST: f64 = 0.6;
/// Routers that request the list from the same router of their zone, and first routers of zones
/// that request it from the same one of another zone. A link of 10 Mbit/s carries that many whole
/// lists of a thousand endpoints in a quarter of a second.
const FAN_OUT: usize = 4;

/// Fraction of the platform's call rate that is used if all routers read at once.
const CALL_RATE_FRACTION: f64 = 0.8;
/// Pause after a failed reading; doubles with each further one.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause after failed readings, without its random part.
const MAX_FAILED_READ_PAUSE: Duration = Duration::from_millis(3_200);
/// Calls of one reading, for the pause of routers that may never have read the list.
const EXPECTED_PAGES: u32 = 4;
/// Longest pause of routers that wait for others, as a multiple of the time that a reading by all takes.
const MAX_SPREAD_FACTOR: u32 = 4;

/// Pause after a reply without a newer list.
const NOTHING_NEWER_PAUSE: Duration = Duration::from_millis(50);

/// Pause before a sibling is asked again that had no newer list. It ends when this router reads the
/// list itself: a late reading would coincide with that of the next substitute.
pub fn pause_before_request(read_at: Duration, age: Duration) -> Duration {
    read_at.saturating_sub(age).min(NOTHING_NEWER_PAUSE)
}

impl ListAges {
    /// Ages for this many routers and a list that a router must not keep for longer than `must_read`
    /// without reading it again, if the platform accepts this many calls a second.
    pub fn new(must_read: Duration, routers: usize, calls_per_second: f64) -> Self {
        let routers = f64::from(u32::try_from(routers).unwrap_or(u32::MAX));
        let spread = routers / (CALL_RATE_FRACTION * calls_per_second);
        Self {
            must_read,
            // Without a rate, the readings are spread over as long as a list is kept.
            spread: Duration::try_from_secs_f64(spread).unwrap_or(must_read),
        }
    }

    /// Age that counts for a router without a list, this long after it learned of its siblings. The
    /// first router reads at once.
    pub fn without_list(&self, position: usize, waited: Duration) -> Duration {
        if position == 0 {
            return self.must_read;
        }
        self.must_read.mul_f64(MISSING_LIST) + waited
    }

    /// Age at which the router at this position among `count` reads. `jitter` lies between 0 and 1.
    pub fn read_at(&self, position: usize, count: usize, jitter: f64) -> Duration {
        let between = |(min, max): (f64, f64)| self.must_read.mul_f64(min + (max - min) * jitter);
        match position {
            0 if count <= 1 => between(ALONE_READS),
            0 => between(FIRST_READS),
            1..=SUBSTITUTES => {
                let step = u32::try_from(position - 1).unwrap_or(u32::MAX);
                let part = SUBSTITUTE_READS + SUBSTITUTE_STEP * f64::from(step);
                self.must_read.mul_f64(part)
            }
            _ => self.must_read + self.spread.mul_f64(jitter),
        }
    }

    /// Pause after this many readings in a row have failed; up to half is added at random. `jitter` lies
    /// between 0 and 1.
    ///
    /// Readings have several pages. If all routers together repeat them faster than the platform
    /// accepts calls, hardly any reading is complete, and nobody gets a list. So a router that is not
    /// among the first `waits_for_others`, as long as one of them answers: then it comes back only after
    /// the time that a reading by all takes.
    pub fn pause_after_failures(
        &self,
        waits_for_others: bool,
        failed_reads: u32,
        jitter: f64,
    ) -> Duration {
        let doubled = 2_u32.saturating_pow(failed_reads.saturating_sub(1));
        let pause = FAILED_READ_PAUSE.saturating_mul(doubled);
        let pause = pause.min(MAX_FAILED_READ_PAUSE);
        let least = if waits_for_others {
            let spread = self.spread.saturating_mul(EXPECTED_PAGES);
            spread.saturating_mul(doubled.min(MAX_SPREAD_FACTOR))
        } else {
            Duration::ZERO
        };
        pause.max(least).mul_f64(1.0 + jitter / 2.0)
    }

    /// Age until which a router that has a copy of this age waits for a sibling's reply.
    pub fn request_until(&self, age: Duration) -> Duration {
        let expected = self.must_read.mul_f64(LIST_EXPECTED);
        expected.max(age + self.must_read.mul_f64(LATE_REQUEST))
    }
}

/// The next action of a router to refresh its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefreshStep<'a> {
    /// Read the list when the copy has this age.
    Read(Duration),
    /// Request the list from this sibling until the copy has this age.
    RequestFrom(&'a InstanceId, Duration),
}

/// Rank of a router: the lowest one reads first. All routers compute the same rank.
pub fn reader_rank(router: &str) -> u64 {
    xxh3_64(router.as_bytes())
}

/// All routers of the fleet in the order of their rank.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListTree {
    ranked: Vec<(InstanceId, ZoneId)>,
}

impl ListTree {
    /// The tree of these routers.
    pub fn new(routers: impl IntoIterator<Item = (InstanceId, ZoneId)>) -> Self {
        let mut ranked: Vec<_> = routers.into_iter().collect();
        ranked.sort_by_cached_key(|(id, _)| reader_rank(id));
        Self { ranked }
    }

    /// Number of routers.
    pub fn count(&self) -> usize {
        self.ranked.len()
    }

    /// Position of a router in the order of reading; after all others if it isn't known.
    pub fn position(&self, router: &InstanceId) -> usize {
        let position = self.ranked.iter().position(|(id, _)| id == router);
        position.unwrap_or(self.ranked.len())
    }

    /// The router from which `own` requests the list; `None` for the first router, which reads it.
    ///
    /// Unless routers are skipped, each requests from one of lower rank, so that they never wait for
    /// each other in a circle.
    pub fn source(
        &self,
        own: &InstanceId,
        is_skipped: impl Fn(&InstanceId) -> bool,
    ) -> Option<&InstanceId> {
        let (first, _) = self.ranked.first()?;
        if first == own {
            return None;
        }
        self.lower_source(own, &is_skipped)
            .or_else(|| self.substitute_source(own, is_skipped))
    }

    /// The lowest-ranked other router, which reads next: the source while all routers of lower rank
    /// are skipped, or while the own readings fail.
    pub fn substitute_source(
        &self,
        own: &InstanceId,
        is_skipped: impl Fn(&InstanceId) -> bool,
    ) -> Option<&InstanceId> {
        let mut others = self.ranked.iter().map(|(id, _)| id);
        others.find(|id| *id != own && !is_skipped(id))
    }

    fn lower_source(
        &self,
        own: &InstanceId,
        is_skipped: impl Fn(&InstanceId) -> bool,
    ) -> Option<&InstanceId> {
        let (_, own_zone) = self.ranked.iter().find(|(id, _)| id == own)?;
        let lower = self.ranked.iter().take_while(|(id, _)| id != own);
        let lower: Vec<_> = lower.filter(|(id, _)| !is_skipped(id)).collect();
        let in_zone = lower.iter().filter(|(_, zone)| zone == own_zone);
        let in_zone: Vec<_> = in_zone.map(|(id, _)| id).collect();
        if !in_zone.is_empty() {
            return Some(in_zone[parent(in_zone.len())]);
        }
        let mut zones = BTreeSet::new();
        let zone_firsts = lower.iter().filter(|(_, zone)| zones.insert(zone));
        let zone_firsts: Vec<_> = zone_firsts.map(|(id, _)| id).collect();
        zone_firsts.get(parent(zone_firsts.len())).copied()
    }
}

/// Whether the router at this position is the first one or a substitute for it.
pub fn is_reader(position: usize) -> bool {
    position <= SUBSTITUTES
}

/// Index of the parent of the node at this index of a tree that is stored in levels.
fn parent(index: usize) -> usize {
    index.saturating_sub(1) / FAN_OUT
}

/// The next action of the router at this position among `count`, with a copy of this age.
/// `source` is the router to request from. `jitter` lies between 0 and 1 and stays the same until
/// the next reading.
pub fn next_step<'a>(
    (position, count): (usize, usize),
    source: Option<&'a InstanceId>,
    ages: &ListAges,
    age: Duration,
    jitter: f64,
) -> RefreshStep<'a> {
    let read_at = ages.read_at(position, count, jitter);
    match source {
        Some(source) if age < read_at => {
            RefreshStep::RequestFrom(source, ages.request_until(age).min(read_at))
        }
        _ => RefreshStep::Read(read_at),
    }
}
