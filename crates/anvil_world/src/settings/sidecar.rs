//! Settings of a sidecar process.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Problem, Validate};
use crate::ids::{InstanceId, ModelId, ServiceId};
use crate::zone::Zone;

/// The kind of a sidecar's endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Plain,
}

/// Settings of the endpoint beside a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Its HTTP address.
    pub addr: SocketAddr,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Its kind.
    #[serde(default)]
    pub kind: EndpointKind,
    /// Models it has loaded at start.
    #[serde(default)]
    pub models: BTreeSet<ModelId>,
    /// How many runs it works on concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses orders with a stale fencing number itself.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_slots() -> u32 {
    16
}

/// The settings file of `anvilreel-sidecar --settings FILE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Name of this instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Address that routers connect to.
    pub wire_listen: SocketAddr,
    /// Wire addresses of the ledger's replicas.
    pub ledgers: Vec<SocketAddr>,
    /// The endpoint beside it.
    pub endpoint: EndpointSettings,
    /// HTTP address of the platform's list of live and leaving instances. Without it the sidecar
    /// learns that it is leaving only from the ledger or when its own process is stopped.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Maximum bytes of output kept for all runs together.
    #[serde(default = "default_buffer")]
    pub buffer_bytes: u64,
    /// Log lines as JSON instead of terminal text.
    #[serde(default)]
    pub log_json: bool,
    /// UDP address that receives metrics in the statsd format; without it none are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

fn default_buffer() -> u64 {
    8 << 20
}

impl Validate for SidecarSettings {
    fn problems(&self) -> Vec<Problem> {
        let mut found = Problem::check_name("id", &self.id);
        found.extend(Problem::check_name("zone.id", &self.zone.id));
        found.extend(Problem::check_name("zone.region", &self.zone.region));
        found.extend(Problem::check_name(
            "endpoint.service",
            &self.endpoint.service,
        ));
        for model in &self.endpoint.models {
            found.extend(Problem::check_name("endpoint.models", model));
        }
        let slots = u64::from(self.endpoint.slots);
        found.extend(Problem::check_range("endpoint.slots", slots, 1..=10_000));
        found.extend(Problem::check_range(
            "buffer_bytes",
            self.buffer_bytes,
            65_536..=(1 << 34),
        ));
        if self.ledgers.is_empty() {
            found.push(Problem::new("ledgers", "none", "1 to 7 addresses"));
        }
        found
    }
}
