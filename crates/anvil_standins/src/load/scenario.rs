//! Scenarios: who asks for what, what serves it, and what breaks when.

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

/// A scenario, as its TOML file has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, for files and tables.
    pub name: Arc<str>,
    /// The same seed gives the same requests at the same times.
    pub seed: u64,
    /// How long requests arrive.
    #[serde(with = "humantime_serde")]
    pub run_for: Duration,
    /// Instances and where they stand.
    pub fleet: Fleet,
    /// Groups of endpoints alike.
    pub endpoints: Vec<EndpointGroup>,
    /// Who asks.
    #[serde(default)]
    pub callers: Callers,
    /// What they ask for.
    pub load: Vec<Load>,
    /// Times at which all rates change.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// What breaks when.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What callers should get.
    #[serde(default)]
    pub goal: Goal,
}

/// Instances and where they stand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The region.
    pub region: RegionId,
    /// Its availability zones; instances are spread over them in turn.
    pub zones: Vec<ZoneId>,
    /// Routers.
    #[serde(default = "three")]
    pub routers: u32,
    /// Replicas of the ledger.
    #[serde(default = "three")]
    pub ledgers: u32,
}

fn three() -> u32 {
    3
}

/// Endpoints alike.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointGroup {
    /// The service they belong to.
    pub service: ServiceId,
    /// Engines or plain services.
    #[serde(default)]
    pub kind: EndpointKind,
    /// How many.
    pub count: u32,
    /// Runs side by side in each.
    #[serde(default = "sixteen")]
    pub slots: u32,
    /// Models held; empty for plain services.
    #[serde(default)]
    pub models: BTreeSet<ModelId>,
    /// Time for each prompt token that is not cached.
    #[serde(default, with = "humantime_serde")]
    pub prefill: Duration,
    /// Time for each token of an answer when a run is alone; time of a call for plain services.
    #[serde(default, with = "humantime_serde")]
    pub token_time: Duration,
    /// What every further run in the batch adds to the time of a token.
    #[serde(default, with = "humantime_serde")]
    pub token_time_per_run: Duration,
    /// Blocks of 64 bytes that each prefix cache holds.
    #[serde(default = "cache_blocks")]
    pub cache_blocks: usize,
    /// How old the load report may be.
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

/// Who asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Organisations; each has one team, one key and one budget.
    pub organisations: u32,
    /// How many of them are large.
    pub large: u32,
    /// Percent of all requests that come from the large ones.
    pub large_percent: u32,
    /// Prepaid tokens of each organisation.
    pub budget: Tokens,
    /// How often a caller whose answer was cut off sends the request again, under its key.
    pub retries: u32,
    /// Whether chats and lookups carry an `Idempotency-Key`. Without one they are never sent
    /// again, for that would be another request. Orders always carry one.
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

/// What is asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Asking {
    /// A chat completion, streamed.
    #[default]
    Chat,
    /// A plain call that may be repeated, such as a ticket lookup.
    Lookup,
    /// A plain call that may not be repeated, such as a swatch-book order or a deposit.
    Order,
}

/// One kind of request and how often it comes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Its name, for tables.
    pub name: Arc<str>,
    /// What is asked for.
    #[serde(default)]
    pub asking: Asking,
    /// The service whose endpoints serve it.
    pub service: ServiceId,
    /// The model; empty for plain calls.
    #[serde(default = "no_model")]
    pub model: ModelId,
    /// How it waits.
    #[serde(default)]
    pub class: WorkClass,
    /// Requests a second.
    pub rate: u32,
    /// Fewest and most tokens of a prompt; between them evenly spread by size class.
    #[serde(default = "short_prompt")]
    pub prompt: (Tokens, Tokens),
    /// Fewest and most tokens of an answer.
    #[serde(default = "short_answer")]
    pub output: (Tokens, Tokens),
    /// Prompts begin with one of so many shared prefixes; 0 means none is shared.
    #[serde(default)]
    pub prefixes: u32,
    /// Longest time from the request to the end of its answer.
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

/// From this time on, all rates are multiplied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time since the start.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Percent of the rates as they were written.
    pub percent: u32,
}

/// What breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The endpoint takes `factor` times as long for everything.
    Slow,
    /// The endpoint answers every request with an error at once.
    Failing,
    /// The endpoint is lost and comes back with an empty cache.
    EndpointLost,
    /// The router's process is killed and started again.
    RouterLost,
    /// The ledger replica's process is killed and started again.
    LedgerLost,
    /// Everything in the availability zone is lost and comes back.
    ZoneLost,
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time since the start.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// When it is over.
    #[serde(with = "humantime_serde")]
    pub until: Duration,
    /// What breaks.
    pub kind: FaultKind,
    /// Which one, counted from 0: endpoint over all groups, router, replica or zone.
    #[serde(default)]
    pub index: u32,
    /// For `slow`: how many times slower.
    #[serde(default = "ten")]
    pub factor: u32,
}

fn ten() -> u32 {
    10
}

/// What callers should get.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Goal {
    /// Time to the first token, for 95 in 100.
    #[serde(with = "humantime_serde")]
    pub first_token: Duration,
    /// Time between tokens, for 95 in 100.
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
    /// Reads a scenario file and checks it whole.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let name = path.display().to_string();
        parse_settings(&name, &text).context(ScenarioSnafu { path })
    }

    /// Each endpoint, in order, with its group and its zone.
    pub fn endpoint_list(&self) -> Vec<(&EndpointGroup, Zone)> {
        let groups = self.endpoints.iter();
        let endpoints = groups.flat_map(|g| std::iter::repeat_n(g, g.count as usize));
        endpoints
            .enumerate()
            .map(|(at, group)| (group, self.zone(at)))
            .collect()
    }

    /// The zone of the instance at this place in its list.
    pub fn zone(&self, at: usize) -> Zone {
        let zone = &self.fleet.zones[at % self.fleet.zones.len()];
        Zone {
            region: self.fleet.region.clone(),
            id: zone.clone(),
        }
    }

    /// Percent of the written rates at a time.
    pub fn percent_at(&self, at: Duration) -> u32 {
        let before = self.steps.iter().filter(|step| step.at <= at);
        let latest = before.max_by_key(|step| step.at);
        latest.map_or(100, |step| step.percent)
    }

    /// With chats and lookups that carry no key.
    pub fn without_keys(mut self) -> Self {
        self.callers.keyed = false;
        self
    }

    /// With another number of percent on all rates from the start.
    pub fn with_percent(mut self, percent: u32) -> Self {
        for load in &mut self.load {
            load.rate = load.rate * percent / 100;
        }
        self
    }
}
