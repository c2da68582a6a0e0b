//! Linearizable reads.
//!
//! A leader that was deposed without noticing would answer from an old state, and an operator would
//! see an accepted change vanish. A read is answered only after a majority has acknowledged, in a
//! round that began after the read arrived, that this replica still leads.

use super::leadership::{Leadership, WaitingRead};
use super::replica::{Replica, Role};
use super::{Action, RequestId, Round};

impl Replica {
    pub(super) fn read(&mut self, id: RequestId) {
        let committed = self.committed;
        let Some(lead) = self.leadership() else {
            self.refuse(id);
            return;
        };
        if committed < lead.first {
            lead.early_reads.push(id);
            return;
        }
        // The round in progress began before this read; the next one confirms it.
        let in_progress = lead.reads.front();
        let in_progress = in_progress.is_some_and(|read| read.round <= lead.round);
        lead.reads.push_back(WaitingRead {
            id,
            round: lead.round + 1,
            index: committed,
        });
        if !in_progress {
            self.start_round();
        }
    }

    fn start_round(&mut self) {
        if let Some(lead) = self.leadership() {
            lead.round += 1;
        }
        self.send_heartbeats();
        self.release_reads();
    }

    /// Submits the reads that arrived before this term's first entry was committed.
    pub(super) fn submit_early_reads(&mut self) {
        let committed = self.committed;
        let Some(lead) = self.leadership().filter(|lead| committed >= lead.first) else {
            return;
        };
        for id in std::mem::take(&mut lead.early_reads) {
            self.read(id);
        }
    }

    /// Confirms the reads whose round a majority has acknowledged.
    pub(super) fn release_reads(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let Some(wanted) = lead.reads.front().map(|read| read.round) else {
            return;
        };
        let me = self.id;
        let agreed = self.membership().majority_satisfies(|id| {
            let progress = lead.progress.get(&id);
            id == me || progress.is_some_and(|progress| progress.round >= wanted)
        });
        if !agreed || lead.round < wanted {
            return;
        }
        self.confirm(wanted);
        let more = self.leadership().is_some_and(|lead| !lead.reads.is_empty());
        if more {
            self.start_round();
        }
    }

    fn confirm(&mut self, round: Round) {
        while let Some(WaitingRead { id, index, .. }) = self
            .leadership()
            .and_then(|lead| lead.reads.pop_front_if(|read| read.round <= round))
        {
            self.out.push(Action::Confirmed { id, index });
        }
    }

    pub(super) fn refuse_reads(&mut self, lead: &Leadership) {
        let waiting: Vec<RequestId> = lead.reads.iter().map(|read| read.id).collect();
        for id in waiting.into_iter().chain(lead.early_reads.iter().copied()) {
            self.refuse(id);
        }
    }
}
