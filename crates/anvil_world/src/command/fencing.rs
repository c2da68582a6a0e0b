//! Orders to endpoints, and the fencing numbers that protect them against stale leaders.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, LogIndex, ModelId, Term};

/// Fencing number of an order. A receiver refuses orders with a lower number than one already seen.
///
/// It is the log position of the order: an isolated old leader can't commit an entry, so it can't
/// issue a number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FenceNumber {
    /// Term of the leader that issued it.
    pub term: Term,
    /// Log position at which it was committed.
    pub index: LogIndex,
}

/// The action that an order requests of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model.
    LoadModel(ModelId),
    /// Unload a model.
    UnloadModel(ModelId),
    /// Load an adapter of a model.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: std::sync::Arc<str>,
    },
    /// Switch to a version of a model.
    SetVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: std::sync::Arc<str>,
    },
    /// Change the engine's role.
    SetRole(std::sync::Arc<str>),
}

/// An order to one endpoint, through its sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The sidecar beside the endpoint.
    pub sidecar: InstanceId,
    /// The action.
    pub kind: OrderKind,
}
