//! Proposals and reads in flight, with the channels on which they are answered.

use std::collections::BTreeMap;

use anvil_ledger::core::{EntryId, RequestId};
use anvil_wire::msg::{LedgerReply, Query};
use anvil_world::prelude::*;
use tokio::sync::oneshot;

/// Channel on which a request is answered.
pub type ReplyTx = oneshot::Sender<LedgerReply>;

/// Digest of a command as its caller sent it.
pub type CommandDigest = u128;

/// A proposal in flight.
struct Waiting {
    /// `None` if no other caller may share its entry.
    digest: Option<CommandDigest>,
    /// Its caller, and the callers that have sent an equal command since.
    replies: Vec<ReplyTx>,
}

/// Proposals and reads in flight.
#[derive(Default)]
pub struct Pending {
    last_id: RequestId,
    proposals: BTreeMap<RequestId, Waiting>,
    by_digest: BTreeMap<CommandDigest, RequestId>,
    accepted: BTreeMap<LogIndex, (Term, RequestId)>,
    reads: BTreeMap<RequestId, (Query, ReplyTx)>,
}

impl Pending {
    /// Has this caller wait for an equal command in flight; returns its reply channel if there is none.
    ///
    /// A caller whose timeout is shorter than a commit would otherwise wait for another entry each time,
    /// and never be answered.
    pub fn share(&mut self, digest: Option<CommandDigest>, reply: ReplyTx) -> Option<ReplyTx> {
        let in_flight = digest.and_then(|digest| self.by_digest.get(&digest));
        let Some(waiting) = in_flight.and_then(|id| self.proposals.get_mut(id)) else {
            return Some(reply);
        };
        waiting.replies.retain(|reply| !reply.is_closed());
        waiting.replies.push(reply);
        None
    }

    /// Registers a proposal and returns its identifier.
    pub fn propose(&mut self, digest: Option<CommandDigest>, reply: ReplyTx) -> RequestId {
        self.last_id += 1;
        let replies = vec![reply];
        self.proposals
            .insert(self.last_id, Waiting { digest, replies });
        if let Some(digest) = digest {
            self.by_digest.insert(digest, self.last_id);
        }
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
        self.accepted.insert(entry.index, (entry.term, id));
    }

    /// Answers the proposal whose entry was applied.
    pub fn applied(&mut self, entry: EntryId, answer: Answer) {
        let Some((term, id)) = self.accepted.remove(&entry.index) else {
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
        self.answer_proposal(id, &value);
    }

    fn answer_proposal(&mut self, id: RequestId, value: &LedgerReply) {
        let Some(waiting) = self.proposals.remove(&id) else {
            return;
        };
        if let Some(digest) = waiting.digest {
            self.by_digest.remove(&digest);
        }
        for reply in waiting.replies {
            send_reply(reply, value.clone());
        }
    }

    /// Removes and returns a confirmed read.
    pub fn confirmed(&mut self, id: RequestId) -> Option<(Query, ReplyTx)> {
        self.reads.remove(&id)
    }

    /// Answers a proposal or read that the core refused.
    pub fn refused(&mut self, id: RequestId, value: &LedgerReply) {
        self.answer_proposal(id, value);
        if let Some((_, reply)) = self.reads.remove(&id) {
            send_reply(reply, value.clone());
        }
    }

    /// Answers all proposals in the log: whether they will be committed is unknown.
    pub fn deposed(&mut self) {
        for (_, id) in std::mem::take(&mut self.accepted).into_values() {
            self.answer_proposal(id, &LedgerReply::InDoubt);
        }
    }

    /// Answers all requests when the replica stops for good.
    pub fn stopped(&mut self) {
        self.deposed();
        let proposals: Vec<_> = self.proposals.keys().copied().collect();
        for id in proposals {
            self.answer_proposal(id, &LedgerReply::Stopped);
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
