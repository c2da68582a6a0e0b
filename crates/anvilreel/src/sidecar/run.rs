//! One run: its output so far, who may read it and how it ended.

use std::sync::{Mutex, MutexGuard, PoisonError};

use anvil_wire::msg::{Head, RunEnd, Start};
use anvil_world::prelude::*;
use bytes::{Bytes, BytesMut};
use tokio::sync::watch;

/// Most bytes of output in one frame.
const FRAME: usize = 16 << 10;

/// How far a run has come.
#[derive(Debug, Default)]
struct Output {
    head: Option<Head>,
    bytes: BytesMut,
    end: Option<Box<RunEnd>>,
    ended_at: Option<Now>,
}

/// What a reader gets next.
#[derive(Debug)]
pub struct Piece {
    /// Status and headers, once.
    pub head: Option<Head>,
    /// New output.
    pub bytes: Bytes,
    /// The end, when all output is out.
    pub end: Option<Box<RunEnd>>,
}

/// A run at this sidecar, shared by its driver and its readers.
#[derive(Debug)]
pub struct Run {
    /// What was asked, without the prefix.
    pub start: Start,
    output: Mutex<Output>,
    changed: watch::Sender<()>,
    cancelled: watch::Sender<bool>,
}

impl Run {
    /// A run that continues after the start's prefix.
    pub fn new(mut start: Start) -> Self {
        let prefix = std::mem::take(&mut start.prefix);
        let output = Output {
            bytes: BytesMut::from(prefix.as_ref()),
            ..Output::default()
        };
        Self {
            start,
            output: Mutex::new(output),
            changed: watch::Sender::new(()),
            cancelled: watch::Sender::new(false),
        }
    }

    /// Status and headers of a plain service.
    pub fn set_head(&self, head: Head) {
        self.output().head = Some(head);
        self.changed.send_replace(());
    }

    /// More output.
    pub fn push(&self, bytes: &[u8]) {
        self.output().bytes.extend_from_slice(bytes);
        self.changed.send_replace(());
    }

    /// The end. Guards against a second settlement: only the first end counts.
    pub fn finish(&self, now: Now, end: RunEnd) {
        let mut output = self.output();
        if output.end.is_none() {
            output.end = Some(Box::new(end));
            output.ended_at = Some(now);
        }
        drop(output);
        self.changed.send_replace(());
    }

    /// Bytes of output so far.
    pub fn length(&self) -> Offset {
        self.output().bytes.len() as Offset
    }

    /// Output so far.
    pub fn so_far(&self) -> Bytes {
        Bytes::copy_from_slice(&self.output().bytes)
    }

    /// The end, if it has come.
    pub fn end(&self) -> Option<Box<RunEnd>> {
        self.output().end.clone()
    }

    /// When it ended.
    pub fn ended_at(&self) -> Option<Now> {
        self.output().ended_at
    }

    /// The caller left for good.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// Returns when the run is cancelled.
    pub async fn cancelled(&self) {
        // The sender lives as long as the run.
        let _ = self
            .cancelled
            .subscribe()
            .wait_for(|cancelled| *cancelled)
            .await;
    }

    /// What comes after byte `from`, as soon as there is something.
    pub async fn read(&self, from: Offset, wants_head: bool) -> Piece {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(piece) = self.piece(from, wants_head) {
                return piece;
            }
            // The sender lives as long as the run.
            let _ = changed.changed().await;
        }
    }

    /// Returns when the run has ended.
    pub async fn ended(&self) -> Box<RunEnd> {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(end) = self.end() {
                return end;
            }
            let _ = changed.changed().await;
        }
    }

    fn piece(&self, from: Offset, wants_head: bool) -> Option<Piece> {
        let output = self.output();
        let from = usize::try_from(from)
            .unwrap_or(usize::MAX)
            .min(output.bytes.len());
        let upto = output.bytes.len().min(from.saturating_add(FRAME));
        let bytes = Bytes::copy_from_slice(&output.bytes[from..upto]);
        let all = upto == output.bytes.len();
        let head = output.head.clone().filter(|_| wants_head);
        let end = output.end.clone().filter(|_| all);
        if bytes.is_empty() && head.is_none() && end.is_none() {
            return None;
        }
        Some(Piece { head, bytes, end })
    }

    fn output(&self) -> MutexGuard<'_, Output> {
        // A panic elsewhere leaves the output as it was between two steps.
        self.output.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
