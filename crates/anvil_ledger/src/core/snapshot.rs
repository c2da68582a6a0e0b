//! Snapshots: they compact the log and bring followers up to date that lack compacted entries.

use anvil_world::ids::Term;
use bytes::Bytes;

use super::error::CoreError;
use super::replica::Replica;
use super::{Action, ReplicaId, Round, SnapshotMeta};

impl Replica {
    /// Compacts the log after this replica's own snapshot has reached its disk.
    pub(super) fn on_saved(&mut self, meta: SnapshotMeta) {
        let newer = self
            .snapshot
            .as_ref()
            .is_none_or(|old| old.last.index < meta.last.index);
        if !newer {
            return;
        }
        let index = meta.last.index;
        self.snapshot = Some(meta);
        let upto = index.saturating_sub(self.cfg.trailing_entries);
        if upto > self.log.base().index {
            self.log.compact(upto);
            self.out.push(Action::Compact(upto));
        }
        self.prune_memberships();
    }

    /// Handles a leader's offer of a snapshot: the leader no longer has the entries that this
    /// replica needs.
    pub(super) fn on_offer(
        &mut self,
        from: ReplicaId,
        term: Term,
        meta: SnapshotMeta,
        round: Round,
    ) -> Result<(), CoreError> {
        if !self.accept_leader(from, term, round)? {
            return Ok(());
        }
        self.announced = self.announced.max(meta.last.index);
        if self.log.id_at(meta.last.index) == Some(meta.last) || meta.last.index <= self.committed {
            // All entries covered by the snapshot are held already.
            self.verified = self
                .verified
                .max(meta.last.index.min(self.log.last().index));
        } else if self.fetching != Some(meta.last) {
            self.fetching = Some(meta.last);
            self.out.push(Action::Fetch { from, meta });
        }
        self.acknowledge(from, None);
        Ok(())
    }

    /// Replaces log and state by a fetched snapshot, unless they have caught up meanwhile.
    pub(super) fn on_fetched(&mut self, meta: SnapshotMeta, data: Bytes) {
        let wanted = self.fetching.take() == Some(meta.last);
        if !wanted || meta.last.index <= self.committed {
            return;
        }
        self.flush();
        let index = meta.last.index;
        self.log.reset(meta.last);
        self.committed = index;
        self.applied = index;
        self.memberships = vec![(index, meta.membership.clone())];
        self.snapshot = Some(meta.clone());
        self.verified = index;
        let seq = self.writes.replace(index, self.now);
        self.out.push(Action::Install { seq, meta, data });
    }

    /// Reports that the snapshot could not be fetched; the leader's next offer starts again.
    pub fn fetch_failed(&mut self) {
        self.fetching = None;
    }
}
