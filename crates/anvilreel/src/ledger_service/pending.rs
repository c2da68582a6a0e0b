//! Who waits for what.

use std::collections::BTreeMap;

use anvil_ledger::core::{EntryId, RequestId};
use anvil_wire::msg::{LedgerReply, Query};
use anvil_world::prelude::*;
use tokio::sync::oneshot;

/// The way back to whoever asked.
pub type ReplyTx = oneshot::Sender<LedgerReply>;

/// Proposals and reads under way.
#[derive(Default)]
pub struct Pending {
    last_id: RequestId,
    proposed: BTreeMap<RequestId, ReplyTx>,
    accepted: BTreeMap<LogIndex, (Term, ReplyTx)>,
    reads: BTreeMap<RequestId, (Query, ReplyTx)>,
}

impl Pending {
    /// Keeps whoever proposed and gives the proposal a number.
    pub fn propose(&mut self, reply: ReplyTx) -> RequestId {
        self.last_id += 1;
        self.proposed.insert(self.last_id, reply);
        self.last_id
    }

    /// Keeps whoever reads and gives the read a number.
    pub fn read(&mut self, query: Query, reply: ReplyTx) -> RequestId {
        self.last_id += 1;
        self.reads.insert(self.last_id, (query, reply));
        self.last_id
    }

    /// A proposal stands in the log.
    pub fn accept(&mut self, id: RequestId, entry: EntryId) {
        if let Some(reply) = self.proposed.remove(&id) {
            self.accepted.insert(entry.index, (entry.term, reply));
        }
    }

    /// An entry was applied.
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
            // Another entry was committed in its place, so it never will be.
            LedgerReply::NotLeader { leader: None }
        };
        send_reply(reply, value);
    }

    /// A read may be answered.
    pub fn confirmed(&mut self, id: RequestId) -> Option<(Query, ReplyTx)> {
        self.reads.remove(&id)
    }

    /// A proposal or read was not taken.
    pub fn refused(&mut self, id: RequestId, reply: &LedgerReply) {
        let proposed = self.proposed.remove(&id);
        let read = self.reads.remove(&id).map(|(_, reply)| reply);
        for waiting in proposed.into_iter().chain(read) {
            send_reply(waiting, reply.clone());
        }
    }

    /// What stands in the log is in doubt.
    pub fn deposed(&mut self) {
        for (_, reply) in std::mem::take(&mut self.accepted).into_values() {
            send_reply(reply, LedgerReply::InDoubt);
        }
    }

    /// The replica has stopped: nothing more will be answered.
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

/// Answers whoever asked.
pub fn send_reply(reply: ReplyTx, value: LedgerReply) {
    // Fails only where the asker is gone.
    let _ = reply.send(value);
}
