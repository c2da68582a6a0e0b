//! Several routers that share endpoints, each with the load that it knows of.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use anvil_policy::entry_queue::{EntryQueue, EntryRequest, Occupancy};
use anvil_policy::room::{
    EngineRoom, InFlightWindow, WindowSample, guaranteed_requests, is_congested, window_interval,
};
use anvil_policy::waiting::{Urgency, WaiterId};
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NEW: Urgency = Urgency {
    class: 0,
    is_new: true,
};
const TARGET: Duration = Duration::from_millis(120);
const WORK: Duration = Duration::from_millis(15);
/// Time that a request takes at an endpoint under overload, with its wait there.
const HELD: Duration = Duration::from_millis(30);
const STEP: Duration = Duration::from_millis(1);
const SEEDS: std::ops::Range<u64> = 5..10;
const LENGTH: Duration = Duration::from_secs(20);
const ENDPOINTS: usize = 3;
const SLOTS: usize = 6;
/// An endpoint turns away what exceeds this queue.
const ENDPOINT_QUEUE: usize = 24;

#[derive(Default)]
struct Endpoint {
    running: Vec<(Now, usize, Now)>,
    queue: VecDeque<(usize, Now)>,
}

#[derive(Default)]
struct Router {
    rate: f64,
    queue: EntryQueue,
    window: InFlightWindow,
    changed_at: Now,
    sample: [u32; 3],
    queued: BTreeMap<WaiterId, Now>,
    own: [u32; ENDPOINTS],
    others: [u32; ENDPOINTS],
    offered: u32,
    in_time: u32,
    turned_away: u32,
}

impl Router {
    fn in_flight(&self) -> u32 {
        self.own.iter().sum()
    }

    fn estimate(&self, endpoint: usize) -> u32 {
        self.own[endpoint] + self.others[endpoint]
    }

    fn occupancy(&self) -> Occupancy {
        Occupancy {
            running: self.in_flight(),
            slot_time: HELD,
        }
    }

    fn apply_report(&mut self, now: Now, load: u32) {
        self.sample[1] += 1;
        self.sample[2] += u32::from(is_congested(load, slots()));
        let elapsed = now.saturating_sub(self.changed_at);
        if elapsed >= window_interval(HELD) {
            let [offered, reports, congested] = std::mem::take(&mut self.sample);
            self.window.change(&WindowSample {
                elapsed,
                offered,
                reports,
                congested,
                in_flight: self.in_flight(),
                slot_time: HELD,
            });
            self.changed_at = now;
        }
    }

    /// The least loaded endpoint, if there is room.
    fn choose(&self, routers: u32) -> Option<usize> {
        let best = (0..ENDPOINTS).min_by_key(|at| self.estimate(*at))?;
        let all_slots = u32::try_from(ENDPOINTS * SLOTS).expect("few");
        let guaranteed = guaranteed_requests(all_slots, routers);
        let window = self.window.size().unwrap_or(u32::MAX);
        (self.in_flight() < guaranteed.max(window)).then_some(best)
    }
}

fn slots() -> u32 {
    u32::try_from(SLOTS).expect("few")
}

/// Runs routers with these rates of requests; returns the part that each serves in time, and the
/// part that endpoints turn away.
fn run(rates: &[f64], seed: u64) -> Vec<(f64, f64)> {
    let count = u32::try_from(rates.len()).expect("few");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut endpoints: [Endpoint; ENDPOINTS] = Default::default();
    let router = |rate: &f64| Router {
        rate: *rate,
        ..Router::default()
    };
    let mut routers: Vec<Router> = rates.iter().map(router).collect();
    let mut now = Duration::ZERO;
    while now < LENGTH {
        now += STEP;
        let mut sent = Vec::new();
        for (at, endpoint) in endpoints.iter_mut().enumerate() {
            let (ended, running): (Vec<_>, Vec<_>) =
                endpoint.running.iter().partition(|(end, ..)| *end <= now);
            endpoint.running = running;
            while endpoint.running.len() < SLOTS
                && let Some((router, arrived)) = endpoint.queue.pop_front()
            {
                endpoint.running.push((now + WORK, router, arrived));
            }
            let load = u32::try_from(endpoint.running.len() + endpoint.queue.len()).expect("few");
            for (_, number, arrived) in ended {
                let router = &mut routers[number];
                router.own[at] -= 1;
                router.others[at] = load.saturating_sub(router.own[at]);
                router.apply_report(now, load);
                router.in_time += u32::from(now <= arrived + TARGET);
                let mut wakes = 1;
                while wakes > 0
                    && let Some(waiter) = router.queue.next(now)
                {
                    wakes -= 1;
                    let arrived = router.queued.remove(&waiter.id).expect("queued");
                    let Some(chosen) = router.choose(count) else {
                        let id = router.queue.put_back(now, &waiter);
                        router.queued.insert(id, arrived);
                        break;
                    };
                    router.queue.record_start(now);
                    router.own[chosen] += 1;
                    sent.push((chosen, number, arrived));
                    // A request that finds further room wakes the next.
                    wakes += u32::from(router.choose(count).is_some());
                }
            }
        }
        for (number, router) in routers.iter_mut().enumerate() {
            while let Some((waiter, _)) = router.queue.expired(now, router.occupancy(), 0.0) {
                router.queued.remove(&waiter.id);
            }
            if rng.random::<f64>() >= router.rate * STEP.as_secs_f64() {
                continue;
            }
            router.offered += 1;
            router.sample[0] += 1;
            let chosen = router.choose(count);
            if let Some(chosen) = chosen.filter(|_| router.queue.is_empty()) {
                router.own[chosen] += 1;
                sent.push((chosen, number, now));
                continue;
            }
            let req = EntryRequest {
                organisation: "co-op".into(),
                route: "desk".into(),
                shares: Arc::default(),
                urgency: NEW,
                target: now + TARGET,
                deadline: now + Duration::from_secs(1),
                response_time: HELD,
                min_wait: Duration::ZERO,
            };
            let occupancy = router.occupancy();
            if let Ok(id) = router.queue.offer(now, &req, occupancy, 0.0) {
                router.queued.insert(id, now);
            }
        }
        for (at, number, arrived) in sent {
            let endpoint = &mut endpoints[at];
            if endpoint.running.len() < SLOTS {
                endpoint.running.push((now + WORK, number, arrived));
            } else if endpoint.queue.len() < ENDPOINT_QUEUE {
                endpoint.queue.push_back((number, arrived));
            } else {
                let router = &mut routers[number];
                router.own[at] -= 1;
                router.others[at] = 30_u32.saturating_sub(router.own[at]);
                router.turned_away += 1;
            }
        }
    }
    let part = |n: u32, router: &Router| f64::from(n) / f64::from(router.offered.max(1));
    let score = |router: &Router| {
        (
            part(router.in_time, router),
            part(router.turned_away, router),
        )
    };
    routers.iter().map(score).collect()
}

