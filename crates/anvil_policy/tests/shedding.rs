//! Routers of unequal links behind a balancer that hashes connections onto a ring.

use std::time::Duration;

use anvil_policy::shedding::{Shedding, SheddingRule, ZoneLoad};
use anvil_world::prelude::*;

const TICK: Duration = Duration::from_millis(250);
const TICKS_A_SECOND: u32 = 4;
/// Bytes that one request takes of a link.
const REQUEST: f64 = 5_000.0;
/// Bytes a second that a link of 10 Mbit/s carries.
const SMALL: f64 = 1.25e6;
const LARGE: f64 = 10.0 * SMALL;

/// What twenty routers say of whom nearly all are idle.
const IDLE: ZoneLoad = ZoneLoad {
    routers: 20,
    away: 0,
    load: 0.05,
};

struct Router {
    /// Part of the ring that leads here while all are in rotation.
    part: f64,
    link: f64,
    shedding: Shedding,
    misses: u32,
    /// Bytes that wait for the link.
    backlog: f64,
}

/// One availability zone.
struct Zone {
    now: Now,
    routers: Vec<Router>,
    requests: f64,
    /// Requests that waited for over a second, were it only for the link.
    late: f64,
    /// Most routers that were away at once.
    most_away: usize,
    goes: usize,
}

impl Zone {
    fn of(routers: &[(f64, f64)], requests: f64, sheds: bool) -> Self {
        let never = SheddingRule {
            full: f64::INFINITY,
            ..SheddingRule::default()
        };
        let rule = if sheds {
            SheddingRule::default()
        } else {
            never
        };
        let router = |(part, link): &(f64, f64)| Router {
            part: *part,
            link: *link,
            shedding: Shedding::new(rule.clone()),
            misses: 0,
            backlog: 0.0,
        };
        Self {
            now: Duration::ZERO,
            routers: routers.iter().map(router).collect(),
            requests,
            late: 0.0,
            most_away: 0,
            goes: 0,
        }
    }

    fn play(&mut self, seconds: u32) {
        for tick in 0..seconds * TICKS_A_SECOND {
            self.now += TICK;
            if tick % TICKS_A_SECOND == 0 {
                self.look();
            }
            // Load comes in clumps: half a second of half as much again, half a second of half.
            let clump = if tick % TICKS_A_SECOND < 2 { 1.5 } else { 0.5 };
            let requests = self.requests * clump * TICK.as_secs_f64();
            self.carry(requests);
            let away = self.routers.iter();
            let away = away.filter(|r| r.shedding.is_away(self.now)).count();
            self.most_away = self.most_away.max(away);
        }
    }

    /// The balancer asks whether they are ready, and siblings tell their load.
    fn look(&mut self) {
        let now = self.now;
        let said = self.routers.iter().map(|r| &r.shedding);
        let zone = ZoneLoad::of(said.map(|s| (s.load(), s.is_away(now))));
        for router in &mut self.routers {
            router.misses = if router.shedding.is_away(now) {
                router.misses + 1
            } else {
                0
            };
            router.shedding.heard(now, zone);
        }
    }

    fn carry(&mut self, requests: f64) {
        let parts = self.parts();
        for (router, part) in self.routers.iter_mut().zip(parts) {
            let came = requests * part;
            let carries = router.link * TICK.as_secs_f64();
            router.backlog += came * REQUEST;
            let used = router.backlog.min(carries) / carries;
            router.backlog -= router.backlog.min(carries);
            if router.backlog > router.link {
                self.late += came;
                // Clients give up: the backlog doesn't grow without end.
                router.backlog = router.link;
            }
            self.goes += usize::from(router.shedding.measured(self.now, used));
        }
    }

    /// Part of the requests that each router gets: who is out of rotation leaves its arc to the next one
    /// on the ring; with under half in rotation all get theirs.
    fn parts(&self) -> Vec<f64> {
        let count = self.routers.len();
        let inside: Vec<bool> = self.routers.iter().map(|r| r.misses < 2).collect();
        let all = 2 * inside.iter().filter(|inside| **inside).count() < count;
        let mut parts = vec![0.0; count];
        for (number, router) in self.routers.iter().enumerate() {
            let ring = (0..count).map(|step| (number + step) % count);
            let mut ring = ring.filter(|number| all || inside[*number]);
            parts[ring.next().expect("a router")] += router.part;
        }
        parts
    }

