//! The thread that writes and syncs, so that nothing else waits for the disk.
//!
//! Group commit: all jobs that have gathered while a sync was under way are written together and
//! share the next sync.

use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::thread::{self, JoinHandle};

use anvil_world::ids::LogIndex;
use bytes::Bytes;

use super::{Storage, StorageError};
use crate::core::{SnapshotMeta, Write, WriteSeq};

/// Jobs that may wait before whoever hands them out waits too: a round of the core hands out a few, so a
/// disk may hang for seconds. The queue's places are set aside at the start, so each holds a pointer
/// only: 130 KB in all, where 65,536 whole jobs held 8 MB of a replica's 11.
const QUEUE: usize = 8_192;

/// What the thread is told to do.
#[derive(Debug)]
pub enum Job {
    /// Append and sync.
    Write(Write),
    /// Replace everything by a snapshot, and sync.
    Install {
        /// Its number among the writes.
        seq: WriteSeq,
        /// What it stands for.
        meta: SnapshotMeta,
        /// The state.
        data: Bytes,
    },
    /// The temporary snapshot is synced; make it the newest one.
    Publish(SnapshotMeta),
    /// Remove files with entries up to here only.
    Compact(LogIndex),
}

/// What the thread has done.
#[derive(Debug)]
pub enum Report {
    /// All writes up to this one are synced.
    Synced(WriteSeq),
    /// The snapshot is the newest one.
    Published(SnapshotMeta),
    /// It has stopped for good.
    Failed(StorageError),
}

/// The way to the thread. Dropping it lets the thread finish its jobs and end.
#[derive(Debug)]
pub struct Writer {
    tx: SyncSender<Box<Job>>,
    thread: JoinHandle<()>,
}

impl Writer {
    /// Starts the thread. `group` is off only to measure what one sync for many writes brings.
    pub fn start(
        storage: Storage,
        group: bool,
        report: impl Fn(Report) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE);
        let thread = thread::Builder::new()
            .name("ledger-disk".into())
            .spawn(move || work(storage, &rx, group, &report))?;
        Ok(Self { tx, thread })
    }

    /// Returns when all jobs are done and the folder is free for another process.
    pub fn finish(self) {
        drop(self.tx);
        // A panic in the thread was printed when it happened.
        let _ = self.thread.join();
    }

    /// Hands out a job; false when the thread has ended.
    pub fn give(&self, job: Job) -> bool {
        self.tx.send(Box::new(job)).is_ok()
    }
}

fn work(mut storage: Storage, rx: &Receiver<Box<Job>>, group: bool, report: &impl Fn(Report)) {
    while let Ok(first) = rx.recv() {
        if let Err(e) = round(&mut storage, *first, rx, group, report) {
            report(Report::Failed(e));
            return;
        }
    }
}

/// Takes all jobs that wait, syncs once and reports.
fn round(
    storage: &mut Storage,
    first: Job,
    rx: &Receiver<Box<Job>>,
    group: bool,
    report: &impl Fn(Report),
) -> Result<(), StorageError> {
    let mut newest = None;
    let mut next = Some(first);
    while let Some(job) = next {
        newest = do_job(storage, job, report)?.or(newest);
        next = match rx.try_recv() {
            Ok(job) if group => Some(*job),
            Ok(job) => {
                finish(storage, newest.take(), report)?;
                Some(*job)
            }
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
        };
    }
    finish(storage, newest, report)
}

fn finish(
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

fn do_job(
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
            // The log may still lack entries that the snapshot covers; it goes first.
            storage.sync()?;
            storage.publish_snapshot(&meta)?;
            report(Report::Published(meta));
        }
        Job::Compact(upto) => storage.compact(upto)?,
    }
    Ok(None)
}
