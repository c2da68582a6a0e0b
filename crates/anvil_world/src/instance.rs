//! Instances: the machines of the fleet, each of which runs one anvilreel process.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId, ModelId, ServiceId};
use crate::zone::Zone;

/// The role of the process on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Serves callers.
    Router,
    /// Runs beside one endpoint and forwards requests to it.
    Sidecar,
    /// Replicates the durable state.
    Ledger,
    /// Forwards calls to the ledger for processes that can't reach it directly.
    Relay,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// Takes work.
    Live,
    /// Unresponsive: the ledger has received no heartbeat for a short while. It gets no new work
    /// until the next heartbeat; its incarnation and its grants stay valid.
    Silent,
    /// Draining: finishes the work in flight and takes no new work.
    Leaving,
    /// Declared lost, which is final for its incarnation.
    Gone,
}

/// What a sidecar's endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The service it belongs to.
    pub service: ServiceId,
    /// Models it currently has loaded; empty for a plain service.
    pub models: BTreeSet<ModelId>,
    /// How many runs it works on concurrently.
    pub slots: u32,
    /// Whether the endpoint itself refuses orders with a stale fencing number.
    pub checks_fencing: bool,
}

/// One instance in one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: Zone,
    /// Address at which the other processes reach it.
    pub addr: SocketAddr,
    /// The endpoint of a sidecar; `None` for other roles.
    pub endpoint: Option<Endpoint>,
}

/// An instance in the fleet's membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: Instance,
    /// Whether it takes new work.
    pub presence: Presence,
}
