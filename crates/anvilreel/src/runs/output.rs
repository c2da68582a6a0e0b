//! The output of a run, as far as it is kept.

use std::collections::BTreeMap;

use anvil_world::prelude::*;
use bytes::{Bytes, BytesMut};

/// Maximum size of a frame that joins several chunks.
const FRAME_BYTES: usize = 16 << 10;

#[derive(Debug, Clone)]
struct Chunk {
    bytes: Bytes,
    /// Tokens of the answer up to the end of this chunk.
    tokens: Tokens,
}

/// Contiguous output bytes, from the first that is kept to the end.
#[derive(Debug, Clone, Default)]
pub(super) struct Output {
    start_offset: Offset,
    length: Offset,
    chunks: BTreeMap<Offset, Chunk>,
}

impl Output {
    /// Offset of the first byte that is kept.
    pub(super) fn start_offset(&self) -> Offset {
        self.start_offset
    }

    /// Length of the whole output, including dropped bytes.
    pub(super) fn length(&self) -> Offset {
        self.length
    }

    /// Number of bytes kept.
    pub(super) fn kept_bytes(&self) -> u64 {
        self.length - self.start_offset
    }

    pub(super) fn push(&mut self, bytes: Bytes, tokens: Tokens) {
        if bytes.is_empty() {
            return;
        }
        let chunk_start = self.length;
        self.length += bytes.len() as u64;
        self.chunks.insert(chunk_start, Chunk { bytes, tokens });
    }

    /// The bytes from an offset on, at most one frame, with the tokens up to their end; `None` if
    /// nothing is kept there.
    pub(super) fn read(&self, offset: Offset) -> Option<(Bytes, Tokens)> {
        if offset < self.start_offset || offset >= self.length {
            return None;
        }
        let (chunk_start, first) = self.chunks.range(..=offset).next_back()?;
        let skip = usize::try_from(offset - chunk_start).ok()?;
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

    /// Drops whole chunks that end at or before an offset.
    pub(super) fn trim(&mut self, before: Offset) {
        while let Some((chunk_start, chunk)) = self.chunks.first_key_value() {
            let end = chunk_start + chunk.bytes.len() as u64;
            if end > before {
                return;
            }
            self.start_offset = end;
            self.chunks.pop_first();
        }
    }
}
