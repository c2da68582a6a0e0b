//! Scenarios of the policy simulation: load, bursts and faults.

use std::time::Duration;

use anvil_world::prelude::*;

pub use super::kind::Kind;
use crate::load::fake::Fault;

/// A time during which the arrival rate is multiplied.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start.
    pub from: Duration,
    /// End.
    pub until: Duration,
    /// Factor of the rate.
    pub factor: f64,
}

/// A fault of some endpoints, and its duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultAt {
    /// Start.
    pub from: Duration,
    /// End.
    pub until: Duration,
    /// Index of the first endpoint.
    pub first: usize,
    /// Number of endpoints, every `step`-th from the first.
    pub count: usize,
    /// Distance between them. Endpoints are assigned to zones in turn, so that a distance of the
    /// number of zones selects one whole zone.
    pub step: usize,
    /// The fault.
    pub fault: Fault,
}

/// A scenario of the simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyScenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time during which requests arrive. The run continues until all have ended.
    pub length: Duration,
    /// Number of routers.
    pub routers: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of availability zones; endpoints and routers are assigned to them in turn.
    pub zones: usize,
    /// Number of slots of an endpoint.
    pub slots: usize,
    /// Capacity of an endpoint's prefix cache, in tokens.
    pub cache: Tokens,
    /// Total arrivals a second.
    pub rate: f64,
    /// Number of organisations.
    pub organisations: usize,
    /// Share of the arrivals that the first organisations send, and the number of these
    /// organisations.
    pub skew: Option<(f64, usize)>,
    /// Number of prefixes of each organisation.
    pub prefixes: usize,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Bursts.
    pub bursts: Vec<Burst>,
    /// Faults.
    pub faults: Vec<FaultAt>,
    /// Interval of an endpoint's load reports.
    pub report_every: Duration,
    /// Age of a report when it arrives.
    pub report_lag: Duration,
    /// Share of cache events that are lost.
    pub events_lost: f64,
    /// Maximum wait of interactive work.
    pub max_wait: Duration,
}

/// Arrivals a second that nine endpoints can serve with the kinds of
/// [`PolicyScenario::default`]. Measured: see the table "where 100% is" in
/// `docs/design/04-decisions.md`.
pub const FULL_RATE: f64 = 40.0;

impl Default for PolicyScenario {
    fn default() -> Self {
        Self {
            name: "steady-90",
            seed: 1,
            length: Duration::from_mins(2),
            routers: 3,
            endpoints: 9,
            zones: 3,
            slots: 64,
            cache: 24_000,
            rate: FULL_RATE * 0.9,
            organisations: 10,
            skew: None,
            prefixes: 4,
            kinds: vec![Kind::question(), Kind::summary(), Kind::history()],
            bursts: Vec::new(),
            faults: Vec::new(),
            report_every: Duration::from_millis(500),
            report_lag: Duration::from_millis(500),
            events_lost: 0.05,
            max_wait: Duration::from_secs(30),
        }
    }
}

impl PolicyScenario {
    /// Replaces the name.
    pub fn named(mut self, name: &'static str) -> Self {
        self.name = name;
        self
    }

    /// Sets the rate to this fraction of the full rate.
    pub fn at_load(mut self, load: f64) -> Self {
        let endpoints = u32::try_from(self.endpoints).unwrap_or(u32::MAX);
        self.rate = FULL_RATE * load * f64::from(endpoints) / 9.0;
        self
    }

    /// Replaces the seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Adds a fault of one endpoint from 30 s to 75 s.
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.faults.push(FaultAt {
            from: Duration::from_secs(30),
            until: Duration::from_secs(75),
            first: 4,
            count: 1,
            step: 1,
            fault,
        });
        self
    }

    /// The loads that the users require, at the sizes of the current deployments.
    pub fn all() -> Vec<Self> {
        let base = Self::default;
        let burst = Burst {
            from: Duration::from_secs(30),
            until: Duration::from_secs(36),
            factor: 10.0,
        };
        let zone = FaultAt {
            from: Duration::from_secs(30),
            until: Duration::from_mins(1),
            first: 0,
            count: 3,
            step: 3,
            fault: Fault::Down,
        };
        let lost = FaultAt {
            from: Duration::from_secs(30),
            until: Duration::from_secs(50),
            first: 4,
            count: 1,
            step: 1,
            fault: Fault::Down,
        };
        // A service is slow after its start, until its caches and pools are filled.
        let cold = FaultAt {
            from: Duration::from_secs(50),
            until: Duration::from_secs(58),
            fault: Fault::Slow(5.0),
            ..lost
        };
        vec![
            base().named("steady-50").at_load(0.5),
            base().named("steady-90").at_load(0.9),
            base().named("full-100").at_load(1.0),
            base().named("saturation-150").at_load(1.5),
            Self {
                bursts: vec![burst],
                ..base().named("burst-10x").at_load(0.4)
            },
            Self {
                skew: Some((0.9, 2)),
                ..base().named("skew-two-90").at_load(1.3)
            },
            Self {
                kinds: vec![
                    Kind::question(),
                    Kind {
                        weight: 20,
                        ..Kind::history()
                    },
                ],
                ..base().named("long-among-short").at_load(0.6)
            },
            Self {
                kinds: vec![
                    Kind::counter(),
                    Kind {
                        weight: 7,
                        ..Kind::history()
                    },
                ],
                rate: 60.0,
                slots: 24,
                ..base().named("quick-answers")
            },
            base()
                .named("slow-10x")
                .at_load(0.7)
                .with_fault(Fault::Slow(10.0)),
            Self {
                kinds: vec![Kind::lookup()],
                rate: 30.0,
                ..base().named("quiet-lookups-slow-10x")
            }
            .with_fault(Fault::Slow(10.0)),
            base()
                .named("fails-fast")
                .at_load(0.7)
                .with_fault(Fault::FailsFast),
            base()
                .named("cold-return")
                .at_load(0.8)
                .with_fault(Fault::Down),
            Self {
                kinds: vec![Kind::lookup()],
                rate: 1_500.0,
                routers: 30,
                slots: 24,
                faults: vec![lost, cold],
                ..base().named("lookups-cold-return")
            },
            Self {
                faults: vec![zone],
                ..base().named("zone-lost").at_load(0.6)
            },
            Self {
                faults: vec![zone],
                routers: 30,
                ..base().named("zone-lost-30-routers").at_load(0.6)
            },
        ]
    }
}
