//! Measures the time of one decision, for fleets of several sizes.
//!
//! `cargo run --release -p anvil_policy --example decision_time`

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anvil_policy::entry_queue::{EntryQueue, EntryRequest, Occupancy};
use anvil_policy::prelude::*;
use anvil_policy::waiting::Urgency;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUNDS: u32 = 200_000;
const SLOTS: u32 = 64;

fn main() {
    println!("| endpoints | organisations | state | choice | choice, prefix | offer and next |");
    println!("|---|---|---|---|---|---|");
    for (endpoints, organisations) in [(14, 10), (128, 2_100), (7_100, 2_100)] {
        for full in [false, true] {
            let pool = pool(endpoints, full);
            println!(
                "| {endpoints} | {organisations} | {} | {:?} | {:?} | {:?} |",
                if full { "all full" } else { "room" },
                choice_time(&pool, false),
                choice_time(&pool, true),
                admission_time(organisations, full),
            );
        }
    }
    println!("entry queue: offer, next and put back: {:?}", entry_time());
}

/// Mean time in which a router queues a request, takes the next one and puts it back, while 200
/// requests of 50 organisations wait.
fn entry_time() -> Duration {
    const WAITING: u32 = 200;
    let mut queue = EntryQueue::default();
    let names: Vec<OrganisationId> = (0..50)
        .map(|at| format!("organisation-{at}").into())
        .collect();
    let occupancy = Occupancy {
        running: 1_000,
        slot_time: Duration::from_millis(100),
    };
    let offer = |queue: &mut EntryQueue, now: Now, at: u32| {
        let req = EntryRequest {
            organisation: names[at as usize % names.len()].clone(),
            route: "desk".into(),
            shares: Arc::default(),
            urgency: Urgency {
                class: u8::try_from(at % 3).unwrap_or_default(),
                is_new: true,
            },
            target: now + Duration::from_hours(1),
            deadline: now + Duration::from_hours(1),
            response_time: Duration::ZERO,
            min_wait: Duration::ZERO,
        };
        queue.offer(now, &req, occupancy, 0.5)
    };
    for at in 0..WAITING {
        let _ = black_box(offer(&mut queue, Duration::ZERO, at));
    }
    let started = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_micros(u64::from(round));
        let _ = black_box(offer(&mut queue, now, round));
        if let Some(waiter) = queue.next(now) {
            queue.put_back(now, &waiter);
        }
        black_box(queue.next(now));
    }
    started.elapsed() / ROUNDS
}

fn pool(endpoints: usize, full: bool) -> Pool {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let state = |at: usize| {
        let zone = Zone::new("region", &format!("zone-{}", at % 8));
        let state = EndpointState::new(format!("runner-{at}").into(), zone, SLOTS);
        let load = LoadReport {
            running: if full {
                2 * SLOTS
            } else {
                rng.random_range(0..SLOTS)
            },
            slots: SLOTS,
            ..LoadReport::default()
        };
        state.report(&load, false);
        state.set_routers(SLOTS);
        state.start();
        Arc::new(state)
    };
    Pool::new((0..endpoints).map(state).collect())
}

/// Mean time to choose an endpoint; with `prefix`, including the lookup in the prefix index.
fn choice_time(pool: &Pool, prefix: bool) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let chooser = Chooser::default().with_zone(Zone::new("region", "zone-0"));
    let (index, prompts) = filled_index(pool);
    let now = Duration::from_secs(1);
    let started = Instant::now();
    for round in 0..ROUNDS {
        let hashes = &prompts[round as usize % prompts.len()];
        let held = if prefix {
            index.holders(now, hashes)
        } else {
            Vec::new()
        };
        let cached: Vec<_> = held.into_iter().map(|(id, n)| (id, n as Tokens)).collect();
        let choice_request = ChoiceRequest {
            prompt: 1_000,
            cached: &cached,
            avoid: &[],
        };
        black_box(chooser.choose(pool, &choice_request, &mut rng));
    }
    started.elapsed() / ROUNDS
}

/// A full index: 65,536 prefixes in prompts of 8 blocks.
fn filled_index(pool: &Pool) -> (PrefixIndex, Vec<Vec<u64>>) {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut index = PrefixIndex::default();
    let prompts: Vec<Vec<u64>> = (0..8_192)
        .map(|_| (0..8).map(|_| rng.random()).collect())
        .collect();
    for hashes in &prompts {
        let at = rng.random_range(0..pool.endpoints().len());
        index.record_sent(Duration::ZERO, &pool.endpoints()[at].id, hashes);
    }
    (index, prompts)
}

/// Mean time to admit a request and to dispatch the next one, while work of all organisations is
/// queued.
fn admission_time(organisations: u32, full: bool) -> Duration {
    let rule = AdmissionRule {
        max_wait: Duration::from_hours(1),
        saturated_wait: Duration::from_hours(1),
        max_waiting: 1 << 20,
        ..AdmissionRule::default()
    };
    let mut gate = AdmissionGate::new(rule).with_limit(1_000);
    let names: Vec<OrganisationId> = (0..organisations)
        .map(|at| format!("organisation-{at}").into())
        .collect();
    let ticket = |at: u32| Ticket {
        organisation: names[(at % organisations) as usize].clone(),
        route: None,
        weight: 1,
        class: WorkClass::Interactive,
        prompt: 100,
        service: Duration::from_secs(5),
        deadline: Duration::from_hours(2),
        priority: None,
    };
    let waiting = if full { 4 * organisations } else { 0 };
    for at in 0..1_000 + waiting {
        black_box(gate.offer(Duration::ZERO, ticket(at)));
    }
    let started = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_micros(u64::from(round));
        black_box(gate.offer(now, ticket(round)));
        gate.finished();
        black_box(gate.next(now));
    }
    started.elapsed() / ROUNDS
}
