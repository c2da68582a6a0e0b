//! Who belongs to the fleet, and which routers are fenced.

use std::collections::BTreeMap;

use anvil_world::command::{Denial, Drain, Noun, SetPresence};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use super::once::{Done, Sent};
use super::{State, Touched};

/// Instances in their newest life, and fenced routers.
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
    /// An instance comes. An older life of a router is over with that, so it is fenced.
    pub(super) fn join(&mut self, index: LogIndex, instance: &Instance) -> Result<Answer, Denial> {
        let known = self.members.all.get(&instance.id);
        if let Some(known) = known {
            let same_life = known.instance.incarnation == instance.incarnation;
            let lost = known.presence == Presence::Gone;
            if known.instance.incarnation > instance.incarnation || (same_life && lost) {
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
        self.touch_member(index, &instance.id);
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
        self.touch_member(index, &set.id);
        if lost_router {
            self.fence(index, &set.id, set.incarnation);
        }
        Ok(Answer::Done)
    }

    pub(super) fn drain(&mut self, index: LogIndex, drain: &Drain) -> Result<Answer, Denial> {
        let content = format!("drain {}", drain.instance);
        let sent = Sent {
            id: &drain.id,
            operator: &drain.operator,
            at: drain.at,
            content: content.as_bytes(),
        };
        self.once(&sent, |state| state.empty(index, &drain.instance))
    }

    fn empty(&mut self, index: LogIndex, id: &InstanceId) -> Result<Done, Denial> {
        let member = self.members.all.get(id).ok_or_else(|| unknown(id))?;
        let before = presence_text(member.presence);
        let set = SetPresence {
            id: id.clone(),
            incarnation: member.instance.incarnation,
            presence: Presence::Leaving,
        };
        self.set_presence(index, &set)?;
        Ok(Done {
            subject: format!("instances/{id}"),
            revision: self.version(),
            before: Some(before.into()),
            after: Some(presence_text(Presence::Leaving).into()),
        })
    }

    /// Fences a router's life and all older ones.
    pub(super) fn fence(&mut self, index: LogIndex, router: &InstanceId, upto: Incarnation) {
        let known = self.members.fenced.get(router);
        if known.is_some_and(|known| *known >= upto) {
            return;
        }
        self.members.fenced.insert(router.clone(), upto);
        self.money.fence(router, upto);
        self.spread.touch(index, Touched::Fence(router.clone()));
    }

    /// Fences every life of a router that is older than the one that is here now.
    ///
    /// Failure: a router restarts, and what its old life reserved is held for ever. Fencing is
    /// always safe, for a fenced grant is closed only by evidence or by an operator.
    pub(super) fn fence_older(&mut self, index: LogIndex, router: &InstanceId, now: Incarnation) {
        let oldest_open = self.money.grants_of(router).map(|grant| grant.incarnation);
        let older = oldest_open.filter(|incarnation| *incarnation < now).max();
        if let Some(older) = older {
            self.fence(index, router, older);
        }
    }

    fn touch_member(&mut self, index: LogIndex, id: &InstanceId) {
        self.spread.touch(index, Touched::Member(id.clone()));
    }
}

fn unknown(id: &InstanceId) -> Denial {
    Denial::Unknown {
        what: Noun::Instance,
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
