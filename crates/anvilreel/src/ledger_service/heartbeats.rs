//! Signs of life, as the leader keeps them in memory.
//!
//! Failure: a process dies or is cut off without a word; work goes on being sent to it, and its
//! grants stay open. After a short silence the leader marks it silent, which keeps new work away;
//! it comes back by its next sign of life. Only after a silence longer than a router may serve out
//! of touch is it declared gone, which ends its life and fences its grants: fenced any earlier, a
//! router behind a partition would be refused by the sidecars it still reaches, with money in its
//! grants. A new leader has heard nobody yet, so it counts the time from its election; nobody is
//! declared gone because the leader changed.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_ledger::machine::Machine;
use anvil_wire::msg::{Heartbeat, VersionRollout};
use anvil_world::command::{Join, SetPresence};
use anvil_world::prelude::*;

/// The last sign of life of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LastHeartbeat {
    at: Duration,
    incarnation: Incarnation,
    version: LogIndex,
}

/// How long a silence may last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PresenceTimeouts {
    /// Before the instance gets no new work.
    pub silent: Duration,
    /// Before its life is over. Longer than a router serves out of touch.
    pub gone: Duration,
}

/// What a leader has heard since it was elected.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatTracker {
    since: Duration,
    last_by_instance: BTreeMap<InstanceId, LastHeartbeat>,
}

/// What is to be done about a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Nothing; it is held to be this.
    Known(Presence),
    /// Propose this first.
    Propose(Command),
}

impl HeartbeatTracker {
    /// Starts anew after an election.
    pub fn since_election(now: Duration) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Takes a heartbeat.
    pub fn record(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        machine: &Machine,
    ) -> HeartbeatAction {
        let instance = &heartbeat.instance;
        let Some(member) = machine.state.members().get(&instance.id) else {
            // Failure: the join is applied before the next heartbeat comes, and an instance that
            // joins long after the election looks as if it had been silent since then. It would
            // be declared gone a moment after it came. This sign counts for the new life.
            self.store(now, heartbeat);
            return HeartbeatAction::Propose(join(instance));
        };
        let known = member.instance.incarnation;
        if instance.incarnation < known {
            return HeartbeatAction::Known(Presence::Gone);
        }
        if instance.incarnation > known {
            self.store(now, heartbeat);
            return HeartbeatAction::Propose(join(instance));
        }
        if member.presence == Presence::Gone {
            return HeartbeatAction::Known(Presence::Gone);
        }
        self.store(now, heartbeat);
        if member.instance != *instance {
            return HeartbeatAction::Propose(join(instance));
        }
        match (heartbeat.leaving, member.presence) {
            (true, Presence::Live | Presence::Silent) => {
                HeartbeatAction::Propose(set_presence(member, Presence::Leaving))
            }
            (false, Presence::Silent) => {
                HeartbeatAction::Propose(set_presence(member, Presence::Live))
            }
            (_, known) => HeartbeatAction::Known(known),
        }
    }

    fn store(&mut self, now: Duration, heartbeat: &Heartbeat) {
        let instance = &heartbeat.instance;
        let last_heartbeat = LastHeartbeat {
            at: now,
            incarnation: instance.incarnation,
            version: heartbeat.version,
        };
        self.last_by_instance
            .insert(instance.id.clone(), last_heartbeat);
    }

    /// Instances that have been silent for too long, and what that makes of them.
    pub fn presence_changes(
        &self,
        now: Duration,
        timeouts: PresenceTimeouts,
        machine: &Machine,
    ) -> Vec<Command> {
        let members = machine.state.members().values();
        let change = |member: &Member| {
            let elapsed = now.saturating_sub(self.last_contact(member));
            let changed = presence_after(member.presence, elapsed, timeouts)?;
            Some(set_presence(member, changed))
        };
        members.filter_map(change).collect()
    }

    fn last_contact(&self, member: &Member) -> Duration {
        let last_heartbeat = self.heartbeat_of(member);
        last_heartbeat.map_or(self.since, |last_heartbeat| {
            last_heartbeat.at.max(self.since)
        })
    }

    fn heartbeat_of(&self, member: &Member) -> Option<&LastHeartbeat> {
        let last_heartbeat = self.last_by_instance.get(&member.instance.id);
        last_heartbeat
            .filter(|last_heartbeat| last_heartbeat.incarnation == member.instance.incarnation)
    }

    /// How far a version has spread.
    pub fn version_rollout(
        &self,
        version: LogIndex,
        now: Duration,
        machine: &Machine,
    ) -> VersionRollout {
        let mut rollout = VersionRollout::default();
        let members = machine.state.members().values();
        for member in members.filter(|m| m.presence != Presence::Gone) {
            let id = member.instance.id.clone();
            match self.heartbeat_of(member) {
                Some(last_heartbeat) if last_heartbeat.version >= version => {
                    rollout.there.insert(id);
                }
                _ => {
                    let elapsed = now.saturating_sub(self.last_contact(member));
                    rollout.missing.insert(id, elapsed);
                }
            }
        }
        rollout
    }
}

/// What a silence makes of an instance; nothing when it stays what it is.
fn presence_after(
    known: Presence,
    elapsed: Duration,
    timeouts: PresenceTimeouts,
) -> Option<Presence> {
    match known {
        Presence::Live | Presence::Silent if elapsed >= timeouts.gone => Some(Presence::Gone),
        Presence::Live if elapsed >= timeouts.silent => Some(Presence::Silent),
        // It said that it would go, so its silence means that it has.
        Presence::Leaving if elapsed >= timeouts.silent => Some(Presence::Gone),
        _ => None,
    }
}

fn join(instance: &Instance) -> Command {
    Command::Join(Join {
        instance: instance.clone(),
    })
}

fn set_presence(member: &Member, presence: Presence) -> Command {
    Command::SetPresence(SetPresence {
        id: member.instance.id.clone(),
        incarnation: member.instance.incarnation,
        presence,
    })
}
