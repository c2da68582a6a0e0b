//! Scenario files: the fleet, the endpoints, the load and the faults of a run.

mod check;

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use anvil_world::settings::{EndpointKind, parse_settings};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{Error, FileSnafu, ScenarioSnafu};

/// A scenario, in the form of its TOML file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, used for files and tables.
    pub name: Arc<str>,
    /// Seed of the arrivals; the same seed gives the same requests at the same times.
    pub seed: u64,
    /// Time during which requests arrive.
    #[serde(with = "humantime_serde")]
    pub run_for: Duration,
    /// The instances and their availability zones.
    pub fleet: Fleet,
    /// Groups of identical endpoints.
    pub endpoints: Vec<EndpointGroup>,
    /// The callers.
    #[serde(default)]
    pub callers: Callers,
    /// The kinds of requests and their rates.
    pub load: Vec<Load>,
    /// Times at which all rates are scaled.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Faults and their times.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Latency targets for callers.
    #[serde(default)]
    pub goal: Goal,
}

/// The instances and their availability zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The region.
    pub region: RegionId,
    /// Its availability zones; instances are spread over them in turn.
    pub zones: Vec<ZoneId>,
    /// Number of routers.
    #[serde(default = "three")]
    pub routers: u32,
    /// Number of ledger replicas.
    #[serde(default = "three")]
    pub ledgers: u32,
}

fn three() -> u32 {
    3
}

/// A group of identical endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointGroup {
    /// The service they belong to.
    pub service: ServiceId,
    /// Engines or plain services.
    #[serde(default)]
    pub kind: EndpointKind,
    /// Number of endpoints.
    pub count: u32,
    /// Maximum number of concurrent runs of an endpoint.
    #[serde(default = "sixteen")]
    pub slots: u32,
    /// Models that are loaded; empty for plain services.
    #[serde(default)]
    pub models: BTreeSet<ModelId>,
    /// Prefill time for each prompt token that is not cached.
    #[serde(default, with = "humantime_serde")]
    pub prefill: Duration,
    /// Time for each output token when the batch has a single run; for plain services, the time of
    /// a call.
    #[serde(default, with = "humantime_serde")]
    pub token_time: Duration,
    /// Time that each further run in the batch adds to an output token.
    #[serde(default, with = "humantime_serde")]
    pub token_time_per_run: Duration,
    /// Capacity of each prefix cache, in blocks of 64 bytes.
    #[serde(default = "cache_blocks")]
    pub cache_blocks: usize,
    /// Maximum age of the load report.
    #[serde(default = "load_lag", with = "humantime_serde")]
    pub load_lag: Duration,
}

fn sixteen() -> u32 {
    16
}

fn cache_blocks() -> usize {
    4_096
}

fn load_lag() -> Duration {
    Duration::from_millis(500)
}

/// The organisations that send requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Number of organisations; each has one team, one key and one budget.
    pub organisations: u32,
    /// Number of large organisations among them.
    pub large: u32,
    /// Percentage of all requests that come from large organisations.
    pub large_percent: u32,
    /// Prepaid tokens of each organisation.
    pub budget: Tokens,
    /// Maximum number of retries of a lost request, with its idempotency key.
    pub retries: u32,
    /// Whether chats and lookups carry an `Idempotency-Key`. Without one they are never retried,
    /// because the retry would count as another request. Orders always carry one.
    pub keyed: bool,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            organisations: 10,
            large: 2,
            large_percent: 60,
            budget: 1_000_000_000,
            retries: 5,
            keyed: true,
        }
    }
}

/// The kind of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// A chat completion, streamed.
    #[default]
    Chat,
    /// A plain call that may run more than once, such as a ticket lookup.
    Lookup,
    /// A plain call that must not run twice, such as a swatch-book order or a deposit.
    Order,
}

