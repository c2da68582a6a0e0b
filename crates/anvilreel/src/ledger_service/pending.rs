//! Who waits for what.

use std::collections::BTreeMap;

use anvil_ledger::core::{EntryId, RequestId};
use anvil_wire::msg::{LedgerReply, Query};
use anvil_world::prelude::*;
use tokio::sync::oneshot;

/// The way back to whoever asked.
pub type Reply = oneshot::Sender<LedgerReply>;

/// Proposals and reads under way.
#[derive(Default)]
pub struct Pending {
    last: RequestId,
    proposed: BTreeMap<RequestId, Reply>,
    accepted: BTreeMap<LogIndex, (Term, Reply)>,
    reads: BTreeMap<RequestId, (Query, Reply)>,
}

impl Pending {
    /// Keeps whoever proposed and gives the proposal a number.
    pub fn propose(&mut self, reply: Reply) -> RequestId {
        self.last += 1;
        self.proposed.insert(self.last, reply);
        self.last
    }

    /// Keeps whoever reads and gives the read a number.
    pub fn read(&mut self, query: Query, reply: Reply) -> RequestId {
        self.last += 1;
        self.reads.insert(self.last, (query, reply));
        self.last
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
        let told = if term == entry.term {
            LedgerReply::Applied {
                index: entry.index,
                answer,
            }
        } else {
            // Another entry was committed in its place, so it never will be.
            LedgerReply::NotLeader { leader: None }
        };
        tell(reply, told);
    }

    /// A read may be answered.
    pub fn confirmed(&mut self, id: RequestId) -> Option<(Query, Reply)> {
        self.reads.remove(&id)
    }

    /// A proposal or read was not taken.
    pub fn refused(&mut self, id: RequestId, reply: &LedgerReply) {
        let proposed = self.proposed.remove(&id);
        let read = self.reads.remove(&id).map(|(_, reply)| reply);
        for waiting in proposed.into_iter().chain(read) {
            tell(waiting, reply.clone());
        }
    }

    /// What stands in the log is in doubt.
    pub fn deposed(&mut self) {
        for (_, reply) in std::mem::take(&mut self.accepted).into_values() {
            tell(reply, LedgerReply::InDoubt);
        }
    }

    /// The replica has stopped: nothing more will be answered.
    pub fn stopped(&mut self) {
        self.deposed();
        for reply in std::mem::take(&mut self.proposed).into_values() {
            tell(reply, LedgerReply::Stopped);
        }
        for (_, reply) in std::mem::take(&mut self.reads).into_values() {
            tell(reply, LedgerReply::Stopped);
        }
    }
}

/// Answers whoever asked.
pub fn tell(reply: Reply, told: LedgerReply) {
    // Fails only where the asker is gone.
    let _ = reply.send(told);
}
