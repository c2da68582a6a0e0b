//! Reading a list once for a whole fleet: who reads, how many calls that takes, and how old each
//! router's copy gets. The load is that of hundreds of routers before a list of several pages with a
//! bounded call rate.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::list_turn::{
    ListAges, ListTree, RefreshStep, is_reader, next_step, pause_before_request,
};
use anvil_world::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MAX_AGE: Duration = Duration::from_millis(3_600);
const TICK: Duration = Duration::from_millis(20);
/// Time that a page takes.
const PAGE_TIME: Duration = Duration::from_millis(40);
/// Time that a list takes from one router to the next.
const HOP_TIME: Duration = Duration::from_millis(30);
/// Allowed above the maximum age: the time to read a list and to pass it on.
const SLACK: Duration = Duration::from_millis(600);
/// How long a sibling that did not answer is skipped.
const SKIPPED_FOR: Duration = Duration::from_secs(5);
/// Time after which a request without a reply has failed.
const TRANSIT_TIME: Duration = Duration::from_millis(200);
/// Calls per second that the platform accepts.
const RATE: f64 = 140.0;
/// Calls that one reading takes.
const PAGES: usize = 4;

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

/// What a router is doing.
#[derive(Clone, Copy)]
enum Activity {
    Deciding,
    WaitingToRead {
        at: Duration,
    },
    Reading {
        began: Duration,
        page_done: Duration,
        pages_left: usize,
    },
    Asking {
        sibling: usize,
        until: Duration,
    },
    Pausing {
        until: Duration,
    },
}

struct Router {
    id: InstanceId,
    fault: Fault,
    /// When its copy was read, and when it arrived; `None` without a copy.
    copy: Option<(Duration, Duration)>,
    /// When it learned of its siblings.
    began: Duration,
    activity: Activity,
    skipped_until: BTreeMap<usize, Duration>,
    jitter: f64,
    failed_reads: u32,
}

/// A fleet of routers that use the same list.
struct Fleet {
    now: Duration,
    rng: StdRng,
    tree: ListTree,
    numbers: BTreeMap<InstanceId, usize>,
    positions: Vec<usize>,
    routers: Vec<Router>,
    /// Calls that the platform accepts at the moment.
    credit: f64,
    /// Whether the platform refuses all calls.
    refuses_all: bool,
    /// All calls, also refused ones.
    calls: usize,
    oldest: Duration,
}

impl Fleet {
    /// Routers in six zones that have just started.
    fn of(count: usize) -> Self {
        Self::with_seed(count, 7)
    }

    fn with_seed(count: usize, seed: u64) -> Self {
        let ids: Vec<InstanceId> = (0..count).map(|n| format!("router-{n}").into()).collect();
        let zone = |n: usize| -> ZoneId { format!("zone-{}", n % 6).into() };
        let tree = ListTree::new(ids.iter().enumerate().map(|(n, id)| (id.clone(), zone(n))));
        let mut rng = StdRng::seed_from_u64(seed);
        let router = |id: &InstanceId| Router {
            id: id.clone(),
            fault: Fault::None,
            copy: None,
            began: Duration::from_millis(rng.random_range(0..300)),
            activity: Activity::Deciding,
            skipped_until: BTreeMap::new(),
            jitter: rng.random(),
            failed_reads: 0,
        };
        Self {
            routers: ids.iter().map(router).collect(),
            positions: ids.iter().map(|id| tree.position(id)).collect(),
            numbers: ids.into_iter().zip(0..).collect(),
            now: Duration::ZERO,
            rng,
            tree,
            credit: 0.0,
            refuses_all: false,
            calls: 0,
            oldest: Duration::ZERO,
        }
    }

    /// A fleet that has run for a while.
    fn settled(count: usize) -> Self {
        Self::settled_with_seed(count, 7)
    }

