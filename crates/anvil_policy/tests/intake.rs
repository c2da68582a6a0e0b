//! A router that receives more than its link can carry.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_policy::intake::{Intake, IntakeLoad};
use anvil_world::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);
/// Bytes per second.
const LINK: u64 = 1_000_000;
/// Bytes of one request.
const REQUEST: u64 = 10_000;
/// Requests per second that fill the link.
const FULL_RATE: f64 = 100.0;
/// After this time a client gives up.
const PATIENCE: Duration = Duration::from_secs(1);

/// A router whose link receives what clients send on accepted connections, one after the other.
struct Model {
    intake: Intake,
    rng: ChaCha8Rng,
    now: Now,
    is_open: bool,
    load: IntakeLoad,
    /// When each waiting request was accepted, and its bytes that have not been received.
    waiting: VecDeque<(Now, u64)>,
    arrivals: f64,
}

/// What happened in one second.
#[derive(Debug, Default)]
struct Second {
    accepted: u32,
    rejected: u32,
    received: u64,
    /// Bytes that clients were sending at most.
    longest_queue: u64,
}

impl Second {
    fn rejected_share(&self) -> f64 {
        f64::from(self.rejected) / f64::from((self.accepted + self.rejected).max(1))
    }
}

impl Model {
    fn new(link: Option<u64>) -> Self {
        Self {
            intake: Intake::new(Duration::ZERO, link),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Duration::ZERO,
            is_open: true,
            load: IntakeLoad {
                has_room: true,
                ..IntakeLoad::default()
            },
            waiting: VecDeque::new(),
            arrivals: 0.0,
        }
    }

    /// Runs for a second with this multiple of the load that the link can carry.
    fn second(&mut self, demand: f64) -> Second {
        let mut second = Second::default();
        for _ in 0..1_000 {
            self.step(demand, &mut second);
        }
        second
    }

    fn seconds(&mut self, count: usize, demand: f64) -> Vec<Second> {
        (0..count).map(|_| self.second(demand)).collect()
    }

    fn step(&mut self, demand: f64, second: &mut Second) {
        self.now += MS;
        self.arrivals += demand * FULL_RATE / 1e3;
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            if self.is_open {
                second.accepted += 1;
                self.intake.record_accept(self.now);
                self.waiting.push_back((self.now, REQUEST));
                self.observe_if_due();
            } else {
                second.rejected += 1;
            }
        }
        let now = self.now;
        self.waiting.retain(|(at, _)| now < *at + PATIENCE);
        let mut capacity = LINK / 1_000;
        while let Some((_, left)) = self.waiting.front_mut() {
            let bytes = capacity.min(*left);
            *left -= bytes;
            capacity -= bytes;
            second.received += bytes;
            self.load.received += bytes;
            if *left > 0 {
                break;
            }
            self.waiting.pop_front();
        }
        self.load.expected = self.waiting.iter().map(|(_, left)| left).sum();
        second.longest_queue = second.longest_queue.max(self.load.expected);
        self.observe_if_due();
    }

    fn observe_if_due(&mut self) {
        if self.now >= self.intake.observe_at() {
            self.is_open = self.intake.observe(self.now, &self.load, &mut self.rng);
        }
    }
}

fn mean_rejected_share(seconds: &[Second]) -> f64 {
    let count = u32::try_from(seconds.len()).expect("few seconds");
    let shares = seconds.iter().map(Second::rejected_share);
    shares.sum::<f64>() / f64::from(count)
}

/// Load pattern: for half a minute four times, twice and a little more than the link can carry. Guards
/// against more being rejected than exceeds the link, against swings between everything and nothing, and
/// against a queue of more than a second at the beginning.
#[test]
fn sustained_overload_sheds_the_excess() {
    for demand in [1.2, 2.0, 4.0] {
        let mut model = Model::new(Some(LINK));
        let starting = model.seconds(5, demand);
        assert!(starting.iter().all(|s| s.accepted > 0), "{starting:?}");
        let queue = starting.iter().map(|s| s.longest_queue).max();
        assert!(queue < Some(LINK), "at {demand}: {starting:?}");
        let settled = model.seconds(25, demand);
        let rejected = mean_rejected_share(&settled);
        let excess = 1.0 - 0.75 / demand;
        assert!(
            (excess - 0.05..excess + 0.08).contains(&rejected),
            "{rejected} of {demand} rejected"
        );
        for second in &settled {
            assert!(second.received > LINK / 2, "at {demand}: {second:?}");
            assert!(second.received < LINK * 9 / 10, "at {demand}: {second:?}");
        }
    }
}

