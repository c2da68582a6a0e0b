//! Claims: which sidecar runs a request key.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::ids::{BodyHash, ClaimId, Incarnation, InstanceId};
use crate::outcome::{Outcome, RequestKey};

/// Binds a request key to one sidecar. The first one wins; every later one is told who that was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Made by the claimer. Only who knows it may free the claim: a late "not run" of an earlier
    /// claim must not free a later one that runs.
    pub id: ClaimId,
    /// The request.
    pub key: RequestKey,
    /// Hash of its body, so that the same key with another body is refused.
    pub body: BodyHash,
    /// The sidecar that is to run it.
    pub sidecar: InstanceId,
    /// That sidecar's life. A later life never runs it.
    pub incarnation: Incarnation,
    /// When the leader took it; claims are forgotten a set time later.
    pub at: SystemTime,
}

/// How far a claimed request has come, as far as the ledger knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Dispatched or about to be.
    Open,
    /// Ended.
    Settled(Outcome),
}

/// A claim as it is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// What was claimed first.
    pub claim: Claim,
    /// How far it has come.
    pub state: ClaimState,
    /// Whether this very command made it.
    pub fresh: bool,
}

/// The end of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleClaim {
    /// The claim that is meant; another one is left alone.
    pub id: ClaimId,
    /// The request.
    pub key: RequestKey,
    /// How it ended. `NotRun` frees the key for another claim.
    pub outcome: Outcome,
}