    fn settled_with_seed(count: usize, seed: u64) -> Self {
        let mut fleet = Self::with_seed(count, seed);
        fleet.simulate(Duration::from_secs(6));
        fleet.restart_counts();
        fleet
    }

    fn restart_counts(&mut self) {
        self.calls = 0;
        self.oldest = Duration::ZERO;
    }

    /// The router at this position in the order of reading.
    fn at_position(&mut self, position: usize) -> &mut Router {
        let number = self.positions.iter().position(|p| *p == position);
        &mut self.routers[number.expect("a known position")]
    }

    fn ages(&self) -> ListAges {
        ListAges::new(MAX_AGE, self.routers.len(), RATE)
    }

    /// Kills routers; they start again, without a list, within a second.
    fn restart(&mut self, is_killed: impl Fn(usize) -> bool) {
        for number in (0..self.routers.len()).filter(|n| is_killed(*n)) {
            let began = self.now + Duration::from_millis(self.rng.random_range(500..1_000));
            let router = &mut self.routers[number];
            router.copy = None;
            router.began = began;
            router.activity = Activity::Deciding;
            router.skipped_until.clear();
            router.failed_reads = 0;
        }
    }

    fn age(&self, number: usize) -> Duration {
        let router = &self.routers[number];
        router.copy.map_or_else(
            || {
                let waited = self.now.saturating_sub(router.began);
                self.ages().without_list(self.positions[number], waited)
            },
            |(as_of, _)| self.now.saturating_sub(as_of),
        )
    }

    fn simulate(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.credit = (self.credit + RATE * TICK.as_secs_f64()).min(RATE);
            for number in 0..self.routers.len() {
                let router = &self.routers[number];
                if router.fault != Fault::Frozen && self.now >= router.began {
                    self.step(number);
                }
            }
            let sound = (0..self.routers.len()).filter(|n| {
                let router = &self.routers[*n];
                router.fault == Fault::None && self.now >= router.began
            });
            let oldest = sound.map(|n| self.age(n)).max();
            self.oldest = self.oldest.max(oldest.unwrap_or_default());
        }
    }

    fn step(&mut self, number: usize) {
        let now = self.now;
        match self.routers[number].activity {
            Activity::Deciding => self.decide(number),
            Activity::WaitingToRead { at } if now >= at => {
                self.routers[number].activity = Activity::Reading {
                    began: now,
                    page_done: now + PAGE_TIME,
                    pages_left: PAGES,
                };
            }
            Activity::Reading {
                began,
                page_done,
                pages_left,
            } if now >= page_done => self.finish_page(number, began, pages_left),
            Activity::Asking { sibling, until } => self.ask(number, sibling, until),
            Activity::Pausing { until } if now >= until => {
                self.routers[number].activity = Activity::Deciding;
            }
            _ => {}
        }
    }

    fn decide(&mut self, number: usize) {
        let age = self.age(number);
        let router = &self.routers[number];
        let is_skipped = |id: &InstanceId| {
            let until = router.skipped_until.get(&self.numbers[id]);
            until.is_some_and(|until| self.now < *until)
        };
        let source = self.tree.source(&router.id, is_skipped);
        let place = (self.positions[number], self.tree.count());
        let activity = match next_step(place, source, &self.ages(), age, router.jitter) {
            RefreshStep::Read(at) => Activity::WaitingToRead {
                at: self.now + at.saturating_sub(age),
            },
            RefreshStep::RequestFrom(sibling, until) => Activity::Asking {
                sibling: self.numbers[sibling],
                until: self.now + until.saturating_sub(age),
            },
        };
        self.routers[number].activity = activity;
    }

    /// A page has arrived, or was refused; a refused one is requested again by a later reading.
    fn finish_page(&mut self, number: usize, began: Duration, pages_left: usize) {
        self.calls += 1;
        let is_accepted =
            self.credit >= 1.0 && !self.refuses_all && self.routers[number].fault != Fault::NoList;
        if !is_accepted {
            let (ages, jitter) = (self.ages(), self.rng.random());
            let router = &mut self.routers[number];
            router.failed_reads += 1;
            let waits_for_others = !is_reader(self.positions[number]);
            let pause = ages.pause_after_failures(waits_for_others, router.failed_reads, jitter);
            let id = self.routers[number].id.clone();
            let next = self.tree.substitute_source(&id, |_| false);
            let until = self.now + pause;
            self.routers[number].activity = match next {
                Some(next) => Activity::Asking {
                    sibling: self.numbers[next],
                    until,
                },
                None => Activity::Pausing { until },
            };
            return;
        }
        self.credit -= 1.0;
        if pages_left > 1 {
            self.routers[number].activity = Activity::Reading {
                began,
                page_done: self.now + PAGE_TIME,
                pages_left: pages_left - 1,
            };
            return;
        }
        self.take_copy(number, began);
    }

    fn take_copy(&mut self, number: usize, as_of: Duration) {
        let jitter = self.rng.random();
        let router = &mut self.routers[number];
        router.copy = Some((as_of, self.now));
        router.jitter = jitter;
        router.failed_reads = 0;
        router.activity = Activity::Deciding;
    }

    fn ask(&mut self, number: usize, sibling: usize, until: Duration) {
        let now = self.now;
        let other = &self.routers[sibling];
        let responds = self.routers[number].fault != Fault::NoSiblings
            && matches!(other.fault, Fault::None | Fault::NoList)
            && now >= other.began;
        let own = self.routers[number].copy.map(|(as_of, _)| as_of);
        let newer = other
            .copy
            .filter(|(as_of, arrived)| Some(*as_of) > own && now >= *arrived + HOP_TIME);
        match newer {
            Some((as_of, _)) if responds => self.take_copy(number, as_of),
            _ if responds && now >= until => {
                let position = self.positions[number];
                let jitter = self.routers[number].jitter;
                let read_at = self.ages().read_at(position, self.tree.count(), jitter);
                let pause = pause_before_request(read_at, self.age(number));
                self.routers[number].activity = Activity::Pausing { until: now + pause };
            }
            _ if now >= until + TRANSIT_TIME => {
                let router = &mut self.routers[number];
                router.skipped_until.insert(sibling, now + SKIPPED_FOR);
                router.activity = Activity::Deciding;
            }
            _ => {}
        }
    }

    fn all_have_a_list(&self) -> bool {
        self.routers.iter().all(|router| router.copy.is_some())
    }
}

