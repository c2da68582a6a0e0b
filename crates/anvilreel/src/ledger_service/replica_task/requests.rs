//! Handling of proposals and reads.

use std::time::SystemTime;

use anvil_ledger::core::{Event, Proposal, Refused, RequestId};
use anvil_ledger::machine::{MachineError, encode};
use anvil_wire::msg::{LedgerReply, Query};
use anvil_world::command::Denial;
use anvil_world::prelude::*;
use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_128;

use super::ReplicaTask;
use crate::ledger_service::check;
use crate::ledger_service::pending::{ReplyTx, send_reply};
use crate::ledger_service::queries::QueryContext;
use crate::metrics;

impl ReplicaTask {
    /// Validates a command before it is appended to the log, and sets the leader's time in it.
    pub(super) fn proposal(&mut self, command: Command, reply: ReplyTx) -> Option<Proposal> {
        if self.stopped {
            send_reply(reply, LedgerReply::Stopped);
            return None;
        }
        if let Some(answer) = self.applied_answer(&command) {
            self.setup.metrics.count(metrics::LOG_REPEATED);
            let index = self.machine.state.applied();
            send_reply(reply, LedgerReply::Applied { index, answer });
            return None;
        }
        if let Some(answer) = check::validate(&command) {
            send_reply(reply, LedgerReply::Applied { index: 0, answer });
            return None;
        }
        if let Some(answer) = self.not_applicable(&command) {
            send_reply(reply, LedgerReply::Applied { index: 0, answer });
            return None;
        }
        if let Some(answer) = self.refused_share(&command) {
            send_reply(reply, answer);
            return None;
        }
        let Ok(received) = encode(&command) else {
            send_reply(reply, LedgerReply::NoQuorum);
            return None;
        };
        let digest = command.may_share_entry().then(|| xxh3_128(&received));
        let Some(reply) = self.pending.share(digest, reply) else {
            self.setup.metrics.count(metrics::LOG_REPEATED);
            return None;
        };
        let Ok(data) = self.complete(command, received) else {
            send_reply(reply, LedgerReply::NoQuorum);
            return None;
        };
        let id = self.pending.propose(digest, reply);
        Some(Proposal { id, data })
    }

    /// The encoded command with what only the leader knows: its time, and what the command refers to.
    fn complete(&self, mut command: Command, received: Bytes) -> Result<Bytes, MachineError> {
        if !check::set_time(&mut command, SystemTime::now()) {
            return Ok(received);
        }
        if let Command::LiftQuarantine(lift) = &mut command {
            lift.contents = self.machine.contents_of(&lift.target);
        }
        if let Command::SetShare(order) = &mut command {
            order.before = self.machine.shares.factor(&order.target);
        }
        encode(&command)
    }

    /// Denies a command that some replicas may be unable to apply: they would stop at its entry.
    pub(super) fn not_applicable(&self, command: &Command) -> Option<Answer> {
        // A replica that does not lead appends nothing.
        if command.required_kinds() == 0 || !self.replica.leads() {
            return None;
        }
        let applies = |addr| {
            let known = self.command_kinds.get(addr).copied();
            known.unwrap_or(0) >= command.required_kinds()
        };
        let replicas = self.replica.membership().replicas();
        let others = replicas.filter(|(id, _)| *id != self.setup.id);
        let unfit = others.filter(|(_, site)| !applies(&site.addr));
        let names: Vec<_> = unfit.map(|(_, site)| site.instance.to_string()).collect();
        let replicas = names.join(", ");
        (!names.is_empty()).then_some(Answer::Denied(Denial::NotApplicable { replicas }))
    }

    /// Answers a command that is already applied without a log entry: a routing table whose version is in
    /// force or older, or a router's newest batch.
    ///
    /// An operator whose acknowledgements are lost resends the same table of several megabytes; if
    /// each copy went through the log, new commands would wait behind them. A router whose calls end before
    /// a commit on a slow disk would never get a grant if each resent batch waited for a commit of its own.
    /// Applied state is committed, so the answer is correct even from a replica that no longer leads.
    fn applied_answer(&self, command: &Command) -> Option<Answer> {
        let state = &self.machine.state;
        match command {
            Command::ReplaceRouting(replace) => {
                let in_force = state.routing();
                (replace.version <= in_force).then_some(Answer::Routing(in_force))
            }
            Command::GrantBatch(batch) => {
                let answer = state.answer_to_applied_batch(batch);
                answer.map(Answer::Grants)
            }
            _ => None,
        }
    }

    pub(super) fn propose(&mut self, proposals: &mut Vec<Proposal>) {
        if proposals.is_empty() {
            return;
        }
        let proposals = std::mem::take(proposals);
        if self.setup.tuning.group_commit {
            self.feed(Event::Propose(proposals));
            return;
        }
        for proposal in proposals {
            self.feed(Event::Propose(vec![proposal]));
        }
    }

    pub(super) fn read(&mut self, query: Query, reply: ReplyTx) {
        if self.stopped {
            send_reply(reply, LedgerReply::Stopped);
            return;
        }
        let id = self.pending.read(query, reply);
        self.feed(Event::Read(id));
    }

    pub(super) fn refused(&mut self, id: RequestId, why: Refused) {
        let reply = match why {
            Refused::NotLeader(_) => LedgerReply::NotLeader {
                leader: self.leader_addr(),
            },
            Refused::NoLeader | Refused::Backlog => LedgerReply::NoQuorum,
        };
        self.pending.refused(id, &reply);
    }

    /// Answers a read. When the core confirms one, everything up to the position that it needs is
    /// applied.
    pub(super) fn confirmed(&mut self, id: RequestId) {
        let Some((query, reply)) = self.pending.confirmed(id) else {
            return;
        };
        let context = QueryContext {
            instance: &self.setup.instance,
            replica: &self.replica,
            machine: &self.machine,
            heartbeats: &self.heartbeats,
            now: self.now(),
        };
        send_reply(reply, LedgerReply::Read(context.answer(&query)));
    }
}
