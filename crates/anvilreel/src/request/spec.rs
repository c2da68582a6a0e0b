//! The specification of a request, and the sidecars that it may go to.

use std::time::Duration;

use anvil_wire::msg::Work;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

use crate::claims::GENERATION_MARK;

/// A caller's validated request.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The request's key.
    pub key: RequestKey,
    /// Id of this exchange's claim in the ledger; unique in the fleet.
    pub claim_id: ClaimId,
    /// Whether the caller chose the key, so that it can retry with the same key through any router.
    pub has_caller_key: bool,
    /// Hash of the caller's body.
    pub body_hash: BodyHash,
    /// Whether it may run at most once, ever.
    pub at_most_once: bool,
    /// The budgets that pay, and their shares.
    pub split: Split,
    /// Tokens per unit of usage.
    pub price: Price,
    /// The most it may cost, in tokens.
    pub bound: Tokens,
    /// The work to be run.
    pub work: Work,
    /// Priority class.
    pub class: WorkClass,
    /// When the request is given up.
    pub deadline: Now,
    /// How long the answer is kept for a caller that retries.
    pub retention: Duration,
    /// The routers that hold this key's claim, see [`crate::claims::placement`].
    pub holders: Vec<InstanceId>,
    /// Sidecars to probe if no holder can confirm that the key is unclaimed: all that could run it,
    /// or none if the key has had the same holders for as long as a claim is kept.
    pub probe_candidates: Vec<Target>,
}

/// One incarnation of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// The sidecar.
    pub sidecar: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// The key under which a later generation of a claim is stored.
///
/// A claim is never overwritten: if its sidecar is lost or has confirmed that it will never run the
/// key, the next generation is claimed instead. So each claim is a write-once register, and a late
/// message can't revert one. Keys chosen by callers are printable, so none can equal such a key.
pub fn generation_key(key: &RequestKey, generation: u32) -> RequestKey {
    if generation == 0 {
        return key.clone();
    }
    RequestKey {
        team: key.team.clone(),
        id: format!("{}{GENERATION_MARK}{generation}", key.id).into(),
    }
}
