//! The long seeded randomised run of money, claims, runs and exchanges together.
//!
//! `cargo run --release -p anvilreel --example soak -- FIRST LAST [WITHOUT]` plays the seeds from
//! FIRST to LAST and prints steps, faults and what was compared. It ends with 1 where an
//! invariant broke, and prints the seed and step. WITHOUT names a guard to take out. With TRACE
//! set, what happens to keys that hold its text is printed.

#![allow(missing_docs)]

#[path = "../tests/soak/world.rs"]
mod world;

use std::collections::BTreeMap;
use std::process::ExitCode;

use world::{Plan, World};

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let mut number = |or: u64| args.next().and_then(|a| a.parse().ok()).unwrap_or(or);
    let (first, last) = (number(1), number(100));
    let without = args.next().map(|guard| &*guard.leak());
    let (mut steps, mut broken) = (0, 0);
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
                for (what, n) in world.counts {
                    *counts.entry(what).or_insert(0) += n;
                }
            }
            Err(e) => {
                println!("BROKEN {e}");
                broken += 1;
            }
        }
    }
    println!("seeds {first} to {last}: {steps} steps, {broken} broken");
    for (what, n) in counts {
        println!("{n:>9} {what}");
    }
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
