//! Which sidecar lives have ended with what they knew of charges.
//!
//! Failure: a router is lost, and a sidecar that ran work under its grant is lost too. If the
//! grant were closed on the other sidecars' evidence, tokens that were charged would be granted
//! again, and a budget overspent. A grant that a lost life may have charged stays outstanding
//! until an operator writes it off.

use std::collections::BTreeMap;

use anvil_world::ids::{GrantId, Incarnation, InstanceId};
use anvil_world::instance::{Instance, Member, Presence, Role};
use serde::{Deserialize, Serialize};

/// Up to which grant a lost life may have charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
enum Reach {
    /// Grants up to this one; the life is known to have ended before later ones.
    Upto(GrantId),
    /// Every grant: the life may still be running, cut off.
    Any,
}

/// Lost lives of sidecars.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lives {
    newest_grant: GrantId,
    lost: BTreeMap<InstanceId, Reach>,
}

impl Lives {
    /// A grant was opened.
    pub fn opened(&mut self, grant: GrantId) {
        self.newest_grant = self.newest_grant.max(grant);
    }

    /// A sidecar's life was declared gone.
    ///
    /// One that was emptied before takes no work of routers in touch, so later grants never
    /// reach it; another may run on behind a partition.
    pub fn gone(&mut self, before: &Member) {
        if before.instance.role != Role::Sidecar {
            return;
        }
        let reach = match before.presence {
            Presence::Leaving => Reach::Upto(self.newest_grant),
            Presence::Live | Presence::Silent | Presence::Gone => Reach::Any,
        };
        self.lose(&before.instance.id, reach);
    }

    /// A sidecar has come back in another life: the one before it has ended.
    pub fn joined(&mut self, before: Option<&Member>, now: &Instance) {
        let older = |incarnation: Incarnation| incarnation < now.incarnation;
        let before = before.filter(|member| older(member.instance.incarnation));
        if before.is_some_and(|member| member.instance.role == Role::Sidecar) {
            self.lost.remove(&now.id);
            self.lose(&now.id, Reach::Upto(self.newest_grant));
        }
    }

    fn lose(&mut self, id: &InstanceId, reach: Reach) {
        let known = self.lost.entry(id.clone()).or_insert(reach);
        *known = (*known).max(reach);
    }

    /// Lost lives that may have charged under this grant.
    pub fn may_have_charged(&self, grant: GrantId) -> impl Iterator<Item = &InstanceId> {
        let reaches = move |reach: &Reach| match reach {
            Reach::Upto(newest) => grant <= *newest,
            Reach::Any => true,
        };
        let lost = self.lost.iter().filter(move |(_, reach)| reaches(reach));
        lost.map(|(id, _)| id)
    }
}
