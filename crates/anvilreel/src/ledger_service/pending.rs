//! Proposals and reads in flight, with the channels on which they are answered.

use std::collections::BTreeMap;

use anvil_ledger::core::{EntryId, RequestId};
use anvil_wire::msg::{LedgerReply, Query};
use anvil_world::prelude::*;
use tokio::sync::oneshot;

/// Channel on which a request is answered.
pub type ReplyTx = oneshot::Sender<LedgerReply>;

/// Proposals and reads in flight.
#[derive(Default)]
pub struct Pending {
    last_id: RequestId,
    proposed: BTreeMap<RequestId, ReplyTx>,
    accepted: BTreeMap<LogIndex, (Term, ReplyTx)>,
    reads: BTreeMap<RequestId, (Query, ReplyTx)>,
}

impl Pending {
    /// Registers a proposal and returns its identifier.
    pub fn propose(&mut self, reply: ReplyTx) -> RequestId {
        self.last_id += 1;
        self.proposed.insert(self.last_id, reply);
        self.last_id
    }

    /// Registers a read and returns its identifier.
    pub fn read(&mut self, query: Query, reply: ReplyTx) -> RequestId {
        self.last_id += 1;
        self.reads.insert(self.last_id, (query, reply));
        self.last_id
    }

    /// Records the log position of an accepted proposal.
    pub fn accept(&mut self, id: RequestId, entry: EntryId) {
        if let Some(reply) = self.proposed.remove(&id) {
            self.accepted.insert(entry.index, (entry.term, reply));
        }
    }

    /// Answers the proposal whose entry was applied.
    pub fn applied(&mut self, entry: EntryId, answer: Answer) {
        let Some((term, reply)) = self.accepted.remove(&entry.index) else {
            return;
        };
        let value = if term == entry.term {
            LedgerReply::Applied {
                index: entry.index,
                answer,
            }
        } else {
            // Another entry was committed at its position, so this one never will be.
            LedgerReply::NotLeader { leader: None }
        };
        send_reply(reply, value);
    }

    /// Removes and returns a confirmed read.
    pub fn confirmed(&mut self, id: RequestId) -> Option<(Query, ReplyTx)> {
        self.reads.remove(&id)
    }

    /// Answers a proposal or read that the core refused.
    pub fn refused(&mut self, id: RequestId, reply: &LedgerReply) {
        let proposed = self.proposed.remove(&id);
        let read = self.reads.remove(&id).map(|(_, reply)| reply);
        for waiting in proposed.into_iter().chain(read) {
            send_reply(waiting, reply.clone());
        }
    }

    /// Answers all proposals in the log: whether they will be committed is unknown.
    pub fn deposed(&mut self) {
        for (_, reply) in std::mem::take(&mut self.accepted).into_values() {
            send_reply(reply, LedgerReply::InDoubt);
        }
    }

    /// Answers all requests when the replica stops for good.
    pub fn stopped(&mut self) {
        self.deposed();
        for reply in std::mem::take(&mut self.proposed).into_values() {
            send_reply(reply, LedgerReply::Stopped);
        }
        for (_, reply) in std::mem::take(&mut self.reads).into_values() {
            send_reply(reply, LedgerReply::Stopped);
        }
    }
}

/// Answers a request.
pub fn send_reply(reply: ReplyTx, value: LedgerReply) {
    // Fails only if the caller has disconnected.
    let _ = reply.send(value);
}
