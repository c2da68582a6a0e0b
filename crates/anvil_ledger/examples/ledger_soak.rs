//! The long randomised run: replicas, disks and network simulated from one seed.
//!
//! ```text
//! cargo run --release -p anvil_ledger --example ledger_soak -- --seed 1 --steps 1000000
//! ```
//!
//! The steps are run in episodes, each with a fresh fleet and its own seed. A violated invariant
//! ends the run with a panic that names it; the episode's seed was printed before.

#[path = "../tests/support/checks.rs"]
mod checks;
#[path = "../tests/support/clients.rs"]
mod clients;
#[path = "../tests/support/faults.rs"]
mod faults;
#[path = "../tests/support/fleet.rs"]
#[allow(dead_code, reason = "failures.rs uses the rest")]
mod fleet;
#[path = "../tests/support/mem_disk.rs"]
#[allow(dead_code, reason = "storage_failures.rs uses the rest")]
mod mem_disk;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Instant;

use checks::Counts;
use fleet::Fleet;

/// Number of steps of one episode, before all faults end and the replicas are compared.
const EPISODE_STEPS: u64 = 50_000;

/// Command line arguments.
struct Options {
    seed: u64,
    steps: u64,
}

fn read_arguments() -> Option<Options> {
    let mut options = Options {
        seed: 1,
        steps: 1_000_000,
    };
    let mut arguments = std::env::args().skip(1);
    while let Some(name) = arguments.next() {
        let value = arguments.next()?.parse().ok()?;
        match name.as_str() {
            "--seed" => options.seed = value,
            "--steps" => options.steps = value,
            _ => return None,
        }
    }
    Some(options)
}

fn main() -> ExitCode {
    let Some(options) = read_arguments() else {
        eprintln!("usage: soak [--seed N] [--steps N]");
        return ExitCode::from(2);
    };
    let start_time = Instant::now();
    let mut steps = 0;
    let mut episodes = 0;
    let mut counts = Counts::default();
    let mut faults: BTreeMap<&'static str, u64> = BTreeMap::new();
    while steps < options.steps {
        let seed = options.seed.wrapping_mul(1_000_003).wrapping_add(episodes);
        println!("episode {episodes} seed {seed}");
        let mut fleet = Fleet::new(seed, if episodes % 3 == 2 { 5 } else { 3 });
        fleet.start_faults(episodes % 2 == 1);
        while fleet.steps < EPISODE_STEPS && fleet.step() {}
        fleet.converge();
        steps += fleet.steps;
        episodes += 1;
        counts += &fleet.checks.counts;
        for (what, count) in &fleet.faults.counts {
            *faults.entry(what).or_default() += count;
        }
    }
    let took = start_time.elapsed();
    println!(
        "seed {} steps {steps} episodes {episodes} in {took:.1?}",
        options.seed
    );
    for (what, count) in faults {
        println!("fault: {what}: {count}");
    }
    println!("checked: {counts:#?}");
    ExitCode::SUCCESS
}
