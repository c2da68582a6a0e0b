//! Splits an endpoint's stream into complete events.
//!
//! Failure: an endpoint stops in the middle of an event and another one resumes the stream. If the
//! first half had been forwarded, the client would parse parts of two runs as one event. So only
//! complete events are forwarded, and a partial one is dropped with its endpoint.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes. Anything longer is treated as a broken stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event, including the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes as the endpoint sent them.
    pub bytes: Bytes,
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
}

/// Accumulates bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the prefix in which no event ends.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Appends bytes. Returns false if the buffer is too long to be an event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// The next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.searched_bytes.saturating_sub(3);
        let Some(end) = end_of_event(&self.buf[from..]) else {
            self.searched_bytes = self.buf.len();
            return None;
        };
        self.searched_bytes = 0;
        let bytes = self.buf.split_to(from + end).freeze();
        let id = id_of(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether no partial event is left.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Position after the first empty line.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(newline) = buf[at..].iter().position(|byte| *byte == b'\n') {
        at += newline + 1;
        match &buf[at..] {
            [b'\n', ..] => return Some(at + 1),
            [b'\r', b'\n', ..] => return Some(at + 2),
            _ => {}
        }
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
