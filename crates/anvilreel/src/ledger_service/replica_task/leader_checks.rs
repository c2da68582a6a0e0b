//! The leader's work for the fleet: heartbeats, lost replicas, unresponsive instances and fenced
//! grants.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_ledger::core::Event;
use anvil_wire::msg::{Heartbeat, HeartbeatReply, LedgerReply};
use anvil_world::command::SetPresence;
use anvil_world::document::FleetDocument;
use anvil_world::prelude::*;
use tokio::sync::oneshot;

use super::ReplicaTask;
use crate::event;
use crate::ledger_service::events;
use crate::ledger_service::heartbeats::{HeartbeatAction, PresenceTimeouts};
use crate::ledger_service::pending::{ReplyTx, send_reply};

/// Interval of the checks for unresponsive instances and for fenced grants that can be closed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a learner counts as unresponsive. One that connects answers within some tenths
/// of a second.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(2);

impl ReplicaTask {
    pub(super) fn heartbeat(&mut self, heartbeat: &Heartbeat, reply: ReplyTx) {
        if self.stopped {
            send_reply(reply, LedgerReply::Stopped);
            return;
        }
        if !self.replica.leads() {
            let leader = self.leader_addr();
            send_reply(reply, LedgerReply::NotLeader { leader });
            return;
        }
        let now = self.now();
        match self.heartbeats.record(now, heartbeat, &self.machine) {
            HeartbeatAction::Known(presence) => {
                let taken = self.evidence.record(heartbeat, &self.machine);
                let version = self.machine.state.version();
                send_reply(
                    reply,
                    LedgerReply::Alive(HeartbeatReply {
                        version,
                        presence,
                        taken,
                        replicas: self.replica_addrs(),
                    }),
                );
            }
            HeartbeatAction::Propose(command) => self.propose_for_heartbeat(command, reply),
        }
    }

    /// Proposes the command that a heartbeat requires, and answers the heartbeat once it is
    /// applied.
    fn propose_for_heartbeat(&mut self, command: Command, reply: ReplyTx) {
        let presence = match &command {
            Command::SetPresence(SetPresence { presence, .. }) => *presence,
            _ => Presence::Live,
        };
        let replicas = self.replica_addrs();
        let (tx, rx) = oneshot::channel();
        self.propose_one(command, tx);
        tokio::spawn(async move {
            let response = match rx.await {
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
            send_reply(reply, response);
        });
    }

    fn replica_addrs(&self) -> Vec<SocketAddr> {
        let replicas = self.replica.membership().replicas();
        replicas.map(|(_, site)| site.addr).collect()
    }

    fn propose_one(&mut self, command: Command, reply: ReplyTx) {
        let proposal = self.proposal(command, reply);
        self.propose(&mut proposal.into_iter().collect());
    }

    /// Removes lost replicas, and every `CHECK_INTERVAL` checks instances, learners and fenced
    /// grants.
    pub(super) fn check_fleet(&mut self) {
        let now = self.now();
        if self.stopped || !self.replica.leads() {
            return;
        }
        self.remove_lost_replica();
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        self.log_unresponsive_learners();
        self.update_presences(now);
        self.close_grants();
        self.drop_shares_of_removed_names();
    }

    /// Logs each unresponsive learner once, with whether it has opened a link to this leader.
    fn log_unresponsive_learners(&mut self) {
        let unresponsive = self.replica.unresponsive_learners(LEARNER_TIMEOUT);
        let unlogged = unresponsive.filter(|(id, _)| !self.logged_learners.contains(id));
        let mut newly_logged = Vec::new();
        for (id, site) in unlogged {
            event!(
                self.setup.log, events::LEDGER_LEARNER_SILENT,
                "instance" => site.instance.to_string(), "listens" => self.outbox.is_open(id)
            );
            newly_logged.push(id);
        }
        self.logged_learners.extend(newly_logged);
    }

    fn remove_lost_replica(&mut self) {
        let Some(rule) = self.setup.tuning.auto_removal else {
            return;
        };
        let lost = self
            .replica
            .unresponsive_voter(rule.unresponsive_for, rule.min_voters)
            .cloned();
        if let Some(instance) = lost {
            event!(
                self.setup.log, events::LEDGER_REPLICA_LOST, "instance" => instance.to_string()
            );
            self.feed(Event::Remove(instance));
        }
    }

    /// Closes fenced grants if a grant was fenced or evidence has arrived since the last check.
    /// Going through all open grants every second would cost the replica more than its commits do.
    fn close_grants(&mut self) {
        let version = self.machine.state.version();
        if version == self.checked_version && !self.evidence.has_open_evidence() {
            return;
        }
        self.checked_version = version;
        let findings = self.evidence.evaluate(&self.machine);
        for held in findings.held {
            event!(
                self.setup.log, events::LEDGER_GRANT_HELD,
                "grant" => held.grant, "lost" => held.lost_sidecar.to_string()
            );
        }
        for command in findings.close {
            if let Command::CloseGrant { grant, charged } = &command {
                event!(
                    self.setup.log, events::LEDGER_GRANT_CLOSED,
                    "grant" => *grant, "charged" => *charged
                );
            }
            self.propose_without_reply(command);
        }
    }

    fn update_presences(&mut self, now: Duration) {
        let timeouts = self.presence_timeouts();
        for command in self
            .heartbeats
            .presence_changes(now, timeouts, &self.machine)
        {
            if let Command::SetPresence(set) = &command {
                let instance = set.id.to_string();
                if set.presence == Presence::Gone {
                    event!(self.setup.log, events::LEDGER_INSTANCE_GONE, "instance" => instance);
                } else {
                    event!(self.setup.log, events::LEDGER_INSTANCE_SILENT, "instance" => instance);
                }
            }
            self.propose_without_reply(command);
        }
    }

    fn presence_timeouts(&self) -> PresenceTimeouts {
        let entry = self.machine.state.tree().get(&TreePath::Fleet);
        let document = entry.map(|entry| Document::check(&TreePath::Fleet, &entry.text));
        let fleet = match document {
            Some(Ok(Document::Fleet(fleet))) => fleet,
            _ => FleetDocument::default(),
        };
        let tuning = &self.setup.tuning;
        PresenceTimeouts {
            silent: tuning.silent_after,
            gone: fleet.serve_out_of_touch + tuning.gone_after,
        }
    }

    /// Proposes a command whose result nobody waits for. If it is lost, the next check proposes it
    /// again.
    pub(super) fn propose_without_reply(&mut self, command: Command) {
        let (tx, _) = oneshot::channel();
        self.propose_one(command, tx);
    }
}
