//! Settings of a ledger process.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::{Check, Problem};
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

/// What `anvilreel-ledger --settings FILE` reads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// Name of this instance.
    pub id: InstanceId,
    /// Where it stands.
    pub zone: Zone,
    /// Where the other processes connect.
    pub wire_listen: SocketAddr,
    /// Where this process listens, if the address above is passed on to it by something between.
    #[serde(default)]
    pub bind: Option<SocketAddr>,
    /// The data folder. Its disk is the replica's identity.
    pub data: PathBuf,
    /// The replicas that found the ledger, this one among them. Read only when the data folder
    /// is empty; afterwards the log itself says who votes.
    pub founders: Vec<Peer>,
    /// Whether an empty data folder joins a running ledger as a learner instead of founding.
    #[serde(default)]
    pub join: bool,
    /// Log lines as JSON instead of terminal text.
    #[serde(default)]
    pub log_json: bool,
    /// Where metrics go by UDP, in the statsd form; none means nowhere.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

impl Check for LedgerSettings {
    fn problems(&self) -> Vec<Problem> {
        let mut found = Problem::name("id", &self.id);
        found.extend(Problem::name("zone.id", &self.zone.id));
        found.extend(Problem::name("zone.region", &self.zone.region));
        for peer in &self.founders {
            found.extend(Problem::name("founders", &peer.id));
        }
        let count = u64::try_from(self.founders.len()).unwrap_or(u64::MAX);
        found.extend(Problem::range("founders", count, 1..=7));
        let names_itself = self.founders.iter().any(|peer| peer.id == self.id);
        if !names_itself && !self.join {
            found.push(Problem::new(
                "founders",
                "others only",
                "a list with this id",
            ));
        }
        found
    }
}
