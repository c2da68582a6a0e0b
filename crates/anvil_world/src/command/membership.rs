//! Who belongs to the fleet.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{ChangeId, Incarnation, InstanceId, OperatorId};
use crate::instance::{Instance, Presence};

/// An instance comes, or comes back in a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Who and where.
    pub instance: Instance,
}

/// What is known of an instance has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetPresence {
    /// The instance.
    pub id: InstanceId,
    /// The life that is meant; another one is left alone.
    pub incarnation: Incarnation,
    /// What it is now. `Gone` is final for the incarnation.
    pub presence: Presence,
}

/// An operator empties an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Made by the client.
    pub id: ChangeId,
    /// Who.
    pub operator: OperatorId,
    /// The instance, in its present life.
    pub instance: InstanceId,
    /// When the leader took it.
    pub at: SystemTime,
}
