//! Instances: the machines that run one process of anvilreel each.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId, ModelId, ServiceId};
use crate::zone::Zone;

/// What the process on an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Serves callers.
    Router,
    /// Stands beside one endpoint.
    Sidecar,
    /// Keeps the durable state.
    Ledger,
    /// Passes calls on to the ledger, for those who can't reach it themselves.
    Relay,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// Takes work.
    Live,
    /// Not heard of by the ledger for a short while: gets no new work until it is heard of
    /// again. Its life goes on, and so do its grants.
    Silent,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Declared lost. Its incarnation never comes back to life.
    Gone,
}

/// What a sidecar's endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The service it belongs to.
    pub service: ServiceId,
    /// Models it can answer for now; empty for a plain service.
    pub models: BTreeSet<ModelId>,
    /// How many runs it works on side by side.
    pub slots: u32,
    /// Whether the endpoint itself refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

/// One instance in one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: Role,
    /// Where it stands.
    pub zone: Zone,
    /// Where the other processes reach it.
    pub addr: SocketAddr,
    /// Only for a sidecar: what it fronts.
    pub endpoint: Option<Endpoint>,
}

/// One instance and what is known of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: Instance,
    /// Whether it takes work.
    pub presence: Presence,
}
