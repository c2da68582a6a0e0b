//! Which part of the memory is for what.

use crate::memory_budget::MemoryBudget;

/// Size that is set for the receive buffer of a socket, in bytes. The kernel doubles it, for its own
/// structures.
pub const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;
/// The same while a large body is received: the window of a connection limits its speed.
pub const LARGE_RECEIVE_BUFFER_BYTES: u32 = 128 << 10;
/// Bytes that the kernel may hold unread of a connection, as a multiple of the size that is set.
const KERNEL_BUFFER_FACTOR: u64 = 2;
/// What a large receive buffer may hold, in bytes.
pub(crate) const LARGE_RECEIVE_BUFFER_TOTAL: u64 =
    LARGE_RECEIVE_BUFFER_BYTES as u64 * KERNEL_BUFFER_FACTOR;
/// Part of the memory limit that the bodies of requests may take together, as a divisor.
const REQUESTS_DIVISOR: u64 = 4;
/// Part of it that large bodies of responses may take together, as a divisor.
const RESPONSES_DIVISOR: u64 = 8;
/// The same parts if the memory limit is not known, in bytes.
const DEFAULT_BODIES_BYTES: u64 = 64 << 20;
/// Bytes of each response that need no room: it has run, so it is given up last.
const FREE_RESPONSE_BYTES: u64 = 256 << 10;

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
