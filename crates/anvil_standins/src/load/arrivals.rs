//! The requests of a scenario: the same for every run with the same seed.

use std::time::Duration;

use anvil_world::document::WorkClass;
use anvil_world::ids::Tokens;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{Load, Scenario};

/// Mixed into the seed of each load, so that one load's rate does not shift another's times.
const LOAD_STRIDE: u64 = 0x9E37_79B9_7F4A_7C15;
/// Arrivals of a run at most, whatever the scenario says.
const MOST: usize = 5_000_000;

/// One request to come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// Running number in the run.
    pub number: u64,
    /// Which load it belongs to, by its place in the scenario.
    pub load: usize,
    /// Which organisation asks; the large ones come first.
    pub organisation: u32,
    /// How it waits.
    pub class: WorkClass,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
    /// Which shared prefix the prompt begins with.
    pub prefix: Option<u32>,
    /// Longest time to the end of its answer.
    pub deadline: Duration,
}

/// All requests of a scenario, in the order of their times.
pub fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let loads = scenario.load.iter().enumerate();
    let mut all: Vec<_> = loads
        .flat_map(|(at, load)| of_load(scenario, at, load))
        .take(MOST)
        .collect();
    all.sort_by_key(|arrival| (arrival.at, arrival.load));
    for (number, arrival) in all.iter_mut().enumerate() {
        arrival.number = number as u64;
    }
    all
}

/// A Poisson process whose rate changes at the scenario's steps, by thinning: candidates come at
/// the highest rate, and each is kept with the share that holds at its time.
fn of_load(scenario: &Scenario, at: usize, load: &Load) -> Vec<Arrival> {
    let stride = LOAD_STRIDE.wrapping_mul(at as u64 + 1);
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ stride);
    let steps = scenario.steps.iter().map(|step| step.percent);
    let peak = steps.chain([100]).max().unwrap_or(100);
    let rate = f64::from(load.rate) * f64::from(peak) / 100.0;
    let mut found = Vec::new();
    let mut now = Duration::ZERO;
    while rate > 0.0 && found.len() < MOST {
        now += exponential(&mut rng, rate);
        if now >= scenario.run_for {
            break;
        }
        let keep = f64::from(scenario.percent_at(now)) / f64::from(peak);
        if rng.random::<f64>() < keep {
            found.push(draw(scenario, at, load, now, &mut rng));
        }
    }
    found
}

fn draw(
    scenario: &Scenario,
    at: usize,
    load: &Load,
    now: Duration,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    Arrival {
        at: now,
        number: 0,
        load: at,
        organisation: organisation(scenario, rng),
        class: load.class,
        prompt: length(load.prompt, rng),
        output: length(load.output, rng),
        prefix: (load.prefixes > 0).then(|| rng.random_range(0..load.prefixes)),
        deadline: load.deadline,
    }
}

fn exponential(rng: &mut impl Rng, rate: f64) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

fn organisation(scenario: &Scenario, rng: &mut impl Rng) -> u32 {
    let callers = &scenario.callers;
    let small = callers.organisations - callers.large;
    let from_large = rng.random_range(0..100) < callers.large_percent;
    if callers.large > 0 && (from_large || small == 0) {
        rng.random_range(0..callers.large)
    } else {
        callers.large + rng.random_range(0..small)
    }
}

/// Between two lengths, evenly spread over their logarithms: many short ones, a few long ones.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "lengths are checked to be at most a million"
)]
fn length((least, most): (Tokens, Tokens), rng: &mut impl Rng) -> Tokens {
    let (low, high) = ((least as f64).ln(), (most as f64).ln());
    let drawn = low + (high - low) * rng.random::<f64>();
    (drawn.exp().round() as Tokens).clamp(least, most)
}
