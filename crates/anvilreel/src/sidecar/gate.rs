//! The last gate before the endpoint: leaving, and fenced routers.
//!
//! Failure: a router that is cut off from the ledger doesn't learn that an endpoint leaves, or
//! that it was itself declared lost, and goes on sending work. It would show as work cut short
//! by the leaving, or as money spent twice. The sidecar stands on the endpoint's own side of any
//! partition, so its refusal holds whatever the router believes.

use std::sync::atomic::{AtomicBool, Ordering};

use anvil_wire::msg::Start;
use anvil_world::prelude::*;
use arc_swap::ArcSwap;

use crate::held::Held;
use crate::life::Life;

/// What the sidecar knows of the fleet, read for every start.
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
                && member.presence != Presence::Live
        })
    }

    /// Whether a start may pass.
    pub fn check(&self, start: &Start) -> Result<(), Refusal> {
        let leaving = || Refusal::new(Reason::Leaving).with_retry_after(super::SOON);
        if start.life != self.life.incarnation || self.is_leaving() {
            return Err(leaving());
        }
        let payment = &start.payment;
        if self
            .held
            .load()
            .is_fenced(&payment.router, payment.incarnation)
        {
            return Err(leaving());
        }
        Ok(())
    }
}