/// Requests of one kind and their rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name, used for tables.
    pub name: Arc<str>,
    /// Kind of the requests.
    #[serde(default)]
    pub asking: RequestKind,
    /// The service whose endpoints serve it.
    pub service: ServiceId,
    /// The model; empty for plain calls.
    #[serde(default = "no_model")]
    pub model: ModelId,
    /// Priority class.
    #[serde(default)]
    pub class: WorkClass,
    /// Requests a second.
    pub rate: u32,
    /// Minimum and maximum prompt tokens; the logarithm of the length is uniformly distributed.
    #[serde(default = "short_prompt")]
    pub prompt: (Tokens, Tokens),
    /// Minimum and maximum output tokens.
    #[serde(default = "short_answer")]
    pub output: (Tokens, Tokens),
    /// Number of shared prefixes; each prompt begins with one of them. 0 means no shared prefix.
    #[serde(default)]
    pub prefixes: u32,
    /// Maximum time from the request to the end of its response.
    #[serde(default = "deadline", with = "humantime_serde")]
    pub deadline: Duration,
}

fn no_model() -> ModelId {
    "".into()
}

fn short_prompt() -> (Tokens, Tokens) {
    (16, 64)
}

fn short_answer() -> (Tokens, Tokens) {
    (8, 32)
}

fn deadline() -> Duration {
    Duration::from_secs(30)
}

/// A scaling of all rates from a time on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time since the start.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Percentage of the rates in the file.
    pub percent: u32,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The endpoint takes `factor` times as long for everything.
    Slow,
    /// The endpoint responds to every request with an error at once.
    Failing,
    /// The endpoint is lost and returns with an empty cache.
    EndpointLost,
    /// The router's process is killed and started again.
    RouterLost,
    /// The ledger replica's process is killed and started again.
    LedgerLost,
    /// All instances in the availability zone are lost and return.
    ZoneLost,
}

/// A fault and its duration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time since the start.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// End of the fault, since the start.
    #[serde(with = "humantime_serde")]
    pub until: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index from 0 of the endpoint (over all groups), router, replica or zone.
    #[serde(default)]
    pub index: u32,
    /// For `slow`: factor by which the endpoint is slower.
    #[serde(default = "ten")]
    pub factor: u32,
}

fn ten() -> u32 {
    10
}

/// Latency targets for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Goal {
    /// 95th percentile of the time to the first token.
    #[serde(with = "humantime_serde")]
    pub first_token: Duration,
    /// 95th percentile of the time between tokens.
    #[serde(with = "humantime_serde")]
    pub between: Duration,
}

impl Default for Goal {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(410),
            between: Duration::from_millis(59),
        }
    }
}

impl Scenario {
    /// Reads a scenario file and validates it.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let name = path.display().to_string();
        parse_settings(&name, &text).context(ScenarioSnafu { path })
    }

    /// All endpoints in order, each with its group and zone.
    pub fn endpoint_list(&self) -> Vec<(&EndpointGroup, Zone)> {
        let groups = self.endpoints.iter();
        let endpoints = groups.flat_map(|g| std::iter::repeat_n(g, g.count as usize));
        endpoints
            .enumerate()
            .map(|(index, group)| (group, self.zone(index)))
            .collect()
    }

    /// The zone of the instance with this index.
    pub fn zone(&self, index: usize) -> Zone {
        let zone = &self.fleet.zones[index % self.fleet.zones.len()];
        Zone {
            region: self.fleet.region.clone(),
            id: zone.clone(),
        }
    }

    /// Percentage of the rates in the file that applies at a time.
    pub fn percent_at(&self, at: Duration) -> u32 {
        let past = self.steps.iter().filter(|step| step.at <= at);
        let latest = past.max_by_key(|step| step.at);
        latest.map_or(100, |step| step.percent)
    }

    /// Removes the idempotency keys of chats and lookups.
    pub fn without_keys(mut self) -> Self {
        self.callers.keyed = false;
        self
    }

    /// Scales the rates of all loads to this percentage.
    pub fn with_percent(mut self, percent: u32) -> Self {
        for load in &mut self.load {
            load.rate = load.rate * percent / 100;
        }
        self
    }
}
