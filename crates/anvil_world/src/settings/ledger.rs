//! Settings of a ledger process.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::{Problem, Validate};
use crate::ids::InstanceId;
use crate::zone::Zone;

/// One replica of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of its instance.
    pub id: InstanceId,
    /// Its wire address.
    pub addr: SocketAddr,
}

/// The settings file of `anvilreel-ledger --settings FILE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// Name of this instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Address that other processes connect to.
    pub wire_listen: SocketAddr,
    /// Local address to listen on, if connections to `wire_listen` are forwarded to this process.
    #[serde(default)]
    pub bind: Option<SocketAddr>,
    /// The data folder. The replica's identity is bound to the disk that holds it.
    pub data: PathBuf,
    /// The initial replicas of a new ledger, including this one. Used only if the data folder is
    /// empty; afterwards the voters are those recorded in the log.
    pub founders: Vec<Peer>,
    /// Whether a replica with an empty data folder joins a running ledger as a learner instead of
    /// founding a new one.
    #[serde(default)]
    pub join: bool,
    /// Log lines as JSON instead of terminal text.
    #[serde(default)]
    pub log_json: bool,
    /// UDP address that receives metrics in the statsd format; without it none are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

impl Validate for LedgerSettings {
    fn problems(&self) -> Vec<Problem> {
        let mut found = Problem::check_name("id", &self.id);
        found.extend(Problem::check_name("zone.id", &self.zone.id));
        found.extend(Problem::check_name("zone.region", &self.zone.region));
        for peer in &self.founders {
            found.extend(Problem::check_name("founders", &peer.id));
        }
        let count = u64::try_from(self.founders.len()).unwrap_or(u64::MAX);
        found.extend(Problem::check_range("founders", count, 1..=7));
        let is_founder = self.founders.iter().any(|peer| peer.id == self.id);
        if !is_founder && !self.join {
            found.push(Problem::new(
                "founders",
                "others only",
                "a list with this id",
            ));
        }
        found
    }
}
