//! Compares overspend and false refusals of three ways to enforce budgets: grants, an even split,
//! and asking the ledger for each request.
//!
//! `cargo run --release -p anvilreel --example money [SEED [HORIZON]]`; HORIZON is the horizon of
//! grants in seconds, in place of the default.

#![allow(missing_docs)]

#[path = "../tests/compare/play.rs"]
mod compare;

use std::time::Duration;

use anvilreel::money::GrantPolicy;
use compare::{Outcome, SharingScheme, Simulation, simulate};

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|a| a.parse().ok());
    let seed = args.next().unwrap_or(1);
    let mut policy = GrantPolicy::default();
    if let Some(horizon) = args.next() {
        policy.horizon = Duration::from_secs(horizon);
    }
    println!("seed {seed}; 8 routers, 20 budgets, 24,000 requests in 240 s; false refusals in %");
    println!("demand  used  cut   grants  even split  ask ledger  overspend  peak B/s  mean B/s");
    for skewed in [false, true] {
        for used in [90, 99, 100] {
            for partition in [false, true] {
                line(seed, &policy, skewed, used, partition);
            }
        }
    }
    let many_budgets = Simulation {
        scheme: SharingScheme::Grants,
        seed,
        routers: 8,
        budgets: 2_000,
        skewed: false,
        used: 90,
        partition: false,
        policy,
    };
    let many_budgets = simulate(many_budgets);
    let (peak, mean) = (many_budgets.peak_bytes, many_budgets.mean_bytes);
    println!("2,000 budgets, even, 90 %: peak {peak} B/s, mean {mean} B/s a router");
}

fn line(seed: u64, policy: &GrantPolicy, skewed: bool, used: u64, partition: bool) {
    let run_with = |scheme| {
        simulate(Simulation {
            scheme,
            seed,
            routers: 8,
            budgets: 20,
            skewed,
            used,
            partition,
            policy: policy.clone(),
        })
    };
    let (grants, even, ask) = (
        run_with(SharingScheme::Grants),
        run_with(SharingScheme::EvenSplit),
        run_with(SharingScheme::LedgerPerRequest),
    );
    let demand = if skewed { "skewed" } else { "even" };
    let outage = if partition { "60 s" } else { "-" };
    let overspend = grants.overspend.max(even.overspend).max(ask.overspend);
    println!(
        "{demand:<7} {used:>3} %  {outage:<4} {:>7} {:>11} {:>11} {overspend:>10} {:>9} {:>9}",
        percent(&grants),
        percent(&even),
        percent(&ask),
        grants.peak_bytes,
        grants.mean_bytes,
    );
}

fn percent(outcome: &Outcome) -> String {
    let milli = outcome.false_milli_percent();
    format!("{}.{:03}", milli / 1_000, milli % 1_000)
}
