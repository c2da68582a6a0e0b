//! A load to be played: who sends what, how often, and what goes wrong.

use std::time::Duration;

use anvil_world::prelude::*;

pub use super::kind::Kind;
use crate::load::fake::Fault;

/// From when to when the rate is multiplied.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Begin.
    pub from: Duration,
    /// End.
    pub until: Duration,
    /// Times the rate.
    pub times: f64,
}

/// A fault of some endpoints for some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultAt {
    /// Begin.
    pub from: Duration,
    /// End.
    pub until: Duration,
    /// First endpoint.
    pub first: usize,
    /// How many endpoints, every `step`-th from the first.
    pub count: usize,
    /// Distance between them; zones alternate, so the number of zones takes one zone whole.
    pub step: usize,
    /// What is wrong.
    pub fault: Fault,
}

/// One experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyScenario {
    /// Its name.
    pub name: &'static str,
    /// Seed of arrivals, lengths and draws.
    pub seed: u64,
    /// How long requests arrive. The run goes on until all have ended.
    pub length: Duration,
    /// Routers.
    pub routers: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Availability zones; endpoints and routers take turns over them.
    pub zones: usize,
    /// Slots of an endpoint.
    pub slots: usize,
    /// Prefix cache of an endpoint, in tokens.
    pub cache: Tokens,
    /// Arrivals a second over the fleet.
    pub rate: f64,
    /// Organisations.
    pub organisations: usize,
    /// Part of the arrivals that the first organisations send, and how many they are.
    pub skew: Option<(f64, usize)>,
    /// Prefixes in use for each organisation.
    pub prefixes: usize,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Bursts.
    pub bursts: Vec<Burst>,
    /// Faults.
    pub faults: Vec<FaultAt>,
    /// Time between reports of an endpoint.
    pub report_every: Duration,
    /// Age of a report when it arrives.
    pub report_lag: Duration,
    /// Part of the cache events that is lost.
    pub events_lost: f64,
    /// Longest wait of interactive work.
    pub longest_wait: Duration,
}

/// Arrivals a second that nine endpoints carry with the kinds of [`PolicyScenario::default`].
/// Measured: see the table "where 100% is" in `docs/design/04-decisions.md`.
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
            longest_wait: Duration::from_secs(30),
        }
    }
}

impl PolicyScenario {
    /// With another name.
    pub fn named(mut self, name: &'static str) -> Self {
        self.name = name;
        self
    }

    /// At this part of the full rate.
    pub fn at(mut self, load: f64) -> Self {
        let endpoints = u32::try_from(self.endpoints).unwrap_or(u32::MAX);
        self.rate = FULL_RATE * load * f64::from(endpoints) / 9.0;
        self
    }

    /// With this seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// With a fault of one endpoint from 30 s to 75 s.
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

    /// The loads of the users' letter, at the sizes of today.
    pub fn all() -> Vec<Self> {
        let base = Self::default;
        let burst = Burst {
            from: Duration::from_secs(30),
            until: Duration::from_secs(36),
            times: 10.0,
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
        // A service that has just started fills its caches and pools first.
        let cold = FaultAt {
            from: Duration::from_secs(50),
            until: Duration::from_secs(58),
            fault: Fault::Slow(5.0),
            ..lost
        };
        vec![
            base().named("steady-50").at(0.5),
            base().named("steady-90").at(0.9),
            base().named("full-100").at(1.0),
            base().named("saturation-150").at(1.5),
            Self {
                bursts: vec![burst],
                ..base().named("burst-10x").at(0.4)
            },
            Self {
                skew: Some((0.9, 2)),
                ..base().named("skew-two-90").at(1.3)
            },
            Self {
                kinds: vec![
                    Kind::question(),
                    Kind {
                        part: 20,
                        ..Kind::history()
                    },
                ],
                ..base().named("long-among-short").at(0.6)
            },
            Self {
                kinds: vec![
                    Kind::counter(),
                    Kind {
                        part: 7,
                        ..Kind::history()
                    },
                ],
                rate: 60.0,
                slots: 24,
                ..base().named("quick-answers")
            },
            base()
                .named("slow-10x")
                .at(0.7)
                .with_fault(Fault::Slow(10.0)),
            Self {
                kinds: vec![Kind::lookup()],
                rate: 30.0,
                ..base().named("quiet-lookups-slow-10x")
            }
            .with_fault(Fault::Slow(10.0)),
            base()
                .named("fails-fast")
                .at(0.7)
                .with_fault(Fault::FailsFast),
            base().named("cold-return").at(0.8).with_fault(Fault::Down),
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
                ..base().named("zone-lost").at(0.6)
            },
            Self {
                faults: vec![zone],
                routers: 30,
                ..base().named("zone-lost-30-routers").at(0.6)
            },
        ]
    }
}
