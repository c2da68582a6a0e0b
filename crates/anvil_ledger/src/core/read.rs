//! Confirmed reads.
//!
//! Failure: a leader that was deposed without noticing answers from an old state, and an operator
//! sees an accepted change vanish. A read is answered only after a majority has acknowledged,
//! in a round that began after the read arrived, that this replica still leads.

use super::leadership::Leadership;
use super::replica::{Replica, Role};
use super::{Action, RequestId};

impl Replica {
    pub(super) fn read(&mut self, id: RequestId) {
        let committed = self.committed;
        let Some(lead) = self.leadership() else {
            self.refuse(id);
            return;
        };
        if committed < lead.first {
            lead.early.push(id);
            return;
        }
        // A round under way began before this read; the next one confirms it.
        let under_way = lead
            .reads
            .front()
            .is_some_and(|(round, ..)| *round <= lead.round);
        lead.reads.push_back((lead.round + 1, id, committed));
        if !under_way {
            self.start_round();
        }
    }

    fn start_round(&mut self) {
        if let Some(lead) = self.leadership() {
            lead.round += 1;
        }
        self.beat();
        self.release_reads();
    }

    /// Reads that came before this term's first entry was committed can be confirmed now.
    pub(super) fn read_early(&mut self) {
        let committed = self.committed;
        let Some(lead) = self.leadership().filter(|lead| committed >= lead.first) else {
            return;
        };
        for id in std::mem::take(&mut lead.early) {
            self.read(id);
        }
    }

    /// Answers the reads whose round a majority has acknowledged.
    pub(super) fn release_reads(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let Some((wanted, ..)) = lead.reads.front().copied() else {
            return;
        };
        let me = self.id;
        let agreed = self.membership().agreed(|id| {
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

    fn confirm(&mut self, round: u64) {
        while let Some((_, id, index)) = self
            .leadership()
            .and_then(|lead| lead.reads.pop_front_if(|(wanted, ..)| *wanted <= round))
        {
            self.out.push(Action::Confirmed { id, index });
        }
    }

    pub(super) fn refuse_reads(&mut self, lead: &Leadership) {
        let waiting: Vec<RequestId> = lead.reads.iter().map(|(_, id, _)| *id).collect();
        for id in waiting.into_iter().chain(lead.early.iter().copied()) {
            self.refuse(id);
        }
    }
}
