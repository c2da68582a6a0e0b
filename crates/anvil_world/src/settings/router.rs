//! Settings of a router process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Check, Problem};
use crate::ids::InstanceId;
use crate::zone::Zone;

/// What `anvilreel-router --settings FILE` reads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of this instance.
    pub id: InstanceId,
    /// Where it stands.
    pub zone: Zone,
    /// Where callers connect, over HTTP.
    pub listen: SocketAddr,
    /// Where other processes of the fleet connect.
    pub wire_listen: SocketAddr,
    /// Wire addresses of the ledger's replicas.
    pub ledgers: Vec<SocketAddr>,
    /// Threads that serve requests; 0 means one for each core.
    #[serde(default)]
    pub threads: usize,
    /// Log lines as JSON instead of terminal text.
    #[serde(default)]
    pub log_json: bool,
    /// Where metrics go by UDP, in the statsd form; none means nowhere.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

impl Check for RouterSettings {
    fn problems(&self) -> Vec<Problem> {
        let mut found = Problem::name("id", &self.id);
        found.extend(Problem::name("zone.id", &self.zone.id));
        found.extend(Problem::name("zone.region", &self.zone.region));
        if self.ledgers.is_empty() {
            found.push(Problem::new("ledgers", "none", "1 to 7 addresses"));
        }
        found
    }
}
