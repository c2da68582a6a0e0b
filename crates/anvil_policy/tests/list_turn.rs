//! Reading a list once for many routers: which router reads, and how old each router's copy gets.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::list_turn::{ListAges, RefreshStep, next_step, reader_order};
use anvil_world::prelude::*;

const MAX_AGE: Duration = Duration::from_millis(2_600);
const TICK: Duration = Duration::from_millis(10);
/// Time that a reading takes, and a request to a sibling.
const READ_TIME: Duration = Duration::from_millis(40);
/// How long a sibling that did not answer is skipped.
const SKIPPED_FOR: Duration = Duration::from_secs(5);

/// Fault of a router.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// It does nothing and answers nothing.
    Frozen,
    /// It answers siblings, but its own readings fail.
    NoList,
    /// It can't exchange messages with any sibling.
    NoSiblings,
}

struct Router {
    id: InstanceId,
    fault: Fault,
    /// When its copy was read.
    as_of: Duration,
    read_due: Option<Duration>,
    skipped_until: BTreeMap<InstanceId, Duration>,
    jitter: f64,
}

impl Router {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.as_of)
    }
}

/// The routers of one availability zone that use the same list.
struct Zone {
    now: Duration,
    routers: Vec<Router>,
    reads: usize,
    oldest: Duration,
}

impl Zone {
    fn of(count: usize) -> Self {
        let router = |number: usize| Router {
            id: format!("router-{number}").into(),
            fault: Fault::None,
            as_of: Duration::ZERO,
            read_due: None,
            skipped_until: BTreeMap::new(),
            jitter: f64::from(u8::try_from(number * 37 % 100).expect("below 100")) / 100.0,
        };
        Self {
            now: Duration::ZERO,
            routers: (0..count).map(router).collect(),
            reads: 0,
            oldest: Duration::ZERO,
        }
    }

    fn order(&self) -> Vec<InstanceId> {
        reader_order(self.routers.iter().map(|r| r.id.clone()), |_| false)
    }

    fn set_fault(&mut self, id: &InstanceId, fault: Fault) {
        let router = self.routers.iter_mut().find(|r| r.id == *id);
        router.expect("a known router").fault = fault;
    }

    fn simulate(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for number in 0..self.routers.len() {
                self.step(number);
            }
            let healthy = self.routers.iter().filter(|r| r.fault == Fault::None);
            let ages = healthy.map(|r| r.age(self.now));
            self.oldest = self.oldest.max(ages.max().unwrap_or_default());
        }
    }

    fn step(&mut self, number: usize) {
        let now = self.now;
        if self.routers[number].fault == Fault::Frozen {
            return;
        }
        if let Some(due) = self.routers[number].read_due {
            if now >= due {
                self.routers[number].read_due = None;
                if self.routers[number].fault != Fault::NoList {
                    self.reads += 1;
                    self.routers[number].as_of = due.saturating_sub(READ_TIME);
                }
            }
            return;
        }
        let router = &self.routers[number];
        let age = router.age(now);
        let ids = self.routers.iter().map(|r| r.id.clone());
        let is_skipped = |id: &InstanceId| router.skipped_until.get(id).is_some_and(|at| now < *at);
        let order = reader_order(ids, is_skipped);
        match next_step(
            &router.id,
            &order,
            &ListAges::within(MAX_AGE),
            age,
            router.jitter,
        ) {
            RefreshStep::Read(at) if age >= at => {
                self.routers[number].read_due = Some(now + READ_TIME);
            }
            RefreshStep::Read(_) => {}
            RefreshStep::RequestFrom(sibling, until) => self.ask(number, &sibling.clone(), until),
        }
    }

    fn ask(&mut self, number: usize, sibling: &InstanceId, until: Duration) {
        let now = self.now;
        let other = self
            .routers
            .iter()
            .find(|r| r.id == *sibling)
            .expect("a known router");
        let can_reach = self.routers[number].fault != Fault::NoSiblings
            && matches!(other.fault, Fault::None | Fault::NoList);
        let sibling_as_of = other.as_of;
        let router = &mut self.routers[number];
        if can_reach && sibling_as_of > router.as_of && now >= sibling_as_of + 2 * READ_TIME {
            router.as_of = sibling_as_of;
        } else if router.age(now) + TICK >= until {
            router
                .skipped_until
                .insert(sibling.clone(), now + SKIPPED_FOR);
        }
    }
}

/// Guards against calls that grow with the number of routers: forty together read as often as a
/// single one.
#[test]
fn reads_do_not_grow_with_routers() {
    let reads = |count| {
        let mut zone = Zone::of(count);
        zone.simulate(Duration::from_secs(30));
        assert!(zone.oldest < MAX_AGE, "{:?}", zone.oldest);
        zone.reads
    };
    let reads_of_one = reads(1);
    assert!(reads(40) <= reads_of_one + 1);
}

/// Guards against copies that become too old because the reader is frozen.
#[test]
fn frozen_reader_is_replaced_in_time() {
    assert_age_bounded_with(Fault::Frozen);
}

/// Guards against copies that become too old because the reader can't reach the platform.
#[test]
fn reader_that_can_not_read_is_replaced_in_time() {
    assert_age_bounded_with(Fault::NoList);
}

/// Guards against copies that become too old because the siblings can't reach the reader.
#[test]
fn unreachable_reader_is_replaced_in_time() {
    assert_age_bounded_with(Fault::NoSiblings);
}

fn assert_age_bounded_with(fault: Fault) {
    let mut zone = Zone::of(20);
    zone.simulate(Duration::from_secs(10));
    let reads_before = zone.reads;
    let first = zone.order()[0].clone();
    zone.set_fault(&first, fault);
    zone.simulate(Duration::from_secs(10));
    assert!(zone.oldest < MAX_AGE + 2 * READ_TIME, "{:?}", zone.oldest);
    assert!(
        zone.reads < 5 * reads_before,
        "{} after {reads_before}",
        zone.reads
    );
}

/// Guards against routers that wait for one dead reader after another.
#[test]
fn two_readers_that_die_in_a_row_are_replaced_in_time() {
    let mut zone = Zone::of(20);
    zone.simulate(Duration::from_secs(10));
    let order = zone.order();
    zone.set_fault(&order[0], Fault::Frozen);
    zone.simulate(Duration::from_millis(400));
    zone.set_fault(&order[1], Fault::Frozen);
    zone.simulate(Duration::from_secs(10));
    assert!(zone.oldest < MAX_AGE + 2 * READ_TIME, "{:?}", zone.oldest);
}

/// Guards against a router that relies on siblings that it can't reach: it reads the list itself.
#[test]
fn isolated_router_reads_the_list_itself() {
    let mut zone = Zone::of(5);
    let last = zone.order()[4].clone();
    zone.set_fault(&last, Fault::NoSiblings);
    zone.simulate(Duration::from_secs(20));
    let isolated = zone
        .routers
        .iter()
        .find(|r| r.id == last)
        .expect("a known router");
    assert!(isolated.age(zone.now) < MAX_AGE + 2 * READ_TIME);
}
