//! Disk work of the replica task: log writes, applying entries, its own snapshots and fetched ones.

use anvil_ledger::core::{Entry, Event, Payload, ReplicaId, SnapshotMeta, Write, WriteSeq};
use anvil_ledger::machine::Machine;
use anvil_ledger::storage::{Disk, Job, Report, snapshot};
use anvil_world::prelude::*;
use bytes::Bytes;
use snafu::ResultExt;

use super::{Input, ReplicaTask};
use crate::event;
use crate::ledger_service::error::Fault;
use crate::ledger_service::error::fault::{ApplySnafu, DiskSnafu};
use crate::ledger_service::events;
use crate::ledger_service::links;

impl ReplicaTask {
    pub(super) fn write(&mut self, write: Write) {
        self.latency.written(write.seq, self.now());
        self.submit(Job::Write(write));
    }

    pub(super) fn compact(&mut self, upto: LogIndex) {
        event!(self.setup.log, events::LEDGER_SNAPSHOT, "upto" => upto);
        self.submit(Job::Compact(upto));
    }

    fn submit(&mut self, job: Job) {
        // Fails only if the writer thread has ended; its failure report is already queued.
        let _ = self.setup.writer.submit(job);
    }

    pub(super) fn disk_reported(&mut self, report: Report) {
        match report {
            Report::Synced(seq) => {
                self.latency.synced(seq, self.now());
                self.feed(Event::Synced(seq));
            }
            Report::Published(meta) => {
                self.snapshot_task = None;
                self.feed(Event::Saved(meta));
            }
            Report::Failed(source) => self.fail(&Fault::Disk { source }),
        }
    }

    /// Applies committed entries and answers their proposers.
    pub(super) fn apply(&mut self, entries: &[Entry]) {
        if let Some(last) = entries.last() {
            self.latency.committed(last.id.index, self.now());
        }
        for entry in entries {
            if let Payload::Data(data) = &entry.payload {
                self.bytes_since_snapshot += data.len() as u64;
            }
            self.log_membership(entry);
            match self.machine.apply(entry) {
                Ok(answer) => self.pending.applied(entry.id, answer),
                Err(source) => {
                    self.fail(&Fault::Apply { source });
                    return;
                }
            }
        }
        self.snapshot_if_due();
    }

    fn log_membership(&self, entry: &Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            event!(
                self.setup.log, events::LEDGER_MEMBERS,
                "voters" => membership.voters.len(), "learners" => membership.learners.len()
            );
        }
    }

    /// Starts writing a snapshot in a blocking task when one is due, so that the log is not
    /// delayed.
    fn snapshot_if_due(&mut self) {
        let applied = self.machine.state.applied();
        let tuning = &self.setup.tuning;
        let due = applied >= self.snapshot_index + tuning.snapshot_entries
            || self.bytes_since_snapshot >= tuning.snapshot_bytes;
        if !due || self.snapshot_task.is_some() {
            return;
        }
        let membership = self.replica.membership_at(applied).cloned();
        let (Some(last), Some(membership)) = (self.replica.id_at(applied), membership) else {
            return;
        };
        self.snapshot_index = applied;
        self.bytes_since_snapshot = 0;
        let meta = SnapshotMeta { last, membership };
        let machine = self.machine.clone();
        let disk = self.setup.disk.clone();
        let inbox = self.inbox.clone();
        self.snapshot_task = Some(tokio::task::spawn_blocking(move || {
            let input = match prepare(&machine, &disk, &meta) {
                Ok(()) => Input::SnapshotPrepared(meta),
                Err(fault) => Input::Failed(fault),
            };
            // Fails only if the replica task has ended.
            let _ = inbox.blocking_send(input);
        }));
    }

    pub(super) fn prepared(&mut self, meta: SnapshotMeta) {
        self.submit(Job::Publish(meta));
    }

    pub(super) fn fetch(&mut self, from: ReplicaId, meta: &SnapshotMeta) {
        let site = self.replica.membership().site(from);
        let site = site.or_else(|| meta.membership.site(from)).cloned();
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let fetched = match site {
                Some(site) => links::fetch(site.addr).await,
                None => None,
            };
            // Fails only if the replica task has ended.
            let _ = inbox.send(Input::SnapshotFetched(fetched)).await;
        });
    }

    pub(super) fn fetched(&mut self, fetched: Option<(SnapshotMeta, Bytes)>) {
        let Some((meta, data)) = fetched else {
            event!(self.setup.log, events::LEDGER_FETCH_FAILED);
            self.replica.fetch_failed();
            return;
        };
        self.feed(Event::Fetched { meta, data });
    }

    pub(super) fn install(&mut self, seq: WriteSeq, meta: SnapshotMeta, data: Bytes) {
        match Machine::restore(&data) {
            Ok(machine) => self.machine = machine,
            Err(source) => {
                self.fail(&Fault::Apply { source });
                return;
            }
        }
        event!(self.setup.log, events::LEDGER_INSTALLED, "index" => meta.last.index);
        self.snapshot_index = meta.last.index;
        self.submit(Job::Install { seq, meta, data });
    }
}

fn prepare(machine: &Machine, disk: &Disk, meta: &SnapshotMeta) -> Result<(), Fault> {
    let data = machine.save().context(ApplySnafu)?;
    snapshot::prepare(disk, snapshot::TEMPORARY, meta, &data).context(DiskSnafu)
}