/// Guards against calls that grow with the number of routers: two thousand read as often as eight.
#[test]
fn calls_do_not_grow_with_routers() {
    let calls = |count| {
        let mut fleet = Fleet::settled(count);
        fleet.simulate(Duration::from_secs(20));
        assert!(fleet.oldest < MAX_AGE, "{:?}", fleet.oldest);
        fleet.calls
    };
    let calls_of_eight = calls(8);
    assert!(calls(1_000) <= calls_of_eight + PAGES);
    assert!(calls(2_000) <= calls_of_eight + PAGES);
}

/// Guards against every router reading the list at its start, before it learns that another does.
#[test]
fn starting_fleet_is_given_the_list_by_a_few_readings() {
    for count in [40, 1_000, 2_000] {
        let mut fleet = Fleet::of(count);
        fleet.simulate(Duration::from_secs(2));
        assert!(fleet.all_have_a_list());
        assert!(fleet.calls <= 3 * PAGES, "{} calls of {count}", fleet.calls);
    }
}

/// Guards against a storm of calls that keeps itself going: refused readings cause more readings.
#[test]
fn fleet_whose_copies_are_all_too_old_recovers() {
    std::thread::scope(|scope| {
        for seed in [1, 2, 7] {
            scope.spawn(move || assert_recovers_from_refusals(seed));
        }
    });
}

