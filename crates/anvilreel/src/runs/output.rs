//! A run's kept output.

use std::collections::BTreeMap;

use anvil_world::prelude::*;
use bytes::{Bytes, BytesMut};

/// Most bytes given to a reader at once.
const FRAME_BYTES: usize = 16 << 10;

#[derive(Debug, Clone)]
struct Chunk {
    bytes: Bytes,
    /// Tokens of the answer up to this chunk's end.
    tokens: Tokens,
}

/// Output bytes from some offset to the end, contiguous.
#[derive(Debug, Clone, Default)]
pub(super) struct Output {
    start: Offset,
    length: Offset,
    chunks: BTreeMap<Offset, Chunk>,
}

impl Output {
    /// The first byte still kept.
    pub(super) fn start(&self) -> Offset {
        self.start
    }

    /// Bytes of output in all.
    pub(super) fn length(&self) -> Offset {
        self.length
    }

    /// Bytes kept.
    pub(super) fn kept(&self) -> u64 {
        self.length - self.start
    }

    pub(super) fn push(&mut self, bytes: Bytes, tokens: Tokens) {
        if bytes.is_empty() {
            return;
        }
        let at = self.length;
        self.length += bytes.len() as u64;
        self.chunks.insert(at, Chunk { bytes, tokens });
    }

    /// The bytes at an offset, with the tokens up to their end; `None` where nothing is kept.
    pub(super) fn read(&self, offset: Offset) -> Option<(Bytes, Tokens)> {
        if offset < self.start || offset >= self.length {
            return None;
        }
        let (at, first) = self.chunks.range(..=offset).next_back()?;
        let skip = usize::try_from(offset - at).ok()?;
        let bytes = first.bytes.slice(skip..);
        let mut rest = self.chunks.range(offset + 1..).peekable();
        if rest.peek().is_none() || bytes.len() >= FRAME_BYTES {
            return Some((bytes, first.tokens));
        }
        let mut buf = BytesMut::from(&bytes[..]);
        let mut tokens = first.tokens;
        for (_, chunk) in rest {
            if buf.len() + chunk.bytes.len() > FRAME_BYTES {
                break;
            }
            buf.extend_from_slice(&chunk.bytes);
            tokens = chunk.tokens;
        }
        Some((buf.freeze(), tokens))
    }

    /// Forgets whole chunks before an offset.
    pub(super) fn trim(&mut self, before: Offset) {
        while let Some((at, chunk)) = self.chunks.first_key_value() {
            let end = at + chunk.bytes.len() as u64;
            if end > before {
                return;
            }
            self.start = end;
            self.chunks.pop_first();
        }
    }
}
