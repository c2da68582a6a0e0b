//! Cuts an endpoint's stream into whole events.
//!
//! Failure: an endpoint stops in the middle of an event, and another one continues the stream.
//! Had the first half been passed on, the client would read pieces of two runs as one event. So
//! only whole events leave here, and what is left of a half one is dropped with its endpoint.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes. One that is longer is no event.
const LONGEST: usize = 1 << 20;

/// One whole event, with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// As the endpoint sent it.
    pub bytes: Bytes,
    /// Its number, where it has one.
    pub id: Option<u64>,
}

/// Takes bytes as they come and gives back whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Bytes at the beginning in which no event ends.
    searched: usize,
}

impl Splitter {
    /// Takes in bytes. False when what has gathered is too long to be an event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= LONGEST
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = end_of_event(&self.buf[from..]) else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buf.split_to(from + end).freeze();
        let id = id_of(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether no part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Position behind the first empty line.
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
