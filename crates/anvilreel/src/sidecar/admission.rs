//! Whether the endpoint accepts new work.
//!
//! Failure: a router that is cut off from the ledger does not learn that an endpoint is leaving and
//! keeps sending work, which is cut off when the endpoint ends. The sidecar is on the endpoint's
//! side of any partition, so its refusal holds whatever the router's view is. It learns that the
//! endpoint is leaving from the ledger, from the platform's list and from its own planned stop.

use std::sync::atomic::{AtomicBool, Ordering};

use anvil_world::prelude::*;
use arc_swap::ArcSwap;

use crate::ledger_view::LedgerView;
use crate::lifecycle::Lifecycle;

/// What the sidecar knows about the presence of its instance.
pub struct Admission {
    /// The newest state received from the ledger.
    pub ledger_view: ArcSwap<LedgerView>,
    /// Whether the platform lists this instance as leaving.
    pub platform_leaving: AtomicBool,
    lifecycle: Lifecycle,
    id: InstanceId,
}

impl Admission {
    /// Nothing is known yet: new work is accepted.
    pub fn new(id: InstanceId, lifecycle: Lifecycle) -> Self {
        Self {
            ledger_view: ArcSwap::default(),
            platform_leaving: AtomicBool::new(false),
            lifecycle,
            id,
        }
    }

    /// Whether the endpoint accepts no new work, because of its own stop, the ledger or the
    /// platform.
    pub fn is_leaving(&self) -> bool {
        if self.lifecycle.is_draining() || self.platform_leaving.load(Ordering::Relaxed) {
            return true;
        }
        let ledger_view = self.ledger_view.load();
        let member = ledger_view.members.get(&self.id);
        member.is_some_and(|member| {
            member.instance.incarnation == self.lifecycle.incarnation
                && matches!(member.presence, Presence::Leaving | Presence::Gone)
        })
    }
}
