//! What the leader does for the fleet: signs of life, lost instances, fenced grants.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_ledger::core::Event;
use anvil_wire::msg::{Heartbeat, HeartbeatReply, LedgerReply};
use anvil_world::command::SetPresence;
use anvil_world::document::FleetDocument;
use anvil_world::prelude::*;
use tokio::sync::oneshot;

use super::Node;
use crate::event;
use crate::ledger_service::events;
use crate::ledger_service::heartbeats::{Greeting, Patience};
use crate::ledger_service::pending::{Reply, tell};

/// How often the leader looks for silent instances and for grants to close.
const WATCH: Duration = Duration::from_secs(1);
/// A learner that connects answers within tenths of a second.
const LEARNER_SILENT: Duration = Duration::from_secs(2);

impl Node {
    pub(super) fn hear(&mut self, heartbeat: &Heartbeat, reply: Reply) {
        if self.stopped {
            tell(reply, LedgerReply::Stopped);
            return;
        }
        if !self.replica.leads() {
            let leader = self.leader_addr();
            tell(reply, LedgerReply::NotLeader { leader });
            return;
        }
        let now = self.now();
        match self.signs.hear(now, heartbeat, &self.machine) {
            Greeting::Known(presence) => {
                let taken = self.testimony.hear(heartbeat, &self.machine);
                let version = self.machine.state.version();
                tell(
                    reply,
                    LedgerReply::Alive(HeartbeatReply {
                        version,
                        presence,
                        taken,
                        replicas: self.replica_addrs(),
                    }),
                );
            }
            Greeting::Propose(command) => self.greet(command, reply),
        }
    }

    /// Proposes what the heartbeat asks for, and answers once that is applied.
    fn greet(&mut self, command: Command, reply: Reply) {
        let presence = match &command {
            Command::SetPresence(SetPresence { presence, .. }) => *presence,
            _ => Presence::Live,
        };
        let replicas = self.replica_addrs();
        let (tx, rx) = oneshot::channel();
        self.enqueue(command, tx);
        tokio::spawn(async move {
            let told = match rx.await {
                Ok(LedgerReply::Applied { index, answer }) => {
                    let refused = matches!(answer, Answer::Denied(_));
                    LedgerReply::Alive(HeartbeatReply {
                        version: index,
                        presence: if refused { Presence::Gone } else { presence },
                        taken: Vec::new(),
                        replicas,
                    })
                }
                Ok(other) => other,
                Err(_) => LedgerReply::Stopped,
            };
            tell(reply, told);
        });
    }

    fn replica_addrs(&self) -> Vec<SocketAddr> {
        let replicas = self.replica.membership().replicas();
        replicas.map(|(_, site)| site.addr).collect()
    }

    fn enqueue(&mut self, command: Command, reply: Reply) {
        let proposal = self.proposal(command, reply);
        self.propose(&mut proposal.into_iter().collect());
    }

    /// Looks for lost replicas, and now and then for silent instances and for grants to close.
    pub(super) fn watch_fleet(&mut self) {
        let now = self.now();
        if self.stopped || !self.replica.leads() {
            return;
        }
        self.take_out_lost();
        if now < self.next_watch {
            return;
        }
        self.next_watch = now + WATCH;
        self.tell_silent_learners();
        self.mark_silent(now);
        self.close_grants();
    }

    /// Says of each learner once that it answers nothing, and whether it has a link to this leader.
    fn tell_silent_learners(&mut self) {
        let silent = self.replica.unresponsive_learners(LEARNER_SILENT);
        let news = silent.filter(|(id, _)| !self.told_silent.contains(id));
        let mut told = Vec::new();
        for (id, site) in news {
            event!(
                self.setup.log, events::LEDGER_LEARNER_SILENT,
                "instance" => site.instance.to_string(), "listens" => self.outbox.is_open(id)
            );
            told.push(id);
        }
        self.told_silent.extend(told);
    }

    fn take_out_lost(&mut self) {
        let Some(rule) = self.setup.tuning.take_out else {
            return;
        };
        let lost = self
            .replica
            .unresponsive_voter(rule.after, rule.least)
            .cloned();
        if let Some(instance) = lost {
            event!(
                self.setup.log, events::LEDGER_REPLICA_LOST, "instance" => instance.to_string()
            );
            self.feed(Event::Remove(instance));
        }
    }

    /// Closes fenced grants, when a fence or evidence has come since the last look: going through
    /// all open grants every second would cost the node more than its commits do.
    fn close_grants(&mut self) {
        let version = self.machine.state.version();
        if version == self.examined && !self.testimony.is_waiting() {
            return;
        }
        self.examined = version;
        let findings = self.testimony.examine(&self.machine);
        for held in findings.held {
            event!(
                self.setup.log, events::LEDGER_GRANT_HELD,
                "grant" => held.grant, "lost" => held.lost.to_string()
            );
        }
        for command in findings.close {
            if let Command::CloseGrant { grant, charged } = &command {
                event!(
                    self.setup.log, events::LEDGER_GRANT_CLOSED,
                    "grant" => *grant, "charged" => *charged
                );
            }
            self.propose_unheard(command);
        }
    }

    fn mark_silent(&mut self, now: Duration) {
        let patience = self.patience();
        for command in self.signs.silent(now, patience, &self.machine) {
            if let Command::SetPresence(set) = &command {
                let instance = set.id.to_string();
                if set.presence == Presence::Gone {
                    event!(self.setup.log, events::LEDGER_INSTANCE_GONE, "instance" => instance);
                } else {
                    event!(self.setup.log, events::LEDGER_INSTANCE_SILENT, "instance" => instance);
                }
            }
            self.propose_unheard(command);
        }
    }

    fn patience(&self) -> Patience {
        let entry = self.machine.state.tree().get(&TreePath::Fleet);
        let document = entry.map(|entry| Document::check(&TreePath::Fleet, &entry.text));
        let fleet = match document {
            Some(Ok(Document::Fleet(fleet))) => fleet,
            _ => FleetDocument::default(),
        };
        let tuning = &self.setup.tuning;
        Patience {
            silent: tuning.silent_after,
            gone: fleet.serve_out_of_touch + tuning.gone_after,
        }
    }

    /// Proposes without anybody waiting: if it is lost, the next watch proposes it again.
    fn propose_unheard(&mut self, command: Command) {
        let (tx, _) = oneshot::channel();
        self.enqueue(command, tx);
    }
}
