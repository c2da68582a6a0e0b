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
    /// Lines a second, averaged over a second.
    pub lines_per_second: u64,
    /// Bytes that may wait for a slow reader.
    pub waiting_bytes: usize,
}

impl Default for LogLimits {
    /// A router that answers 100 requests a second logs 40 KB a second; five times that is room
    /// for a storm of failures. Lines of half the usual length reach the bound of lines first. What
    /// waits is two seconds of it.
    fn default() -> Self {
        Self {
            bytes_per_second: 200_000,
            lines_per_second: 1_000,
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

/// So much a second, saved up for one second.
struct Allowance {
    most: f64,
    left: f64,
}

impl Allowance {
    #[expect(clippy::cast_precision_loss, reason = "limits far below 2^52")]
    fn new(most: u64) -> Self {
        let most = most as f64;
        Self { most, left: most }
    }

    fn refill(&mut self, passed: Duration) {
        self.left = (self.left + passed.as_secs_f64() * self.most).min(self.most);
    }

    /// Whether so much may be taken while this part of the whole is kept.
    fn has(&self, cost: f64, kept: f64) -> bool {
        self.left - cost >= self.most * kept
    }
}

struct Waiting {
    buf: Vec<u8>,
    bytes: Allowance,
    lines: Allowance,
    /// When the allowances were last refilled.
    counted: Instant,
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
        waiting: Mutex::new(Waiting {
            buf: Vec::new(),
            bytes: Allowance::new(limits.bytes_per_second),
            lines: Allowance::new(limits.lines_per_second),
            counted: Instant::now(),
            dropped: 0,
        }),
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
        let kept = if record.level().is_at_least(Level::Warning) {
            0.0
        } else {
            1.0 - ORDINARY_PART
        };
        // Under a flood most lines are dropped; they need not be formatted for that.
        if !self.0.has_room(kept) {
            return Ok(());
        }
        let line = RefCell::new(Vec::with_capacity(512));
        slog_json::Json::default(Line(&line)).log(record, values)?;
        self.0.take(&line.borrow(), kept);
        Ok(())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        // A panic elsewhere leaves whole lines and plain numbers.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether any line may be taken while this part of the limits is kept; one that may not counts
    /// as dropped.
    fn has_room(&self, kept: f64) -> bool {
        let mut waiting = self.lock();
        let passed = waiting.counted.elapsed();
        waiting.counted += passed;
        waiting.bytes.refill(passed);
        waiting.lines.refill(passed);
        let allowed = waiting.lines.has(1.0, kept) && waiting.bytes.has(1.0, kept);
        if !allowed {
            self.dropped_one(&mut waiting);
        }
        allowed
    }

    fn take(&self, line: &[u8], kept: f64) {
        let mut waiting = self.lock();
        #[expect(clippy::cast_precision_loss, reason = "limits far below 2^52 bytes")]
        let (bytes, full, room) = (
            line.len() as f64,
            waiting.buf.len() as f64,
            self.limits.waiting_bytes as f64,
        );
        let fits = full + bytes <= room * (1.0 - kept);
        if !fits || !waiting.bytes.has(bytes, kept) {
            return self.dropped_one(&mut waiting);
        }
        waiting.bytes.left -= bytes;
        waiting.lines.left -= 1.0;
        let was_empty = waiting.buf.is_empty();
        waiting.buf.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.filled.notify_one();
        }
    }

    fn dropped_one(&self, waiting: &mut Waiting) {
        waiting.dropped += 1;
        self.dropped.0.fetch_add(1, Ordering::Relaxed);
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
