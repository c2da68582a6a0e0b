//! Reads bodies whole, within bounds: endpoints in trouble and clients may send bytes without end.
//!
//! Failure: a body comes in chunks of a byte. Kept as they come, they take thirty times as much memory as
//! their bytes. So the bytes are copied together.
//!
//! Failure: some endpoints send bodies without end to many requests. Each body is within its own bound,
//! and all of them together exceed the memory of the process. So what large bodies hold together is
//! bounded too, and one that finds no room is given up; small ones need none.

use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;

/// Bytes of each body that need no room in the [`BodyBudget`].
const SMALL_BODY_BYTES: usize = 256 << 10;
/// Part of the memory limit that large bodies may take together, as a divisor.
const MEMORY_DIVISOR: u64 = 4;
/// The same if the memory limit is not known, in bytes.
const DEFAULT_TOTAL_BYTES: u64 = 64 << 20;

/// Why a body was not read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It has more bytes than it may.
    #[snafu(display("the body is too long"))]
    TooLong,
    /// All large bodies together hold too much.
    #[snafu(display("large bodies hold too much memory"))]
    NoRoom,
    /// Its connection broke, or it isn't framed as HTTP.
    #[snafu(display("the body is broken"))]
    Broken,
}

/// What large bodies hold together.
#[derive(Debug)]
pub struct BodyBudget {
    max_total: u64,
    total: AtomicU64,
}

impl BodyBudget {
    /// Nothing held yet, in a process with this memory limit in bytes.
    pub fn new(memory: Option<u64>) -> Self {
        Self {
            max_total: memory.map_or(DEFAULT_TOTAL_BYTES, |memory| memory / MEMORY_DIVISOR),
            total: AtomicU64::new(0),
        }
    }

    /// Bytes that large bodies hold.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// Takes room for so many bytes more; false if there is none.
    fn take(&self, bytes: u64) -> bool {
        let before = self.total.fetch_add(bytes, Ordering::Relaxed);
        let has_room = before.saturating_add(bytes) <= self.max_total;
        if !has_room {
            self.total.fetch_sub(bytes, Ordering::Relaxed);
        }
        has_room
    }
}

/// The room that one body has taken; returned on drop.
struct Room<'a> {
    budget: &'a BodyBudget,
    taken: u64,
}

impl Room<'_> {
    /// Whether there is room for a body of so many bytes.
    fn grow(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_sub(SMALL_BODY_BYTES) as u64;
        let more = needed.saturating_sub(self.taken);
        let has_room = more == 0 || self.budget.take(more);
        if has_room {
            self.taken += more;
        }
        has_room
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.budget.total.fetch_sub(self.taken, Ordering::Relaxed);
    }
}

/// Reads a body of at most `max_bytes` up to its end.
pub async fn read_whole<B>(
    mut body: B,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut room = Room { budget, taken: 0 };
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        // Trailers are no part of the body.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = first.len() + whole.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        if !room.grow(length) {
            return Err(BodyError::NoRoom);
        }
        if first.is_empty() && whole.is_empty() {
            first = data;
            continue;
        }
        whole.extend_from_slice(&std::mem::take(&mut first));
        whole.extend_from_slice(&data);
    }
    Ok(if first.is_empty() {
        whole.freeze()
    } else {
        first
    })
}
