//! Long randomised simulation of grants, claims, runs and exchanges together.
//!
//! `cargo run --release -p anvilreel --example soak -- FIRST LAST [WITHOUT]` runs the seeds from
//! FIRST to LAST and prints the number of steps, faults and comparisons. If an invariant is
//! violated, it prints the seed and step and exits with 1. WITHOUT names a guard to disable. With
//! the environment variable TRACE set, it prints the events of keys that contain its text.

#![allow(missing_docs)]

#[path = "../tests/soak/world.rs"]
mod world;

use std::collections::BTreeMap;
use std::process::ExitCode;

use world::{Plan, World};

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let mut number = |default: u64| args.next().and_then(|a| a.parse().ok()).unwrap_or(default);
    let (first, last) = (number(1), number(100));
    let without = args.next().map(|guard| &*guard.leak());
    let (mut steps, mut violated) = (0, 0);
    let mut counts = BTreeMap::new();
    for seed in first..=last {
        let plan = Plan {
            seed,
            without,
            trace: std::env::var("TRACE").ok(),
            ..Plan::default()
        };
        match World::new(plan).run() {
            Ok(world) => {
                steps += world.steps;
                for (counter, count) in world.counts {
                    *counts.entry(counter).or_insert(0) += count;
                }
            }
            Err(e) => {
                println!("BROKEN {e}");
                violated += 1;
            }
        }
    }
    println!("seeds {first} to {last}: {steps} steps, {violated} broken");
    for (counter, count) in counts {
        println!("{count:>9} {counter}");
    }
    if violated == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
