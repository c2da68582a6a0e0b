//! The thread that writes and syncs, so that nothing else waits for the disk.
//!
//! Group commit: all jobs that arrive during a sync are written together and share the next sync.

use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::thread::{self, JoinHandle};

use anvil_world::ids::LogIndex;
use bytes::Bytes;

use super::{Storage, StorageError};
use crate::core::{SnapshotMeta, Write, WriteSeq};

/// Number of queued jobs above which [`Writer::submit`] blocks. The core issues a few jobs for each
/// event, so a disk may hang for seconds before that. The channel allocates all its slots at the
/// start, so each one holds only a pointer: 130 KB in all. A queue of 65,536 unboxed jobs took 8 of
/// the 11 MB of a replica.
const QUEUE_CAPACITY: usize = 8_192;

/// A job for the writer thread.
#[derive(Debug)]
pub enum Job {
    /// Append and sync.
    Write(Write),
    /// Replace log and state by a snapshot, and sync.
    Install {
        /// Sequence number among the writes.
        seq: WriteSeq,
        /// Position and membership of the snapshot.
        meta: SnapshotMeta,
        /// The encoded state.
        data: Bytes,
    },
    /// Publish this replica's own prepared snapshot.
    Publish(SnapshotMeta),
    /// Remove segments that hold only entries up to this position.
    Compact(LogIndex),
}

/// A report from the writer thread.
#[derive(Debug)]
pub enum Report {
    /// All writes up to this one are synced.
    Synced(WriteSeq),
    /// The snapshot is published.
    Published(SnapshotMeta),
    /// The thread has stopped after a failure.
    Failed(StorageError),
}

/// Handle of the writer thread. When it is dropped, the thread finishes its jobs and ends.
#[derive(Debug)]
pub struct Writer {
    tx: SyncSender<Box<Job>>,
    thread: JoinHandle<()>,
}

impl Writer {
    /// Starts the thread. Group commit is switched off only to measure its effect.
    pub fn start(
        storage: Storage,
        group_commit: bool,
        report: impl Fn(Report) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let thread = thread::Builder::new()
            .name("ledger-disk".into())
            .spawn(move || run_writer(storage, &rx, group_commit, &report))?;
        Ok(Self { tx, thread })
    }

    /// Returns once all jobs are done and the folder is free for another process.
    pub fn finish(self) {
        drop(self.tx);
        // A panic in the thread was printed when it happened.
        let _ = self.thread.join();
    }

    /// Queues a job; false if the thread has ended.
    pub fn submit(&self, job: Job) -> bool {
        self.tx.send(Box::new(job)).is_ok()
    }
}

fn run_writer(
    mut storage: Storage,
    rx: &Receiver<Box<Job>>,
    group_commit: bool,
    report: &impl Fn(Report),
) {
    while let Ok(first) = rx.recv() {
        if let Err(e) = run_jobs(&mut storage, *first, rx, group_commit, report) {
            report(Report::Failed(e));
            return;
        }
    }
}

/// Runs all queued jobs, syncs once and reports.
fn run_jobs(
    storage: &mut Storage,
    first: Job,
    rx: &Receiver<Box<Job>>,
    group_commit: bool,
    report: &impl Fn(Report),
) -> Result<(), StorageError> {
    let mut newest = None;
    let mut next = Some(first);
    while let Some(job) = next {
        newest = run_job(storage, job, report)?.or(newest);
        next = match rx.try_recv() {
            Ok(job) if group_commit => Some(*job),
            Ok(job) => {
                sync_and_report(storage, newest.take(), report)?;
                Some(*job)
            }
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
        };
    }
    sync_and_report(storage, newest, report)
}

fn sync_and_report(
    storage: &mut Storage,
    newest: Option<WriteSeq>,
    report: &impl Fn(Report),
) -> Result<(), StorageError> {
    if let Some(seq) = newest {
        storage.sync()?;
        report(Report::Synced(seq));
    }
    Ok(())
}

fn run_job(
    storage: &mut Storage,
    job: Job,
    report: &impl Fn(Report),
) -> Result<Option<WriteSeq>, StorageError> {
    match job {
        Job::Write(write) => {
            storage.write(&write)?;
            return Ok(Some(write.seq));
        }
        Job::Install { seq, meta, data } => {
            storage.install(&meta, &data)?;
            return Ok(Some(seq));
        }
        Job::Publish(meta) => {
            // The log is synced first: it may still lack entries that the snapshot covers.
            storage.sync()?;
            storage.publish_snapshot(&meta)?;
            report(Report::Published(meta));
        }
        Job::Compact(upto) => storage.compact(upto)?,
    }
    Ok(None)
}
