//! Whether the endpoint gets new work.
//!
//! Failure: a router that is cut off from the ledger doesn't learn that an endpoint leaves, and
//! goes on sending work to it. It would show as work cut short by the leaving. The sidecar
//! stands on the endpoint's own side of any partition, so its refusal holds whatever the router
//! believes; it is itself told by the ledger, by the platform's list and by its own stop.

use std::sync::atomic::{AtomicBool, Ordering};

use anvil_world::prelude::*;
use arc_swap::ArcSwap;

use crate::held::Held;
use crate::life::Life;

/// What the sidecar knows of the fleet.
pub struct Gate {
    /// What was followed so far.
    pub held: ArcSwap<Held>,
    /// Whether the platform's list names this instance as leaving.
    pub platform_leaving: AtomicBool,
    life: Life,
    id: InstanceId,
}

impl Gate {
    /// A gate that knows nothing yet.
    pub fn new(id: InstanceId, life: Life) -> Self {
        Self {
            held: ArcSwap::default(),
            platform_leaving: AtomicBool::new(false),
            life,
            id,
        }
    }

    /// Whether the endpoint gets no new work: by its own stop, the ledger or the platform.
    pub fn is_leaving(&self) -> bool {
        if self.life.is_leaving() || self.platform_leaving.load(Ordering::Relaxed) {
            return true;
        }
        let held = self.held.load();
        let member = held.members.get(&self.id);
        member.is_some_and(|member| {
            member.instance.incarnation == self.life.incarnation
                && matches!(member.presence, Presence::Leaving | Presence::Gone)
        })
    }
}