fn assert_recovers_from_refusals(seed: u64) {
    let mut fleet = Fleet::settled_with_seed(1_000, seed);
    fleet.refuses_all = true;
    fleet.simulate(Duration::from_secs(20));
    fleet.refuses_all = false;
    fleet.simulate(Duration::from_secs(5));
    fleet.restart_counts();
    fleet.simulate(Duration::from_secs(30));
    assert!(fleet.oldest < MAX_AGE, "{:?}", fleet.oldest);
    assert!(fleet.calls <= 20 * PAGES, "{} calls", fleet.calls);
}

/// Guards against readings by all routers whose reader restarted together with many others.
#[test]
fn quarter_of_the_fleet_restarts() {
    for lost in 0..4 {
        let mut fleet = Fleet::settled(1_000);
        fleet.restart(|number| number % 4 == lost);
        fleet.simulate(Duration::from_secs(20));
        assert!(fleet.oldest < MAX_AGE + SLACK, "{:?}", fleet.oldest);
        assert!(fleet.calls <= 16 * PAGES, "{} calls", fleet.calls);
    }
}

/// Guards against a return that takes as long as all routers take to read the list.
#[test]
fn fleet_that_restarted_at_once_has_a_list_within_two_seconds() {
    for count in [40, 300, 1_000, 2_000] {
        let mut fleet = Fleet::settled(count);
        fleet.restart(|_| true);
        fleet.simulate(Duration::from_secs(3));
        assert!(fleet.all_have_a_list(), "{count} routers");
        assert!(fleet.calls <= 4 * PAGES, "{} calls of {count}", fleet.calls);
    }
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
    for count in [20, 1_000] {
        let mut fleet = Fleet::settled(count);
        fleet.simulate(Duration::from_secs(10));
        let calls_before = fleet.calls;
        fleet.at_position(0).fault = fault;
        fleet.restart_counts();
        fleet.simulate(Duration::from_secs(10));
        assert!(fleet.oldest < MAX_AGE + SLACK, "{:?}", fleet.oldest);
        assert!(
            fleet.calls < 5 * calls_before,
            "{} after {calls_before}",
            fleet.calls
        );
    }
}

/// Guards against routers that wait for one dead reader after another.
#[test]
fn two_readers_that_die_in_a_row_are_replaced_in_time() {
    let mut fleet = Fleet::settled(1_000);
    fleet.at_position(0).fault = Fault::Frozen;
    fleet.simulate(Duration::from_millis(400));
    fleet.at_position(1).fault = Fault::Frozen;
    fleet.simulate(Duration::from_secs(10));
    assert!(fleet.oldest < MAX_AGE + SLACK, "{:?}", fleet.oldest);
}

/// Guards against a router that relies on siblings that it can't reach: it reads the list itself.
#[test]
fn isolated_router_reads_the_list_itself() {
    let mut fleet = Fleet::settled(5);
    fleet.at_position(4).fault = Fault::NoSiblings;
    fleet.simulate(Duration::from_secs(20));
    let isolated = fleet.positions.iter().position(|p| *p == 4);
    let age = fleet.age(isolated.expect("a known position"));
    assert!(age < MAX_AGE + SLACK, "{age:?}");
}

/// Guards against two routers that read the list each time after the first one has died: a substitute
/// that reads late leaves the next one no time to receive its list.
#[test]
fn a_substitute_reads_when_its_time_has_come() {
    let sibling: InstanceId = "sibling".into();
    for max_age in [600, 1_600, 3_600].map(Duration::from_millis) {
        let ages = ListAges::new(max_age, 8, RATE);
        for position in 1..=4 {
            let read_at = ages.read_at(position, 8, 0.5);
            let mut age = Duration::ZERO;
            while let RefreshStep::RequestFrom(_, until) =
                next_step((position, 8), Some(&sibling), &ages, age, 0.5)
            {
                age = age.max(until);
                age += pause_before_request(read_at, age);
            }
            assert_eq!(age, read_at, "substitute {position}, {max_age:?}");
        }
    }
}
