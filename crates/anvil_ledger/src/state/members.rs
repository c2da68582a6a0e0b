//! Membership of the fleet: instances with their presence, and fenced routers.

use std::collections::BTreeMap;

use anvil_world::command::{Denial, Drain, EntityKind, SetPresence};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use super::operator_change::{AppliedChange, OperatorChange};
use super::{ChangedItem, State};

/// Instances in their newest incarnation, and the newest fenced incarnation of each fenced router.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Members {
    all: BTreeMap<InstanceId, Member>,
    fenced: BTreeMap<InstanceId, Incarnation>,
}

impl Members {
    pub(super) fn all(&self) -> &BTreeMap<InstanceId, Member> {
        &self.all
    }

    pub(super) fn fenced(&self) -> &BTreeMap<InstanceId, Incarnation> {
        &self.fenced
    }

    pub(super) fn is_fenced(&self, router: &str, incarnation: Incarnation) -> bool {
        self.fenced.get(router).is_some_and(|to| incarnation <= *to)
    }
}

impl State {
    /// Adds an instance or updates it. A new incarnation of a router fences the older ones.
    pub(super) fn join(&mut self, index: LogIndex, instance: &Instance) -> Result<Answer, Denial> {
        let known = self.members.all.get(&instance.id);
        if let Some(known) = known {
            let same_incarnation = known.instance.incarnation == instance.incarnation;
            let declared_gone = known.presence == Presence::Gone;
            if known.instance.incarnation > instance.incarnation
                || (same_incarnation && declared_gone)
            {
                return Err(Denial::OldIncarnation);
            }
            if known.instance == *instance {
                return Ok(Answer::Done);
            }
        }
        let presence = match known {
            Some(known) if known.instance.incarnation == instance.incarnation => known.presence,
            _ => Presence::Live,
        };
        let member = Member {
            instance: instance.clone(),
            presence,
        };
        self.members.all.insert(instance.id.clone(), member);
        self.record_member_change(index, &instance.id);
        if instance.role == Role::Router {
            self.fence_older(index, &instance.id, instance.incarnation);
        }
        Ok(Answer::Done)
    }

    pub(super) fn set_presence(
        &mut self,
        index: LogIndex,
        set: &SetPresence,
    ) -> Result<Answer, Denial> {
        let member = self.members.all.get_mut(&set.id);
        let member = member.ok_or_else(|| unknown(&set.id))?;
        if member.instance.incarnation != set.incarnation {
            return Err(Denial::OldIncarnation);
        }
        if member.presence == Presence::Gone && set.presence != Presence::Gone {
            return Err(Denial::OldIncarnation);
        }
        if member.presence == set.presence {
            return Ok(Answer::Done);
        }
        member.presence = set.presence;
        let lost_router = set.presence == Presence::Gone && member.instance.role == Role::Router;
        self.record_member_change(index, &set.id);
        if lost_router {
            self.fence(index, &set.id, set.incarnation);
        }
        Ok(Answer::Done)
    }

    pub(super) fn drain(&mut self, index: LogIndex, drain: &Drain) -> Result<Answer, Denial> {
        let content = format!("drain {}", drain.instance);
        let operator_change = OperatorChange {
            id: &drain.id,
            operator: &drain.operator,
            at: drain.at,
            content: content.as_bytes(),
        };
        self.apply_once(&operator_change, |state| {
            state.mark_leaving(index, &drain.instance)
        })
    }

    fn mark_leaving(&mut self, index: LogIndex, id: &InstanceId) -> Result<AppliedChange, Denial> {
        let member = self.members.all.get(id).ok_or_else(|| unknown(id))?;
        let before = presence_text(member.presence);
        let set = SetPresence {
            id: id.clone(),
            incarnation: member.instance.incarnation,
            presence: Presence::Leaving,
        };
        self.set_presence(index, &set)?;
        Ok(AppliedChange {
            subject: format!("instances/{id}"),
            revision: self.version(),
            before: Some(before.into()),
            after: Some(presence_text(Presence::Leaving).into()),
        })
    }

    /// Fences an incarnation of a router and all older ones.
    pub(super) fn fence(&mut self, index: LogIndex, router: &InstanceId, upto: Incarnation) {
        let known = self.members.fenced.get(router);
        if known.is_some_and(|known| *known >= upto) {
            return;
        }
        self.members.fenced.insert(router.clone(), upto);
        self.money.fence(router, upto);
        self.recent_changes
            .record_at(index, ChangedItem::Fence(router.clone()));
    }

    /// Fences every incarnation of a router that is older than the present one.
    ///
    /// Without this, tokens reserved by the old incarnation of a restarted router would stay
    /// reserved for ever. Fencing is always safe, because a fenced grant is closed only by evidence
    /// or by an operator.
    pub(super) fn fence_older(&mut self, index: LogIndex, router: &InstanceId, now: Incarnation) {
        let open_incarnations = self.money.grants_of(router).map(|grant| grant.incarnation);
        let older = open_incarnations
            .filter(|incarnation| *incarnation < now)
            .max();
        if let Some(older) = older {
            self.fence(index, router, older);
        }
    }

    fn record_member_change(&mut self, index: LogIndex, id: &InstanceId) {
        self.recent_changes
            .record_at(index, ChangedItem::Member(id.clone()));
    }
}

fn unknown(id: &InstanceId) -> Denial {
    Denial::Unknown {
        what: EntityKind::Instance,
        name: id.to_string(),
    }
}

fn presence_text(presence: Presence) -> &'static str {
    match presence {
        Presence::Live => "live",
        Presence::Silent => "silent",
        Presence::Leaving => "leaving",
        Presence::Gone => "gone",
    }
}
