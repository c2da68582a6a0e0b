//! Derives the requests of a scenario: the same for every run with the same seed.

use std::time::Duration;

use anvil_world::document::WorkClass;
use anvil_world::ids::Tokens;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{Load, Scenario};

/// Mixed into the seed of each load, so that a change of one load's rate does not change the
/// arrivals of the others.
const LOAD_STRIDE: u64 = 0x9E37_79B9_7F4A_7C15;
/// Maximum number of arrivals of a run, whatever the scenario specifies.
const MAX_ARRIVALS: usize = 5_000_000;

/// A request that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// Sequence number within the run.
    pub number: u64,
    /// Index of its load in the scenario.
    pub load: usize,
    /// Index of the sending organisation; the large ones come first.
    pub organisation: u32,
    /// Priority class.
    pub class: WorkClass,
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Output tokens.
    pub output: Tokens,
    /// Index of the shared prefix that the prompt begins with, if any.
    pub prefix: Option<u32>,
    /// Maximum time from the request to the end of its response.
    pub deadline: Duration,
}

/// All requests of a scenario, ordered by time.
pub fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let loads = scenario.load.iter().enumerate();
    let mut all: Vec<_> = loads
        .flat_map(|(load_index, load)| load_arrivals(scenario, load_index, load))
        .take(MAX_ARRIVALS)
        .collect();
    all.sort_by_key(|arrival| (arrival.at, arrival.load));
    for (number, arrival) in all.iter_mut().enumerate() {
        arrival.number = number as u64;
    }
    all
}

/// Arrivals of one load: a Poisson process whose rate changes at the scenario's steps. It is made
/// by thinning: candidates arrive at the peak rate and are accepted with the ratio of the
/// current rate to the peak as probability.
fn load_arrivals(scenario: &Scenario, load_index: usize, load: &Load) -> Vec<Arrival> {
    let stride = LOAD_STRIDE.wrapping_mul(load_index as u64 + 1);
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ stride);
    let steps = scenario.steps.iter().map(|step| step.percent);
    let peak = steps.chain([100]).max().unwrap_or(100);
    let rate = f64::from(load.rate) * f64::from(peak) / 100.0;
    let mut accepted = Vec::new();
    let mut now = Duration::ZERO;
    while rate > 0.0 && accepted.len() < MAX_ARRIVALS {
        now += exponential_gap(&mut rng, rate);
        if now >= scenario.run_for {
            break;
        }
        let acceptance = f64::from(scenario.percent_at(now)) / f64::from(peak);
        if rng.random::<f64>() < acceptance {
            accepted.push(draw_arrival(scenario, load_index, load, now, &mut rng));
        }
    }
    accepted
}

fn draw_arrival(
    scenario: &Scenario,
    load_index: usize,
    load: &Load,
    now: Duration,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    Arrival {
        at: now,
        number: 0,
        load: load_index,
        organisation: organisation(scenario, rng),
        class: load.class,
        prompt: draw_length(load.prompt, rng),
        output: draw_length(load.output, rng),
        prefix: (load.prefixes > 0).then(|| rng.random_range(0..load.prefixes)),
        deadline: load.deadline,
    }
}

fn exponential_gap(rng: &mut impl Rng, rate: f64) -> Duration {
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

/// A length between two bounds with a uniformly distributed logarithm: many short, few long.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "lengths are checked to be at most a million"
)]
fn draw_length((min, max): (Tokens, Tokens), rng: &mut impl Rng) -> Tokens {
    let (ln_min, ln_max) = ((min as f64).ln(), (max as f64).ln());
    let ln_length = ln_min + (ln_max - ln_min) * rng.random::<f64>();
    (ln_length.exp().round() as Tokens).clamp(min, max)
}
