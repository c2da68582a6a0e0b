//! What one connection may cost at most, and how many of them fit into the memory of a process.
//!
//! A connection costs the receive buffer of its socket in the kernel, the read buffer of the HTTP library and
//! its task; a request costs the buffer that its head is part of, and its state. None of these grows beyond
//! what is counted here, and [`crate::Admission`] keeps their sum below a part of the memory. What bodies
//! hold is bounded by a [`crate::MemoryBudget`] for all of them.

use std::time::Duration;

use crate::memory_budget::MemoryBudget;

/// Size that is set for the receive buffer of a socket, in bytes. The kernel doubles it, for its own
/// structures.
pub const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;
/// The same at listeners that receive large bodies and don't enlarge it for each of them.
pub const MEDIUM_RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// The same while a large body is received: the window of a connection limits its speed.
pub const LARGE_RECEIVE_BUFFER_BYTES: u32 = 128 << 10;
/// Bytes that the kernel may hold unread of a connection, as a multiple of the size that is set.
const KERNEL_BUFFER_FACTOR: u64 = 2;
/// What a large receive buffer may hold, in bytes.
pub(crate) const LARGE_RECEIVE_BUFFER_TOTAL: u64 =
    LARGE_RECEIVE_BUFFER_BYTES as u64 * KERNEL_BUFFER_FACTOR;
/// Least read buffer of a connection, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 16 << 10;
/// Memory of a connection's task, in bytes.
const TASK_BYTES: u64 = 4 << 10;
/// Memory of the state of a request, in bytes.
const REQUEST_BYTES: u64 = 24 << 10;
/// Fewest bytes of a line in a head: a name of one byte, a colon and the end of the line.
const MIN_HEADER_BYTES: usize = 4;
/// Part of the memory limit that all connections of clients and their requests may take, as a divisor.
const CONNECTIONS_DIVISOR: u64 = 3;

/// Part of the memory limit that the bodies of requests may take together, as a divisor.
const REQUESTS_DIVISOR: u64 = 4;
/// Part of it that large bodies of responses may take together, as a divisor.
const RESPONSES_DIVISOR: u64 = 8;
/// The same parts if the memory limit is not known, in bytes.
const DEFAULT_BODIES_BYTES: u64 = 64 << 20;
/// Bytes of each response that need no room: it has run, so it is given up last.
const FREE_RESPONSE_BYTES: u64 = 256 << 10;

/// Longest head of a request on a listener without a configured limit, in bytes.
pub const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Longest time to receive a head there.
pub const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a connection may be idle there.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Longest head of a request, in bytes, with empty lines before it.
    pub head_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Longest time without a request, and without a byte of a body that is due.
    pub idle_timeout: Duration,
    /// Size that is set for the receive buffer of its socket, in bytes. It bounds the speed of a large body.
    pub receive_buffer_bytes: u32,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
        }
    }
}

impl ConnectionLimits {
    /// Size of the HTTP library's read buffer, in bytes.
    pub(crate) fn read_buffer_bytes(&self) -> usize {
        self.head_bytes.max(MIN_READ_BUFFER_BYTES)
    }

    /// Most headers that fit into a head.
    pub(crate) fn max_headers(&self) -> usize {
        (self.head_bytes / MIN_HEADER_BYTES).max(1)
    }

    /// What a connection may cost without a request, in bytes.
    pub(crate) fn connection_bytes(&self) -> u64 {
        let unread = u64::from(self.receive_buffer_bytes) * KERNEL_BUFFER_FACTOR;
        unread + self.read_buffer_bytes() as u64 + TASK_BYTES
    }

    /// What a request may cost beside its connection and its body, in bytes.
    pub(crate) fn request_bytes(&self) -> u64 {
        // Its head is a part of the read buffer that was used first; the next one comes beside it.
        self.read_buffer_bytes() as u64 + REQUEST_BYTES
    }
}

/// Memory for the connections of clients and their requests, in a process with this memory limit in bytes;
/// `None` if that is not known.
pub fn connections_bytes(memory: Option<u64>) -> Option<u64> {
    memory.map(|memory| memory / CONNECTIONS_DIVISOR)
}

/// Memory for the bodies of requests, in a process with this memory limit in bytes.
pub fn request_budget(memory: Option<u64>) -> MemoryBudget {
    let max_total = memory.map_or(DEFAULT_BODIES_BYTES, |memory| memory / REQUESTS_DIVISOR);
    MemoryBudget::new(max_total, 0)
}

/// Memory for the bodies of endpoints' responses, in a process with this memory limit in bytes.
pub fn response_budget(memory: Option<u64>) -> MemoryBudget {
    let max_total = memory.map_or(DEFAULT_BODIES_BYTES, |memory| memory / RESPONSES_DIVISOR);
    MemoryBudget::new(max_total, FREE_RESPONSE_BYTES)
}