fn mean(scores: &[(f64, f64)]) -> f64 {
    let count = u32::try_from(scores.len()).expect("few");
    scores.iter().map(|(served, _)| served).sum::<f64>() / f64::from(count)
}

/// Guards against requests that wait or are refused while the endpoints have room.
#[test]
fn everything_is_served_in_time_below_capacity() {
    for seed in SEEDS {
        let scores = run(&[250.0; 4], seed);
        let all_served = scores.iter().all(|(served, _)| *served > 0.99);
        assert!(all_served, "{scores:?}");
    }
}

/// Guards against routers that receive a quarter of the requests of others being left without
/// slots: they learn of free ones only from their few responses.
#[test]
fn zone_with_a_quarter_of_the_callers_keeps_its_part_of_the_pool() {
    for seed in SEEDS {
        // Together 1.3 times what 18 slots serve.
        let rates = [312.0, 312.0, 312.0, 312.0, 78.0, 78.0, 78.0, 78.0];
        let scores = run(&rates, seed);
        let (busy, quiet) = (mean(&scores[..4]), mean(&scores[4..]));
        assert!(quiet >= 0.75 * busy, "{quiet} and {busy}: {scores:?}");
        assert!(busy >= 0.75 * quiet, "{quiet} and {busy}: {scores:?}");
    }
}

/// Guards against one of several equal routers that takes nearly all slots, and against routers
/// that fill the endpoints' queues until these turn requests away.
#[test]
fn equal_routers_share_the_endpoints_under_overload() {
    for seed in SEEDS {
        // Together twice what 18 slots serve.
        let scores = run(&[400.0; 6], seed);
        let all = mean(&scores);
        assert!(all > 0.9 * 0.5, "{scores:?}");
        for (served, turned_away) in &scores {
            assert!(*served > 0.5 * all, "{scores:?}");
            assert!(*turned_away < 0.05, "{scores:?}");
        }
    }
}

/// Guards against an engine that is busy with long prompts counting as full for a request that no
/// other engine can serve sooner, and against prompts that pile up at one.
#[test]
fn engine_has_room_while_it_has_a_slot_and_no_pending_prompt() {
    let within = Duration::from_millis(250);
    let idle = EngineRoom {
        requests: 40,
        slots: 64,
        expected: 2 * within,
        has_pending_prompts: false,
    };
    assert!(idle.allows(within));
    let busy = EngineRoom {
        has_pending_prompts: true,
        ..idle
    };
    assert!(!busy.allows(within));
    let full = EngineRoom {
        requests: 68,
        expected: within / 2,
        ..idle
    };
    assert!(!full.allows(within));
}

/// Guards against a window that outlasts the overload and holds back the next burst.
#[test]
fn window_ends_after_the_overload() {
    let mut window = InFlightWindow::default();
    let congested = WindowSample {
        elapsed: Duration::from_millis(50),
        offered: 20,
        reports: 10,
        congested: 10,
        in_flight: 12,
        slot_time: HELD,
    };
    window.change(&congested);
    assert!(window.size().is_some_and(|size| size < 12));
    let calm = WindowSample {
        congested: 0,
        ..congested
    };
    let mut after_a_second = window;
    for _ in 0..20 {
        after_a_second.change(&calm);
    }
    assert_eq!(after_a_second.size(), None);
    let after_a_pause = WindowSample {
        elapsed: Duration::from_mins(1),
        offered: 1,
        ..calm
    };
    window.change(&after_a_pause);
    assert_eq!(window.size(), None);
}

/// Guards against a router that receives its first report of congestion after a second without any,
/// and fills the endpoints' queues as if there were none.
#[test]
fn congestion_after_a_pause_starts_a_window() {
    let mut window = InFlightWindow::default();
    window.change(&WindowSample {
        elapsed: Duration::from_secs(10),
        offered: 12,
        reports: 1,
        congested: 1,
        in_flight: 12,
        slot_time: HELD,
    });
    assert!(window.size().is_some_and(|size| size < 12), "{window:?}");
}