    fn late_part(&self, seconds: f64) -> f64 {
        self.late / (self.requests * seconds)
    }
}

/// Twenty routers, the first of which gets three quarters; the next on the ring has this link.
fn uneven(next: f64) -> Vec<(f64, f64)> {
    let mut routers = vec![(0.25 / 19.0, SMALL); 20];
    routers[0].0 = 0.75;
    routers[1].1 = next;
    routers
}

/// Guards against one router whose link is full for good while nineteen others are idle.
#[test]
fn a_router_with_most_of_the_clients_leaves_them_to_one_with_room() {
    let mut before = Zone::of(&uneven(LARGE), 450.0, false);
    before.play(60);
    assert!(before.late_part(60.0) > 0.5, "{}", before.late_part(60.0));
    let mut zone = Zone::of(&uneven(LARGE), 450.0, true);
    zone.play(60);
    assert!(zone.late_part(60.0) < 0.2, "{}", zone.late_part(60.0));
    assert_eq!(zone.most_away, 1);
}

/// Guards against a cascade: the load is more than any small link carries, and each router that gets it
/// leaves it to the next. It must not be worse than leaving it where it was, nor take half the zone out.
#[test]
fn a_load_that_nobody_carries_alone_takes_few_routers_out() {
    let mut before = Zone::of(&uneven(SMALL), 450.0, false);
    before.play(60);
    let mut zone = Zone::of(&uneven(SMALL), 450.0, true);
    zone.play(60);
    assert!(zone.late_part(60.0) <= before.late_part(60.0));
    assert!(zone.most_away <= 5, "{} away at once", zone.most_away);
}

/// Guards against routers that send clients round among each other where all are busy.
#[test]
fn where_all_are_busy_nobody_leaves() {
    let even = vec![(0.05, SMALL); 20];
    let mut zone = Zone::of(&even, 20.0 * 200.0, true);
    zone.play(60);
    assert_eq!(zone.goes, 0);
}

/// Guards against two routers that each find the other one less busy, by turns.
#[test]
fn two_routers_keep_a_load_that_fits() {
    let pair = [(0.6, SMALL), (0.4, SMALL)];
    let mut zone = Zone::of(&pair, 250.0, true);
    zone.play(60);
    assert_eq!(zone.goes, 0);
}

/// Guards against a router that leaves its clients to siblings of which it knows nothing.
#[test]
fn a_router_that_has_not_heard_of_its_siblings_stays() {
    let mut alone = Shedding::new(SheddingRule::default());
    for second in 0..60 {
        assert!(!alone.measured(Duration::from_secs(second), 1.0));
    }
    alone.heard(Duration::from_mins(1), IDLE);
    for second in 61..64 {
        alone.measured(Duration::from_secs(second), 1.0);
    }
    assert!(alone.is_away(Duration::from_secs(64)));
}

/// Guards against a router that comes back every few seconds to the load it left.
#[test]
fn a_router_stays_away_longer_each_time() {
    let mut router = Shedding::new(SheddingRule::default());
    let mut went = Vec::new();
    for tick in 0..1_200 {
        let now = TICK * tick;
        router.heard(now, IDLE);
        let used = if router.is_away(now) { 0.1 } else { 0.9 };
        if router.measured(now, used) {
            went.push(now);
        }
        assert!(!router.closes(now) || router.is_away(now));
    }
    let pauses: Vec<_> = went.windows(2).map(|w| w[1].saturating_sub(w[0])).collect();
    assert!(pauses[0] >= Duration::from_secs(10));
    assert!(pauses[1] >= Duration::from_secs(20));
    assert!(pauses[2] >= Duration::from_secs(40));
    assert!(pauses[3] < Duration::from_secs(45), "not for ever");
}
