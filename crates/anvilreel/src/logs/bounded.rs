//! A logger of JSON lines with a bounded rate and a bounded buffer, written by a separate thread.
//!
//! Without the bounds, the log of a process under load could fill a disk, and a stalled reader of
//! its standard output could block it in the middle of a request. Logging a line only formats it
//! and appends it to the buffer. Lines beyond the limits are dropped, those below warning level
//! first, and the next write reports how many were dropped.

use std::cell::RefCell;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};

/// Limits on log output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Maximum bytes per second, averaged over a second.
    pub max_bytes_per_second: u64,
    /// Maximum lines per second, averaged over a second.
    pub max_lines_per_second: u64,
    /// Maximum bytes that are buffered for a slow reader.
    pub max_buffered_bytes: usize,
}

impl Default for LogLimits {
    /// A router that answers 100 requests per second logs 40 KB per second; five times that
    /// leaves room for a burst of failures. Lines of half the usual length reach the limit on
    /// lines first. The buffer holds two seconds of output.
    fn default() -> Self {
        Self {
            max_bytes_per_second: 200_000,
            max_lines_per_second: 1_000,
            max_buffered_bytes: 400_000,
        }
    }
}

/// Fraction of the limits that lines below warning level may use. The rest is reserved for
/// warnings and errors, which explain a failure or a state change.
const ORDINARY_FRACTION: f64 = 0.5;
/// Pause between two writes, so that one wake-up of the thread writes many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// The buffer of a logger's lines. Cheap to clone; the default is that of no logger.
#[derive(Clone, Default)]
pub struct LogBuffer(Option<Arc<Shared>>);

impl LogBuffer {
    /// Number of lines dropped since the process started.
    pub fn dropped_lines(&self) -> u64 {
        let shared = self.0.as_ref();
        shared.map_or(0, |shared| shared.dropped.load(Ordering::Relaxed))
    }

    /// Waits until all lines are written, but no longer than this. To be called before the process
    /// ends: the lines that explain its end are the last ones.
    pub fn flush(&self, max_wait: Duration) {
        if let Some(shared) = &self.0 {
            shared.flush(max_wait);
        }
    }
}

/// A token bucket that holds and refills one second's worth of the limit.
struct TokenBucket {
    capacity: f64,
    available: f64,
}

impl TokenBucket {
    #[expect(clippy::cast_precision_loss, reason = "limits far below 2^52")]
    fn new(capacity: u64) -> Self {
        let capacity = capacity as f64;
        Self {
            capacity,
            available: capacity,
        }
    }

    fn refill(&mut self, elapsed: Duration) {
        self.available =
            (self.available + elapsed.as_secs_f64() * self.capacity).min(self.capacity);
    }

    /// Whether `cost` tokens can be taken so that the `reserved` fraction of the capacity remains.
    fn has(&self, cost: f64, reserved: f64) -> bool {
        self.available - cost >= self.capacity * reserved
    }
}

struct Buffer {
    /// Formatted lines that are not written yet.
    buf: Vec<u8>,
    bytes: TokenBucket,
    lines: TokenBucket,
    /// When `bytes` and `lines` were last refilled.
    refilled_at: Instant,
    /// Lines dropped since the last write.
    dropped: u64,
    /// Whether the thread writes lines that it has taken out.
    is_writing: bool,
    /// Whether the process is about to end, so that lines are written at once.
    is_ending: bool,
}

struct Shared {
    limits: LogLimits,
    buffer: Mutex<Buffer>,
    /// Notified when the buffer has become non-empty.
    not_empty: Condvar,
    /// Notified when lines have been written.
    written: Condvar,
    /// Notified when the process is about to end.
    ending: Condvar,
    /// Lines dropped since the process started.
    dropped: AtomicU64,
}

struct BoundedDrain(Arc<Shared>);

pub(super) fn logger(
    writer: impl Write + Send + 'static,
    limits: LogLimits,
) -> (Logger, LogBuffer) {
    let shared = Arc::new(Shared {
        limits,
        buffer: Mutex::new(Buffer {
            buf: Vec::new(),
            bytes: TokenBucket::new(limits.max_bytes_per_second),
            lines: TokenBucket::new(limits.max_lines_per_second),
            refilled_at: Instant::now(),
            dropped: 0,
            is_writing: false,
            is_ending: false,
        }),
        not_empty: Condvar::new(),
        written: Condvar::new(),
        ending: Condvar::new(),
        dropped: AtomicU64::new(0),
    });
    let buffer = LogBuffer(Some(shared.clone()));
    let writer_shared = shared.clone();
    thread::spawn(move || writer_shared.write_loop(writer));
    (Logger::root(BoundedDrain(shared).fuse(), o!()), buffer)
}

