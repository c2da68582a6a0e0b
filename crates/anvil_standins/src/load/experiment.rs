//! Runs a scenario file in the policy simulation, in virtual time.
//!
//! Only its chats are simulated: the fake engine has no plain calls. Faults of endpoints and
//! zones are simulated; those of routers and ledger replicas are ignored, because the simulation
//! has no such processes.

use anvil_world::ids::Tokens;

use super::fake::Fault as FakeFault;
use super::policy::scenario::{Burst, FaultAt, Kind};
use super::policy::{PolicyScenario, Report as PolicyReport, Rule, run_policy};
use super::report::{Quantiles, Report};
use super::scenario::{Fault, FaultKind, Load, RequestKind, Scenario};

/// Prompt tokens in a block of a scenario's prefix cache.
const BLOCK_TOKENS: Tokens = 16;

/// Simulates a scenario under one rule.
pub fn simulate(scenario: &Scenario, rule: &Rule) -> Report {
    let report = run_policy(&PolicyScenario::from(scenario), rule);
    to_load_report(scenario, &report)
}

impl From<&Scenario> for PolicyScenario {
    fn from(scenario: &Scenario) -> Self {
        let chats = || {
            scenario
                .load
                .iter()
                .filter(|l| l.asking == RequestKind::Chat)
        };
        let services: Vec<_> = chats().map(|load| &load.service).collect();
        let groups = scenario.endpoints.iter();
        let groups_with_chats: Vec<_> = groups.filter(|g| services.contains(&&g.service)).collect();
        let first = groups_with_chats.first();
        let callers = &scenario.callers;
        let large_part = f64::from(callers.large_percent) / 100.0;
        let zones = scenario.fleet.zones.len();
        let endpoints = groups_with_chats.iter().map(|g| g.count as usize).sum();
        let faults = scenario.faults.iter();
        Self {
            name: "scenario",
            seed: scenario.seed,
            length: scenario.run_for,
            routers: scenario.fleet.routers as usize,
            endpoints,
            zones,
            slots: first.map_or(16, |g| g.slots as usize),
            cache: first.map_or(0, |g| g.cache_blocks as Tokens * BLOCK_TOKENS),
            rate: chats().map(|load| f64::from(load.rate)).sum(),
            organisations: callers.organisations as usize,
            skew: (callers.large > 0).then_some((large_part, callers.large as usize)),
            prefixes: chats().map(|l| l.prefixes as usize).max().unwrap_or(0),
            kinds: chats().map(kind).collect(),
            bursts: bursts(scenario),
            faults: faults.filter_map(|f| fault(f, endpoints, zones)).collect(),
            ..Self::default()
        }
    }
}

fn kind(load: &Load) -> Kind {
    // A shared prefix is half of the minimum prompt length.
    let prefix = if load.prefixes > 0 {
        load.prompt.0 / 2
    } else {
        0
    };
    Kind {
        name: "load",
        weight: load.rate,
        class: load.class,
        prefix,
        prompt: (load.prompt.0 - prefix, load.prompt.1 - prefix),
        output: load.output,
        output_bound: load.output.1,
        timeout: load.deadline,
    }
}

fn bursts(scenario: &Scenario) -> Vec<Burst> {
    let steps = &scenario.steps;
    let ends = steps.iter().skip(1).map(|step| step.at);
    let ends = ends.chain([scenario.run_for]);
    steps
        .iter()
        .zip(ends)
        .map(|(step, until)| Burst {
            from: step.at,
            until,
            factor: f64::from(step.percent) / 100.0,
        })
        .collect()
}

fn fault(fault: &Fault, endpoints: usize, zones: usize) -> Option<FaultAt> {
    let (kind, whole_zone) = match fault.kind {
        FaultKind::Slow => (FakeFault::Slow(f64::from(fault.factor)), false),
        FaultKind::Failing => (FakeFault::FailsFast, false),
        FaultKind::EndpointLost => (FakeFault::Down, false),
        FaultKind::ZoneLost => (FakeFault::Down, true),
        FaultKind::RouterLost | FaultKind::LedgerLost => return None,
    };
    let first = fault.index as usize;
    let count = if whole_zone {
        endpoints.saturating_sub(first).div_ceil(zones)
    } else {
        1
    };
    (first < endpoints).then_some(FaultAt {
        from: fault.at,
        until: fault.until,
        first,
        count,
        step: zones,
        fault: kind,
    })
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates and counts of one run, never negative"
)]
fn to_load_report(scenario: &Scenario, r: &PolicyReport) -> Report {
    let quantiles = |p50, p95| Quantiles {
        p50,
        p95,
        ..Quantiles::default()
    };
    let in_deadline = r.goodput * scenario.run_for.as_secs_f64();
    Report {
        offered: r.offered,
        completed: r.completed,
        in_deadline: in_deadline.round() as u64,
        refused: [("refused".to_owned(), r.refused)].into(),
        false_refusals: r.false_refused,
        lost: r.given_up + r.failed,
        first_token: quantiles(r.first_p50, r.first_p95),
        between: quantiles(0.0, r.between_p95),
        fairness: r.jain,
        prefix_hits: Some(r.prefix_hits),
        hot_spot: Some(r.hot_spot),
        // The simulation counts in intervals of ten seconds, the chart in seconds.
        goodput: r
            .over_time
            .iter()
            .flat_map(|rate| std::iter::repeat_n(rate.round() as u64, 10))
            .collect(),
        ..Report::new(scenario, &r.rule)
    }
}
