//! Heartbeats of instances, which the leader keeps in memory.
//!
//! An instance that crashes or is cut off must not get new work for long, and its grants must not
//! stay open for ever. When its heartbeats stop, the leader first sets its presence to `Silent`,
//! which stops new work; the next heartbeat sets it back to `Live`. Only when they stop for longer
//! than a router may serve without the ledger is the instance declared gone, which ends its
//! incarnation and fences its grants. Fenced any earlier, a router behind a partition would be
//! refused by sidecars that it still reaches, although it has tokens in its grants.
//!
//! A new leader has received no heartbeats yet, so it measures from its election: an election alone
//! makes no instance be declared gone.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_ledger::machine::Machine;
use anvil_wire::msg::{Heartbeat, VersionRollout};
use anvil_world::command::{Join, SetPresence};
use anvil_world::prelude::*;

/// The last heartbeat of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LastHeartbeat {
    at: Duration,
    incarnation: Incarnation,
    version: LogIndex,
}

/// Time without a heartbeat after which an instance's presence changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PresenceTimeouts {
    /// After this time the instance gets no new work.
    pub silent: Duration,
    /// After this time the instance is declared gone. Longer than a router may serve without the
    /// ledger.
    pub gone: Duration,
}

/// Heartbeats received since this replica was elected.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatTracker {
    since: Duration,
    last_by_instance: BTreeMap<InstanceId, LastHeartbeat>,
}

/// What a heartbeat requires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// No change; the instance's presence is this.
    Known(Presence),
    /// This command has to be proposed first.
    Propose(Command),
}

impl HeartbeatTracker {
    /// Starts empty at an election.
    pub fn since_election(now: Duration) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Records a heartbeat.
    pub fn record(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        machine: &Machine,
    ) -> HeartbeatAction {
        let instance = &heartbeat.instance;
        let Some(member) = machine.state.members().get(&instance.id) else {
            // The heartbeat is stored for the incarnation that joins. Otherwise an instance that
            // joins long after the election would seem to have sent none since then, and would be
            // declared gone before its next heartbeat.
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

    /// Commands for the instances whose heartbeats have stopped for too long.
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

    /// The instances that have and that have not reached a version, among those that apply settings.
    pub fn version_rollout(
        &self,
        version: LogIndex,
        now: Duration,
        machine: &Machine,
    ) -> VersionRollout {
        let mut rollout = VersionRollout::default();
        let members = machine.state.members().values();
        let applying = members.filter(|m| applies_settings(m.instance.role));
        for member in applying.filter(|m| m.presence != Presence::Gone) {
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

fn applies_settings(role: Role) -> bool {
    match role {
        Role::Router | Role::Sidecar => true,
        Role::Ledger | Role::Relay => false,
    }
}

/// The presence after this time without a heartbeat; `None` if it doesn't change.
fn presence_after(
    known: Presence,
    elapsed: Duration,
    timeouts: PresenceTimeouts,
) -> Option<Presence> {
    match known {
        Presence::Live | Presence::Silent if elapsed >= timeouts.gone => Some(Presence::Gone),
        Presence::Live if elapsed >= timeouts.silent => Some(Presence::Silent),
        // It announced a planned stop, so it has stopped.
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
