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
struct Sign {
    at: Duration,
    incarnation: Incarnation,
    version: LogIndex,
}

/// How long a silence may last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Before the instance gets no new work.
    pub silent: Duration,
    /// Before its life is over. Longer than a router serves out of touch.
    pub gone: Duration,
}

/// What a leader has heard since it was elected.
#[derive(Debug, Clone, Default)]
pub struct Signs {
    since: Duration,
    signs: BTreeMap<InstanceId, Sign>,
}

/// What is to be done about a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Greeting {
    /// Nothing; it is held to be this.
    Known(Presence),
    /// Propose this first.
    Propose(Command),
}

impl Signs {
    /// Starts anew after an election.
    pub fn elected(now: Duration) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Takes a heartbeat.
    pub fn hear(&mut self, now: Duration, heartbeat: &Heartbeat, machine: &Machine) -> Greeting {
        let instance = &heartbeat.instance;
        let Some(member) = machine.state.members().get(&instance.id) else {
            // Failure: the join is applied before the next heartbeat comes, and an instance that
            // joins long after the election looks as if it had been silent since then. It would
            // be declared gone a moment after it came. This sign counts for the new life.
            self.take(now, heartbeat);
            return Greeting::Propose(join(instance));
        };
        let known = member.instance.incarnation;
        if instance.incarnation < known {
            return Greeting::Known(Presence::Gone);
        }
        if instance.incarnation > known {
            self.take(now, heartbeat);
            return Greeting::Propose(join(instance));
        }
        if member.presence == Presence::Gone {
            return Greeting::Known(Presence::Gone);
        }
        self.take(now, heartbeat);
        if member.instance != *instance {
            return Greeting::Propose(join(instance));
        }
        match (heartbeat.leaving, member.presence) {
            (true, Presence::Live | Presence::Silent) => {
                Greeting::Propose(presence(member, Presence::Leaving))
            }
            (false, Presence::Silent) => Greeting::Propose(presence(member, Presence::Live)),
            (_, known) => Greeting::Known(known),
        }
    }

    fn take(&mut self, now: Duration, heartbeat: &Heartbeat) {
        let instance = &heartbeat.instance;
        let sign = Sign {
            at: now,
            incarnation: instance.incarnation,
            version: heartbeat.version,
        };
        self.signs.insert(instance.id.clone(), sign);
    }

    /// Instances that have been silent for too long, and what that makes of them.
    pub fn silent(&self, now: Duration, patience: Patience, machine: &Machine) -> Vec<Command> {
        let members = machine.state.members().values();
        let judge = |member: &Member| {
            let silence = now.saturating_sub(self.heard(member));
            let judged = judge(member.presence, silence, patience)?;
            Some(presence(member, judged))
        };
        members.filter_map(judge).collect()
    }

    fn heard(&self, member: &Member) -> Duration {
        let sign = self.sign_of(member);
        sign.map_or(self.since, |sign| sign.at.max(self.since))
    }

    fn sign_of(&self, member: &Member) -> Option<&Sign> {
        let sign = self.signs.get(&member.instance.id);
        sign.filter(|sign| sign.incarnation == member.instance.incarnation)
    }

    /// How far a version has spread.
    pub fn in_force(&self, version: LogIndex, now: Duration, machine: &Machine) -> VersionRollout {
        let mut spread = VersionRollout::default();
        let members = machine.state.members().values();
        for member in members.filter(|m| m.presence != Presence::Gone) {
            let id = member.instance.id.clone();
            match self.sign_of(member) {
                Some(sign) if sign.version >= version => {
                    spread.there.insert(id);
                }
                _ => {
                    let silence = now.saturating_sub(self.heard(member));
                    spread.missing.insert(id, silence);
                }
            }
        }
        spread
    }
}

/// What a silence makes of an instance; nothing when it stays what it is.
fn judge(known: Presence, silence: Duration, patience: Patience) -> Option<Presence> {
    match known {
        Presence::Live | Presence::Silent if silence >= patience.gone => Some(Presence::Gone),
        Presence::Live if silence >= patience.silent => Some(Presence::Silent),
        // It said that it would go, so its silence means that it has.
        Presence::Leaving if silence >= patience.silent => Some(Presence::Gone),
        _ => None,
    }
}

fn join(instance: &Instance) -> Command {
    Command::Join(Join {
        instance: instance.clone(),
    })
}

fn presence(member: &Member, presence: Presence) -> Command {
    Command::SetPresence(SetPresence {
        id: member.instance.id.clone(),
        incarnation: member.instance.incarnation,
        presence,
    })
}
