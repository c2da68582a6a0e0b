//! The report on a data folder.

use std::fmt;

use anvil_world::prelude::*;

use crate::core::{EntryId, HardState, Membership, ReplicaId};
use crate::state::State;
use crate::storage::FORMAT;
use crate::storage::recover::SegmentView;

/// Counts of the state after all entries held.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StateView {
    /// The last entry applied.
    pub applied: LogIndex,
    /// Newest version of tree, members and fences.
    pub version: LogIndex,
    /// Number of documents in the tree.
    pub documents: usize,
    /// Number of instances that ever joined.
    pub members: usize,
    /// Number of budgets.
    pub budgets: usize,
    /// Tokens credited, over all budgets.
    pub credited: Tokens,
    /// Tokens charged, over all budgets.
    pub billed: Tokens,
    /// Tokens in open grants, not settled, over all budgets.
    pub outstanding: Tokens,
    /// Number of fenced grants.
    pub fenced_grants: usize,
}

impl StateView {
    /// The counts of a state.
    pub fn of(state: &State) -> Self {
        let mut view = Self {
            applied: state.applied(),
            version: state.version(),
            documents: state.tree().len(),
            members: state.members().len(),
            fenced_grants: state.fenced_grants().count(),
            ..Self::default()
        };
        for (_, budget) in state.budgets(None) {
            view.budgets += 1;
            view.credited = view.credited.saturating_add(budget.credited);
            view.billed = view.billed.saturating_add(budget.billed);
            view.outstanding = view.outstanding.saturating_add(budget.outstanding());
        }
        view
    }
}

/// Contents of a data folder that passed all checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The folder.
    pub folder: String,
    /// Identifier of the disk.
    pub id: ReplicaId,
    /// Term and vote.
    pub hard: HardState,
    /// The entry before the first one held.
    pub base: EntryId,
    /// The last entry held, committed or not.
    pub last: EntryId,
    /// The last entry that the snapshot covers.
    pub snapshot: Option<EntryId>,
    /// Segments of the log, oldest first.
    pub segments: Vec<SegmentView>,
    /// Voters and learners, as of the last entry.
    pub membership: Membership,
    /// The state after all entries.
    pub state: StateView,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "folder     {} (format {FORMAT})", self.folder)?;
        writeln!(f, "replica    {:016x}", self.id)?;
        match self.hard.vote {
            Some(vote) => writeln!(f, "term       {}, voted for {vote:016x}", self.hard.term)?,
            None => writeln!(f, "term       {}, no vote", self.hard.term)?,
        }
        match self.snapshot {
            Some(last) => writeln!(f, "snapshot   up to {} of term {}", last.index, last.term)?,
            None => writeln!(f, "snapshot   none")?,
        }
        writeln!(
            f,
            "log        {} to {}, last of term {}",
            self.base.index + 1,
            self.last.index,
            self.last.term
        )?;
        self.list_segments(f)?;
        self.list_replicas(f)?;
        self.list_state(f)?;
        write!(
            f,
            "checks     checksums, order of entries and invariants hold"
        )
    }
}

impl Report {
    fn list_segments(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            write!(
                f,
                "  segment  {}: {} frames, {} bytes",
                segment.number, segment.batches, segment.end
            )?;
            if segment.torn > 0 {
                write!(
                    f,
                    ", {} torn bytes at the end (never acknowledged)",
                    segment.torn
                )?;
            }
            writeln!(f)?;
        }
        Ok(())
    }

    fn list_replicas(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "ledger     {:016x}", self.membership.ledger)?;
        let voters = self.membership.voters.iter().map(|v| ("voter  ", v));
        let learners = self.membership.learners.iter().map(|l| ("learner", l));
        for (kind, (id, site)) in voters.chain(learners) {
            writeln!(f, "  {kind}  {id:016x} {} {}", site.instance, site.addr)?;
        }
        Ok(())
    }

    fn list_state(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = &self.state;
        writeln!(
            f,
            "state      version {}, {} documents, {} instances",
            state.version, state.documents, state.members
        )?;
        writeln!(
            f,
            "budgets    {}: {} credited, {} billed, {} in open grants, {} fenced grants",
            state.budgets, state.credited, state.billed, state.outstanding, state.fenced_grants
        )
    }
}
