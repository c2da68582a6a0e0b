//! Reads bodies whole, within bounds.
//!
//! Failure: a body comes in chunks of a byte, or in frames that are parts of large read buffers. Kept as
//! they come, they take many times as much memory as their bytes. So the bytes are copied together.
//!
//! Failure: a body stops just short of its end. A deadline of its request may be far away, so a body of
//! which nothing comes for the idle time ends as well.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;
use tokio::time::timeout;

use crate::limits::LARGE_RECEIVE_BUFFER_TOTAL;
use crate::memory_budget::{HeldRoom, MemoryBudget, Room};

/// Least buffer of a body, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// A body of more bytes is received with a larger window.
const LARGE_BODY_BYTES: usize = 64 << 10;

/// Why a body was not read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It has more bytes than it may.
    #[snafu(display("the body is too long"))]
    TooLong,
    /// All bodies together hold too much, and this one gives way.
    #[snafu(display("bodies hold too much memory"))]
    NoRoom,
    /// Nothing of it came for too long.
    #[snafu(display("the body stopped before its end"))]
    Stalled,
    /// Its connection broke, or it isn't framed as HTTP.
    #[snafu(display("the body is broken"))]
    Broken,
}

/// Bounds of one body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Most bytes.
    pub max_bytes: usize,
    /// Longest time without a byte.
    pub idle_timeout: Duration,
}

/// Reads a body up to its end. If it is large and there is plenty of room, `widen` is called once to enlarge
/// the receive buffer of its socket until what it returns is dropped. The budget counts the body until the
/// last clone of the returned bytes is dropped.
pub async fn read_whole<B, W>(
    mut body: B,
    limits: BodyLimits,
    budget: &MemoryBudget,
    widen: impl FnOnce() -> W,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut room = budget.begin();
    let mut whole = BytesMut::new();
    let mut widen = Some(widen);
    let mut widened = None;
    loop {
        let frame = tokio::select! {
            biased;
            () = room.evicted() => return Err(BodyError::NoRoom),
            frame = timeout(limits.idle_timeout, body.frame()) => frame,
        };
        let Some(frame) = frame.map_err(|_| BodyError::Stalled)? else {
            break;
        };
        let frame = frame.map_err(|_| BodyError::Broken)?;
        // Trailers are no part of the body.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > limits.max_bytes {
            return Err(BodyError::TooLong);
        }
        let announced = body
            .size_hint()
            .exact()
            .and_then(|rest| usize::try_from(rest).ok());
        if !grow(
            &mut whole,
            &mut room,
            data.len(),
            announced,
            limits.max_bytes,
        )
        .await
        {
            return Err(BodyError::NoRoom);
        }
        whole.extend_from_slice(&data);
        room.record(whole.len() as u64);
        if length.saturating_add(announced.unwrap_or(0)) > LARGE_BODY_BYTES
            && widened.is_none()
            && let Some(taken) = room.try_take_beside(LARGE_RECEIVE_BUFFER_TOTAL)
            && let Some(widen) = widen.take()
        {
            widened = Some((widen(), taken));
        }
    }
    drop(widened);
    if whole.is_empty() {
        return Ok(Bytes::new());
    }
    Ok(Bytes::from_owner(HeldBody {
        bytes: whole.freeze(),
        _room: room.finish(),
    }))
}

/// Makes place for so many bytes more; false if there is no room. A body of announced length gets its buffer
/// at once, any other one a buffer that is doubled up to its limit: buffers that grow leave gaps in the heap.
async fn grow(
    whole: &mut BytesMut,
    room: &mut Room,
    more: usize,
    announced: Option<usize>,
    max_bytes: usize,
) -> bool {
    let needed = whole.len() + more;
    if needed <= whole.capacity() {
        return true;
    }
    let capacity = match announced {
        Some(rest) => needed.saturating_add(rest),
        None => (2 * whole.capacity()).max(MIN_BUFFER_BYTES).max(needed),
    };
    let capacity = capacity.min(max_bytes);
    if !room.grow(capacity as u64).await {
        return false;
    }
    whole.reserve(capacity - whole.len());
    true
}

/// A whole body with the room that it holds.
struct HeldBody {
    bytes: Bytes,
    _room: HeldRoom,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
