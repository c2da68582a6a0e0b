//! How far a router reads ahead of clients that read their streams slowly.
//!
//! *Load pattern:* some clients read a stream slower than its endpoint writes it, or stop reading
//! for seconds.
//!
//! *Without it:* the router reads from the endpoint only as fast as the client does. The endpoint's
//! writes block, and after a second or so it cuts the response off, although its work is done or
//! paid for.
//!
//! *Mechanism:* the router goes on reading into a buffer of the stream. At [`MAX_STREAM_BYTES`], or
//! once the buffers of all streams have reached their total, it reads only as fast as the client
//! again: a stream with an empty buffer may always read one more event.
//!
//! *Thresholds:* a whole response of some thousand small events fits into a stream's buffer. The
//! total is the part of the memory limit that all slow clients together may take from the other
//! requests.

/// Maximum number of bytes that one stream reads ahead.
pub const MAX_STREAM_BYTES: u64 = 256 << 10;
/// Maximum number of bytes that all streams read ahead, if the memory limit is not known: full
/// buffers of 64 streams.
pub const DEFAULT_TOTAL_BYTES: u64 = 16 << 20;
/// Part of the memory limit that all streams may take, as a divisor.
const MEMORY_DIVISOR: u64 = 10;

/// What all streams of one router have read ahead.
#[derive(Debug, Clone)]
pub struct ReadAhead {
    max_total: u64,
    total: u64,
}

impl ReadAhead {
    /// Nothing read ahead yet, in a process with this memory limit in bytes.
    pub fn new(memory: Option<u64>) -> Self {
        Self {
            max_total: memory.map_or(DEFAULT_TOTAL_BYTES, |memory| memory / MEMORY_DIVISOR),
            total: 0,
        }
    }

    /// Whether a stream that holds this many bytes may read another event.
    pub fn may_read(&self, held: u64) -> bool {
        held == 0 || (held < MAX_STREAM_BYTES && self.total < self.max_total)
    }

    /// Counts an event that a stream has read.
    pub fn add(&mut self, bytes: u64) {
        self.total = self.total.saturating_add(bytes);
    }

    /// Counts bytes that a client has taken, or that were discarded.
    pub fn remove(&mut self, bytes: u64) {
        self.total = self.total.saturating_sub(bytes);
    }

    /// Bytes that all streams hold.
    pub fn total(&self) -> u64 {
        self.total
    }
}
