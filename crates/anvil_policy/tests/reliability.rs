//! Endpoints that lose part of their answers, without a network.

use std::time::Duration;

use anvil_policy::reliability::Reliability;
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 9;
const ROUTERS: usize = 3;
const LOSS_COSTS: Duration = Duration::from_millis(800);

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Requests lost of 60 a second over six seconds, when five of nine engines lose 40 in 100. Each engine's load
/// is its requests of the last second, 10 ms for each.
fn lost(loss_costs: Duration) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut known = vec![[Reliability::default(); ENGINES]; ROUTERS];
    let mut sent: Vec<(u64, usize)> = Vec::new();
    let mut lost = 0;
    for number in 0..360 {
        let now = number * 1_000 / 60;
        sent.retain(|(when, _)| when + 1_000 > now);
        let router = &mut known[rng.random_range(0..ROUTERS)];
        let expected = |engine: usize| {
            let busy = sent.iter().filter(|(_, other)| *other == engine).count();
            let waiting = Duration::from_millis(10) * u32::try_from(busy).unwrap_or(0);
            waiting + router[engine].set_back(at(now), loss_costs)
        };
        let start = rng.random_range(0..ENGINES);
        let all = (0..ENGINES).map(|n| (start + n) % ENGINES);
        let engine = all.min_by_key(|engine| expected(*engine)).expect("one");
        sent.push((now, engine));
        if engine < 5 && rng.random_range(0..10) < 4 {
            lost += 1;
            router[engine].note_loss(at(now));
        } else {
            router[engine].answered(at(now));
        }
    }
    lost
}

/// Five of nine engines lose four answers in ten for some seconds, and what they lose may not run again.
/// Three routers see two requests a second of each engine. Sent by load alone, a fifth of all is lost.
#[test]
fn less_goes_to_engines_that_lose_answers() {
    let blind = lost(Duration::ZERO);
    let seeing = lost(LOSS_COSTS);
    assert!(blind > 60, "{blind}");
    assert!(seeing * 2 < blind, "{seeing} of {blind}");
}

/// An engine that lost answers gets none for a while, so nothing good is heard of it. After some
/// seconds it is tried again all the same.
#[test]
fn losses_are_forgotten_in_time() {
    let mut engine = Reliability::default();
    engine.note_loss(at(0));
    engine.note_loss(at(10));
    assert!(engine.lost(at(20)) > 0.4);
    assert!(engine.lost(at(12_000)) < 0.06);
}

/// A single lost connection on an engine that answers well is nothing that lasts.
#[test]
fn good_answers_take_a_loss_back() {
    let mut engine = Reliability::default();
    engine.note_loss(at(0));
    for number in 0..16 {
        engine.answered(at(number * 50));
    }
    assert!(engine.set_back(at(800), LOSS_COSTS) < Duration::from_millis(25));
}
