//! JSON lines, bounded in bytes a second and in bytes that wait, written by a thread of their own.
//!
//! Failure: the log of a process under load fills a disk, or the reader of its standard output
//! stops and the process waits for it in the middle of a request. Here a line is formatted, put
//! into a buffer and forgotten. What is beyond the limits is dropped, lines on work that went well
//! first, and the next line written says how many.

use std::cell::RefCell;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};

/// How much may be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Bytes a second, averaged over a second.
    pub bytes_per_second: u64,
    /// Bytes that may wait for a slow reader.
    pub waiting_bytes: usize,
}

impl Default for LogLimits {
    /// A router that answers 100 requests a second logs 40 KB a second; five times that is room
    /// for a storm of failures. What waits is two seconds of it.
    fn default() -> Self {
        Self {
            bytes_per_second: 200_000,
            waiting_bytes: 400_000,
        }
    }
}

/// Part of the limits that lines on work that went well may use: the rest is kept for those that
/// explain a failure or a changed belief.
const ORDINARY_PART: f64 = 0.5;
/// Lines are gathered for so long before they are written: one wake-up for many.
const GATHER: Duration = Duration::from_millis(50);

/// Lines that were dropped since the process started. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Dropped(Arc<AtomicU64>);

impl Dropped {
    /// How many.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

#[derive(Default)]
struct Waiting {
    buf: Vec<u8>,
    /// Bytes that may still be logged now, and when that was counted.
    allowance: f64,
    counted: Option<Instant>,
    dropped: u64,
}

struct Shared {
    limits: LogLimits,
    waiting: Mutex<Waiting>,
    filled: Condvar,
    dropped: Dropped,
}

struct Bounded(Arc<Shared>);

pub(super) fn logger(writer: impl Write + Send + 'static, limits: LogLimits) -> (Logger, Dropped) {
    let shared = Arc::new(Shared {
        limits,
        waiting: Mutex::default(),
        filled: Condvar::new(),
        dropped: Dropped::default(),
    });
    let dropped = shared.dropped.clone();
    let own = shared.clone();
    thread::spawn(move || own.write_out(writer));
    (Logger::root(Bounded(shared).fuse(), o!()), dropped)
}

/// One line under way.
struct Line<'a>(&'a RefCell<Vec<u8>>);

impl Write for Line<'_> {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.borrow_mut().write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drain for Bounded {
    type Ok = ();
    type Err = std::io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Self::Err> {
        let line = RefCell::new(Vec::with_capacity(512));
        slog_json::Json::default(Line(&line)).log(record, values)?;
        self.0
            .take(&line.borrow(), record.level().is_at_least(Level::Warning));
        Ok(())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        // A panic elsewhere leaves whole lines and plain numbers.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, line: &[u8], urgent: bool) {
        let mut waiting = self.lock();
        self.refill(&mut waiting);
        #[expect(clippy::cast_precision_loss, reason = "limits far below 2^52 bytes")]
        let (a_second, room) = (
            self.limits.bytes_per_second as f64,
            self.limits.waiting_bytes as f64,
        );
        #[expect(clippy::cast_precision_loss, reason = "as above")]
        let (line_bytes, full) = (line.len() as f64, waiting.buf.len() as f64);
        let kept = if urgent { 0.0 } else { 1.0 - ORDINARY_PART };
        let allowed = waiting.allowance - line_bytes >= a_second * kept;
        let fits = full + line_bytes <= room * (1.0 - kept);
        if !allowed || !fits {
            waiting.dropped += 1;
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
            return;
        }
        waiting.allowance -= line_bytes;
        let was_empty = waiting.buf.is_empty();
        waiting.buf.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.filled.notify_one();
        }
    }

    fn refill(&self, waiting: &mut Waiting) {
        let now = Instant::now();
        #[expect(clippy::cast_precision_loss, reason = "limits far below 2^52 bytes")]
        let most = self.limits.bytes_per_second as f64;
        let passed = waiting.counted.map(|at| now.saturating_duration_since(at));
        let more = passed.map_or(most, |passed| passed.as_secs_f64() * most);
        waiting.allowance = (waiting.allowance + more).min(most);
        waiting.counted = Some(now);
    }

    fn write_out(&self, mut writer: impl Write) {
        loop {
            let (lines, dropped) = self.gathered();
            let written = if dropped > 0 {
                let line = format!(
                    "{{\"msg\":\"log_lines_dropped\",\"level\":\"WARN\",\"count\":{dropped}}}\n"
                );
                writer.write_all(line.as_bytes())
            } else {
                Ok(())
            };
            let written = written.and_then(|()| writer.write_all(&lines));
            // Nobody can be told of a log that can't be written but by the count.
            if written.and_then(|()| writer.flush()).is_err() {
                self.dropped.0.fetch_add(1, Ordering::Relaxed);
            }
            thread::sleep(GATHER);
        }
    }

    /// Waits for lines and takes them.
    fn gathered(&self) -> (Vec<u8>, u64) {
        let mut waiting = self.lock();
        while waiting.buf.is_empty() {
            let woken = self.filled.wait(waiting);
            waiting = woken.unwrap_or_else(PoisonError::into_inner);
        }
        let dropped = std::mem::take(&mut waiting.dropped);
        (std::mem::take(&mut waiting.buf), dropped)
    }
}
