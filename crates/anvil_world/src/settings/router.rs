//! Settings of a router process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Problem, Validate};
use crate::ids::InstanceId;
use crate::zone::Zone;

/// The settings file of `anvilreel-router --settings FILE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of this instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// HTTP address that callers connect to.
    pub listen: SocketAddr,
    /// Address that other processes of the fleet connect to.
    pub wire_listen: SocketAddr,
    /// Wire addresses of the ledger's replicas.
    pub ledgers: Vec<SocketAddr>,
    /// Threads that serve requests; 0 means one for each core.
    #[serde(default)]
    pub threads: usize,
    /// Memory that the process may use, in MB; bounds what callers' connections and bodies hold.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Log lines as JSON instead of terminal text.
    #[serde(default)]
    pub log_json: bool,
    /// UDP address that receives metrics in the statsd format; without it none are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Memory of a router whose settings state none, in MB.
pub const DEFAULT_MEMORY_MB: u32 = 256;
/// Least memory that can be stated, in MB.
const MIN_MEMORY_MB: u32 = 64;

fn default_memory_mb() -> u32 {
    DEFAULT_MEMORY_MB
}

impl RouterSettings {
    /// Memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        u64::from(self.memory_mb) * 1_000_000
    }
}

impl Validate for RouterSettings {
    fn problems(&self) -> Vec<Problem> {
        let mut found = Problem::check_name("id", &self.id);
        found.extend(Problem::check_name("zone.id", &self.zone.id));
        found.extend(Problem::check_name("zone.region", &self.zone.region));
        if self.ledgers.is_empty() {
            found.push(Problem::new("ledgers", "none", "1 to 7 addresses"));
        }
        if self.memory_mb < MIN_MEMORY_MB {
            let allowed = format!("{MIN_MEMORY_MB} or more");
            let found_mb = self.memory_mb.to_string();
            found.push(Problem::new("memory_mb", found_mb, &allowed));
        }
        found
    }
}