/// Load pattern: a process that gets a part of a processor is halted, and hundreds of connections wait for it.
/// Guards against all of them being accepted at once, which would fill the link for seconds.
#[test]
fn connections_that_waited_are_not_all_accepted() {
    let mut model = Model::new(Some(LINK));
    model.seconds(5, 2.0);
    while !model.is_open {
        model.step(0.0, &mut Second::default());
    }
    model.arrivals += 300.0;
    let mut halted = Second::default();
    model.step(0.0, &mut halted);
    assert!((1..30).contains(&halted.accepted), "{halted:?}");
}

/// Load pattern: a link that is well used but not full. Guards against clients being rejected without need.
#[test]
fn load_below_the_link_is_accepted() {
    let mut model = Model::new(Some(LINK));
    let seconds = model.seconds(20, 0.7);
    assert!(seconds.iter().all(|s| s.rejected == 0), "{seconds:?}");
}

/// Guards against any effect where the settings state no link.
#[test]
fn without_a_stated_link_everything_is_accepted() {
    let mut model = Model::new(None);
    model.load.lateness = PATIENCE;
    model.load.backlog = PATIENCE;
    let seconds = model.seconds(10, 4.0);
    assert!(seconds.iter().all(|s| s.rejected == 0), "{seconds:?}");
    assert!(!model.intake.is_shedding());
}

/// Load pattern: a burst of two seconds. Guards against clients being rejected long after it.
#[test]
fn burst_is_over_soon() {
    let mut model = Model::new(Some(LINK));
    model.seconds(2, 4.0);
    assert!(model.intake.is_shedding());
    model.seconds(4, 0.3);
    let after = model.seconds(10, 0.3);
    assert!(after.iter().all(|s| s.rejected == 0), "{after:?}");
}

/// Load pattern: a processor that is too slow for its load. Guards against requests that are read too late,
/// and against a router that accepts nothing at all.
#[test]
fn late_timer_sheds_load_but_never_all() {
    let mut model = Model::new(Some(LINK));
    model.load.lateness = Duration::from_millis(600);
    model.seconds(5, 0.5);
    let seconds = model.seconds(10, 0.5);
    assert!(mean_rejected_share(&seconds) > 0.8, "{seconds:?}");
    assert!(seconds.iter().all(|s| s.accepted > 0), "{seconds:?}");
}

/// Guards against a router that rejects clients because the ledger is slow for a reason of its own.
#[test]
fn slow_ledger_counts_only_on_a_busy_link() {
    let slow = Some(Duration::from_millis(700));
    let mut model = Model::new(Some(LINK));
    model.load.control_delay = slow;
    let idle = model.seconds(5, 0.3);
    assert!(idle.iter().all(|s| s.rejected == 0), "{idle:?}");
    let busy = model.seconds(5, 0.6);
    assert!(busy.iter().any(|s| s.rejected > 0), "{busy:?}");
}

/// Guards against a process that rejects clients after it was frozen, because of what it measured before.
#[test]
fn thawed_process_accepts() {
    let mut model = Model::new(Some(LINK));
    model.second(0.7);
    model.now += Duration::from_secs(5);
    model.load.received += 10 * LINK;
    model.load.lateness = Duration::from_secs(5);
    model.is_open = model.intake.observe(model.now, &model.load, &mut model.rng);
    model.load.lateness = Duration::ZERO;
    let after = model.seconds(3, 0.7);
    assert!(after.iter().all(|s| s.rejected == 0), "{after:?}");
}

/// Guards against accepting without descriptors, and against rejecting after some have become free.
#[test]
fn nothing_is_accepted_without_descriptors() {
    let mut model = Model::new(None);
    model.load.has_room = false;
    model.second(1.0);
    let second = model.second(1.0);
    assert!(second.rejected > 9 * second.accepted, "{second:?}");
    model.load.has_room = true;
    model.second(1.0);
    assert_eq!(model.second(1.0).rejected, 0);
}
