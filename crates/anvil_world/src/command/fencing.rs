//! Orders to endpoints and their fencing numbers.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, LogIndex, ModelId, Term};

/// Orders with a lower number than one already seen are refused.
///
/// It grows with the log: an isolated old leader can't commit, so it can't issue one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FenceNumber {
    /// Term of the leader that issued it.
    pub term: Term,
    /// Log position at which it was committed.
    pub index: LogIndex,
}

/// What an endpoint is told to do.
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
    /// Change to a version of a model.
    SetVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: std::sync::Arc<str>,
    },
    /// Change what the engine is for.
    SetRole(std::sync::Arc<str>),
}

/// An order to one endpoint, through its sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The sidecar beside the endpoint.
    pub sidecar: InstanceId,
    /// What to do.
    pub kind: OrderKind,
}