/// Appends a line to a buffer while it is being formatted.
struct LineWriter<'a>(&'a RefCell<Vec<u8>>);

impl Write for LineWriter<'_> {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.borrow_mut().write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drain for BoundedDrain {
    type Ok = ();
    type Err = std::io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Self::Err> {
        let reserved = if record.level().is_at_least(Level::Warning) {
            0.0
        } else {
            1.0 - ORDINARY_FRACTION
        };
        // Under overload most lines are dropped; checking first saves the cost of formatting them.
        if !self.0.check_rate(reserved) {
            return Ok(());
        }
        let line = RefCell::new(Vec::with_capacity(512));
        slog_json::Json::default(LineWriter(&line)).log(record, values)?;
        self.0.enqueue(&line.borrow(), reserved);
        Ok(())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        // Safe after a panic elsewhere: the buffer holds only whole lines and plain counters.
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the limits allow another line so that the `reserved` fraction of them remains. If
    /// they don't, the line counts as dropped.
    fn check_rate(&self, reserved: f64) -> bool {
        let mut buffer = self.lock();
        let elapsed = buffer.refilled_at.elapsed();
        buffer.refilled_at += elapsed;
        buffer.bytes.refill(elapsed);
        buffer.lines.refill(elapsed);
        let allowed = buffer.lines.has(1.0, reserved) && buffer.bytes.has(1.0, reserved);
        if !allowed {
            self.count_dropped(&mut buffer);
        }
        allowed
    }

    /// Appends a formatted line to the buffer, or drops it if it exceeds the limits.
    fn enqueue(&self, line: &[u8], reserved: f64) {
        let mut buffer = self.lock();
        #[expect(clippy::cast_precision_loss, reason = "limits far below 2^52 bytes")]
        let (bytes, buffered, max_buffered) = (
            line.len() as f64,
            buffer.buf.len() as f64,
            self.limits.max_buffered_bytes as f64,
        );
        let fits = buffered + bytes <= max_buffered * (1.0 - reserved);
        if !fits || !buffer.bytes.has(bytes, reserved) {
            return self.count_dropped(&mut buffer);
        }
        buffer.bytes.available -= bytes;
        buffer.lines.available -= 1.0;
        let was_empty = buffer.buf.is_empty();
        buffer.buf.extend_from_slice(line);
        drop(buffer);
        if was_empty {
            self.not_empty.notify_one();
        }
    }

    fn count_dropped(&self, buffer: &mut Buffer) {
        buffer.dropped += 1;
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    fn write_loop(&self, mut writer: impl Write) {
        loop {
            let (lines, dropped) = self.wait_for_lines();
            let written = if dropped > 0 {
                let line = format!(
                    "{{\"msg\":\"log_lines_dropped\",\"level\":\"WARN\",\"count\":{dropped}}}\n"
                );
                writer.write_all(line.as_bytes())
            } else {
                Ok(())
            };
            let written = written.and_then(|()| writer.write_all(&lines));
            // A failed write can't be logged; the count of dropped lines is the only sign of it.
            if written.and_then(|()| writer.flush()).is_err() {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
            self.pause_after_write();
        }
    }

    /// Lets lines accumulate, unless the process is about to end.
    fn pause_after_write(&self) {
        let mut buffer = self.lock();
        buffer.is_writing = false;
        self.written.notify_all();
        // A pause that ends early or late only makes the next write smaller or larger.
        let _ = self
            .ending
            .wait_timeout_while(buffer, FLUSH_INTERVAL, |buffer| !buffer.is_ending);
    }

    fn flush(&self, max_wait: Duration) {
        let mut buffer = self.lock();
        buffer.is_ending = true;
        self.ending.notify_all();
        let has_lines = |buffer: &mut Buffer| buffer.is_writing || !buffer.buf.is_empty();
        // A reader that takes no lines must not delay the end of the process.
        let _ = self.written.wait_timeout_while(buffer, max_wait, has_lines);
    }

    /// Waits until lines are buffered, and takes them with the number of lines dropped before.
    fn wait_for_lines(&self) -> (Vec<u8>, u64) {
        let mut buffer = self.lock();
        while buffer.buf.is_empty() {
            let woken = self.not_empty.wait(buffer);
            buffer = woken.unwrap_or_else(PoisonError::into_inner);
        }
        let dropped = std::mem::take(&mut buffer.dropped);
        buffer.is_writing = true;
        (std::mem::take(&mut buffer.buf), dropped)
    }
}
