//! Frames: the unit in which files are written and checked.
//!
//! ```text
//! mark 4 | length 4 | synced 8 | checksum 4 | body
//! ```
//!
//! All numbers are little-endian. The checksum covers length, synced and body. `synced` is the
//! length of the file that was synced when the frame was written.
//!
//! After a power cut the end of a file may hold any mixture of old and new bytes, and a worn disk
//! may flip a byte of what was synced long ago. Both look like a wrong checksum, but the first must
//! be cut and the second must never be. `synced` tells them apart: a later frame proves that the
//! bytes before its `synced` were acknowledged, so damage there is reported. To have such a proof
//! for the last frame too, an empty one is written after each sync.

use std::ops::Range;

use super::{Damage, StorageError};

/// First bytes of each frame; a search for later frames looks for them.
const MARK: [u8; 4] = *b"AVF1";
/// Number of bytes before the body.
const HEAD: usize = 20;

/// Appends a frame to `buf`.
pub fn append_frame(buf: &mut Vec<u8>, synced: u64, body: &[u8]) {
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&MARK);
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&synced.to_le_bytes());
    buf.extend_from_slice(&checksum(length, synced, body).to_le_bytes());
    buf.extend_from_slice(body);
}

fn checksum(length: u32, synced: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&synced.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// A frame with a matching checksum.
struct Frame {
    synced: u64,
    body: Range<usize>,
}

fn read_array<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// The frame that begins at this byte, if it is complete and its checksum matches.
fn frame_at(bytes: &[u8], start: usize) -> Option<Frame> {
    if read_array::<4>(bytes, start)? != MARK {
        return None;
    }
    let length = u32::from_le_bytes(read_array(bytes, start + 4)?);
    let synced = u64::from_le_bytes(read_array(bytes, start + 8)?);
    let expected = u32::from_le_bytes(read_array(bytes, start + 16)?);
    let first = start + HEAD;
    let body = first..first.checked_add(usize::try_from(length).ok()?)?;
    let content = bytes.get(body.clone())?;
    (checksum(length, synced, content) == expected).then_some(Frame { synced, body })
}

/// Reads all frames from `start` on, passing the offset and body of each to `f`; returns the end of
/// the complete frames. What follows is a torn tail.
pub fn scan(
    file: &str,
    bytes: &[u8],
    start: usize,
    mut f: impl FnMut(usize, &[u8]) -> Result<(), StorageError>,
) -> Result<usize, StorageError> {
    let mut position = start;
    while let Some(frame) = frame_at(bytes, position) {
        f(position, &bytes[frame.body.clone()])?;
        position = frame.body.end;
    }
    if was_synced(bytes, position) {
        return Err(StorageError::damaged(file, position, Damage::Checksum));
    }
    Ok(position)
}

/// Whether a complete frame after this byte shows that the byte was synced.
fn was_synced(bytes: &[u8], position: usize) -> bool {
    let rest = bytes.get(position + 1..).unwrap_or_default();
    let starts = rest.windows(MARK.len()).enumerate();
    let mut later_marks = starts.filter(|(_, window)| *window == MARK);
    later_marks.any(|(offset, _)| {
        let later = frame_at(bytes, position + 1 + offset);
        later.is_some_and(|frame| frame.synced > position as u64)
    })
}
