//! What is asked, and where it may go.

use std::time::Duration;

use anvil_wire::msg::Work;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

use crate::claims::GENERATION_MARK;

/// A checked request of one caller.
#[derive(Debug, Clone)]
pub struct Spec {
    /// What names it.
    pub key: RequestKey,
    /// Names this exchange's claim in the ledger; unique in the fleet.
    pub claim_id: ClaimId,
    /// Whether the caller made the key, so that it can come back with it through any router.
    pub named: bool,
    /// Hash of the caller's body.
    pub body: BodyHash,
    /// Whether it may run at most once, ever.
    pub once: bool,
    /// Who pays.
    pub split: Split,
    /// Tokens for each unit of use.
    pub price: Price,
    /// The most it may cost, in tokens.
    pub bound: Tokens,
    /// What to do.
    pub work: Work,
    /// How it waits.
    pub class: WorkClass,
    /// When it is given up.
    pub deadline: Now,
    /// How long the answer is kept for a caller that comes back.
    pub keep: Duration,
    /// The routers that keep this key's claim, see [`crate::claims::placement`].
    pub holders: Vec<InstanceId>,
    /// Sidecars that may run this key although no holder can vouch that it is unclaimed: all that
    /// are eligible, unless [`crate::claims::Tenure::is_settled`]. Asked only when needed.
    pub suspects: Vec<Target>,
}

/// One life of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// The sidecar.
    pub sidecar: InstanceId,
    /// Its life.
    pub life: Incarnation,
}

/// The key under which the claim of a later generation is kept.
///
/// A claim is never overwritten: when its sidecar is lost or has said that it will never run the
/// key, the next generation is claimed instead. So each claim is a write-once register, and a
/// late message can't undo one. A caller's key is printable, so it can't look like this.
pub fn generation_key(key: &RequestKey, generation: u32) -> RequestKey {
    if generation == 0 {
        return key.clone();
    }
    RequestKey {
        team: key.team.clone(),
        id: format!("{}{GENERATION_MARK}{generation}", key.id).into(),
    }
}
