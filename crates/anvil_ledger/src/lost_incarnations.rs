//! Incarnations of sidecars that ended without their records of charges being available.
//!
//! If a router is lost, and a sidecar that ran work under its grant is lost too, closing the grant
//! on the other sidecars' evidence would grant charged tokens a second time and overspend the
//! budget. A grant that a lost incarnation may have charged therefore stays outstanding until an
//! operator writes it off.

use std::collections::BTreeMap;

use anvil_world::ids::{GrantId, Incarnation, InstanceId};
use anvil_world::instance::{Instance, Member, Presence, Role};
use serde::{Deserialize, Serialize};

/// The grants that a lost incarnation may have charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
enum ChargeBound {
    /// Grants up to this one; the incarnation is known to have ended before later ones were opened.
    Upto(GrantId),
    /// Every grant: the incarnation may still be running behind a partition.
    Any,
}

/// Lost incarnations of sidecars.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostIncarnations {
    newest_grant: GrantId,
    lost: BTreeMap<InstanceId, ChargeBound>,
}

impl LostIncarnations {
    /// Records that a grant was opened.
    pub fn opened(&mut self, grant: GrantId) {
        self.newest_grant = self.newest_grant.max(grant);
    }

    /// Records that a sidecar's incarnation was declared gone.
    ///
    /// One that was drained before takes no work from connected routers, so later grants never
    /// reach it; another may run on behind a partition.
    pub fn gone(&mut self, before: &Member) {
        if before.instance.role != Role::Sidecar {
            return;
        }
        let charge_bound = match before.presence {
            Presence::Leaving => ChargeBound::Upto(self.newest_grant),
            Presence::Live | Presence::Silent | Presence::Gone => ChargeBound::Any,
        };
        self.record_lost(&before.instance.id, charge_bound);
    }

    /// Records that a sidecar has come back in another incarnation: the one before it has ended.
    pub fn joined(&mut self, before: Option<&Member>, now: &Instance) {
        let older = |incarnation: Incarnation| incarnation < now.incarnation;
        let before = before.filter(|member| older(member.instance.incarnation));
        if before.is_some_and(|member| member.instance.role == Role::Sidecar) {
            self.lost.remove(&now.id);
            self.record_lost(&now.id, ChargeBound::Upto(self.newest_grant));
        }
    }

    fn record_lost(&mut self, id: &InstanceId, charge_bound: ChargeBound) {
        let known = self.lost.entry(id.clone()).or_insert(charge_bound);
        *known = (*known).max(charge_bound);
    }

    /// Sidecars with a lost incarnation that may have charged this grant.
    pub fn may_have_charged(&self, grant: GrantId) -> impl Iterator<Item = &InstanceId> {
        let may_reach = move |charge_bound: &ChargeBound| match charge_bound {
            ChargeBound::Upto(newest) => grant <= *newest,
            ChargeBound::Any => true,
        };
        let lost = self
            .lost
            .iter()
            .filter(move |(_, charge_bound)| may_reach(charge_bound));
        lost.map(|(id, _)| id)
    }
}
