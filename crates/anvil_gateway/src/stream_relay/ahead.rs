//! The buffer of a stream that is read ahead of its client. [`anvil_policy::read_ahead`] decides
//! how far.
//!
//! One task reads events from the endpoint into the buffer, and the client's response takes them
//! out.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::read_ahead::ReadAhead;
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::gateway::Gateway;
use crate::metrics;
use crate::reply::Cause;

/// A stream that stopped because all streams together hold too much checks this often whether
/// others have released some: several times within the second after which an endpoint cuts off an
/// unread response.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What the client has taken out of the buffer.
#[derive(Debug, Clone, Copy, Default)]
pub struct Taken {
    /// Number of events.
    pub events: u64,
    /// Longest time between two of them.
    pub longest_gap: Duration,
    last_at: Option<Instant>,
}

impl Taken {
    /// Continues after an event that was taken at this time.
    pub fn after(last_at: Option<Instant>) -> Self {
        Self {
            last_at,
            ..Self::default()
        }
    }

    fn record(&mut self) -> Option<Duration> {
        let now = Instant::now();
        self.events += 1;
        let gap = now - self.last_at.replace(now)?;
        self.longest_gap = self.longest_gap.max(gap);
        Some(gap)
    }
}

#[derive(Debug, Default)]
struct Buffer {
    events: VecDeque<Bytes>,
    bytes: u64,
    /// How the stream ended, once all of it was read.
    end: Option<Result<(), Cause>>,
    /// Whether the client's response has seen the end.
    end_taken: bool,
    /// Whether the client has disconnected.
    is_closed: bool,
    taken: Taken,
}

struct Shared {
    gw: Arc<Gateway>,
    buffer: Mutex<Buffer>,
    /// Wakes the client's response.
    added: Notify,
    /// Wakes the task that reads.
    removed: Notify,
}

impl Shared {
    fn buffer(&self) -> MutexGuard<'_, Buffer> {
        // Sound after a panic elsewhere: events and their bytes are changed together.
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let bytes = self.buffer().bytes;
        self.gw.read_ahead().remove(bytes);
    }
}

/// The end of the buffer into which events are read.
pub struct AheadWriter(Arc<Shared>);

/// The end of the buffer from which the client's response takes events.
pub struct AheadReader(Arc<Shared>);

/// Creates a buffer for a stream whose client has taken this before.
pub fn buffer(gw: Arc<Gateway>, taken: Taken) -> (AheadWriter, AheadReader) {
    let buffer = Buffer {
        taken,
        ..Buffer::default()
    };
    let shared = Arc::new(Shared {
        gw,
        buffer: Mutex::new(buffer),
        added: Notify::new(),
        removed: Notify::new(),
    });
    (AheadWriter(shared.clone()), AheadReader(shared))
}

impl AheadWriter {
    /// Waits until another event may be read; false if the client has disconnected.
    pub async fn wait_for_room(&self) -> bool {
        let mut has_stopped = false;
        loop {
            let (held, is_closed) = {
                let buffer = self.0.buffer();
                (buffer.bytes, buffer.is_closed)
            };
            if is_closed {
                return false;
            }
            if self.0.gw.read_ahead().may_read(held) {
                return true;
            }
            if !has_stopped {
                self.0.gw.metrics.count(metrics::READ_AHEAD_STOPPED);
                has_stopped = true;
            }
            // After a timeout, others may have released some.
            let _ = timeout(RECHECK_INTERVAL, self.0.removed.notified()).await;
        }
    }

    /// Adds an event.
    pub fn add(&self, event: Bytes) {
        let bytes = event.len() as u64;
        self.0.gw.read_ahead().add(bytes);
        let mut buffer = self.0.buffer();
        buffer.bytes += bytes;
        buffer.events.push_back(event);
        drop(buffer);
        self.0.added.notify_one();
    }

    /// Adds the end, and waits until the client's response has seen it; false if the client
    /// disconnected before.
    pub async fn finish(&self, end: Result<(), Cause>) -> bool {
        self.0.buffer().end = Some(end);
        self.0.added.notify_one();
        loop {
            let (end_taken, is_closed) = {
                let buffer = self.0.buffer();
                (buffer.end_taken, buffer.is_closed)
            };
            if end_taken || is_closed {
                return end_taken;
            }
            self.0.removed.notified().await;
        }
    }

    /// Discards what the client has not taken, and ends the stream.
    pub fn abort(&self, cause: Cause) {
        let mut buffer = self.0.buffer();
        buffer.events = VecDeque::new();
        let bytes = std::mem::take(&mut buffer.bytes);
        buffer.end = Some(Err(cause));
        drop(buffer);
        self.0.gw.read_ahead().remove(bytes);
        self.0.added.notify_one();
    }

    /// Returns when the client has disconnected.
    pub async fn closed(&self) {
        while !self.0.buffer().is_closed {
            self.0.removed.notified().await;
        }
    }

    /// What the client has taken.
    pub fn taken(&self) -> Taken {
        self.0.buffer().taken
    }
}

impl AheadReader {
    /// The next event; `None` at the end of the stream.
    pub async fn next(&self) -> Result<Option<Bytes>, Cause> {
        loop {
            if let Some(next) = self.take() {
                self.0.removed.notify_one();
                return next;
            }
            self.0.added.notified().await;
        }
    }

    /// The next event or the end, if it has been read.
    fn take(&self) -> Option<Result<Option<Bytes>, Cause>> {
        let mut buffer = self.0.buffer();
        let Some(event) = buffer.events.pop_front() else {
            let end = buffer.end?;
            buffer.end_taken = true;
            return Some(end.map(|()| None));
        };
        let bytes = event.len() as u64;
        buffer.bytes -= bytes;
        let gap = buffer.taken.record();
        drop(buffer);
        self.0.gw.read_ahead().remove(bytes);
        if let Some(gap) = gap {
            self.0.gw.metrics.time(metrics::STREAM_GAP, gap);
        }
        Some(Ok(Some(event)))
    }
}

impl Drop for AheadReader {
    fn drop(&mut self) {
        self.0.buffer().is_closed = true;
        self.0.removed.notify_one();
    }
}

impl Gateway {
    /// What all streams have read ahead. Locked only for streams whose clients read slowly.
    pub fn read_ahead(&self) -> MutexGuard<'_, ReadAhead> {
        // Sound after a panic elsewhere: the total is one number.
        self.read_ahead
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
