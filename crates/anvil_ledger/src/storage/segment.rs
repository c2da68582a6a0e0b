//! Segments: the files that make up the log.
//!
//! A segment begins with a header frame that repeats the hard state and the last entry before it,
//! so that older segments can be removed. It appears under its name only once its header is synced.
//! Entries replace those at their position and all after it.

use bincode::config::standard;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::error::EncodeSnafu;
use super::{Damage, FORMAT, StorageError, frame};
use crate::core::{Entry, EntryId, HardState};

const PREFIX: &str = "log-";

/// The first frame of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// [`FORMAT`].
    pub format: u16,
    /// Number of the segment; numbers are consecutive.
    pub number: u64,
    /// The last entry before the segment.
    pub base: EntryId,
    /// Term and vote when the segment was begun.
    pub hard: HardState,
}

/// Contents of every later frame of a segment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The new hard state, if it changed.
    pub hard: Option<HardState>,
    /// Entries, in order.
    pub entries: Vec<Entry>,
}

/// File name of a segment.
pub fn name(number: u64) -> String {
    format!("{PREFIX}{number:010}")
}

/// Segment number in a file name, if it names a segment.
pub fn number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// Encodes a value as the body of a frame.
pub fn encode<T: Serialize>(file: &str, value: &T) -> Result<Vec<u8>, StorageError> {
    bincode::serde::encode_to_vec(value, standard()).context(EncodeSnafu { file })
}

/// Reads a segment, passing each batch with its offset to `f`; returns the header and the end of
/// the complete frames.
pub fn read(
    file: &str,
    bytes: &[u8],
    mut f: impl FnMut(usize, Batch) -> Result<(), StorageError>,
) -> Result<(Header, usize), StorageError> {
    let mut header = None;
    let end = frame::scan(file, bytes, 0, |offset, body| {
        let unreadable = |_| StorageError::damaged(file, offset, Damage::Content);
        if header.is_none() {
            header = Some(decode_header(file, body)?);
            return Ok(());
        }
        if body.is_empty() {
            return Ok(());
        }
        let decoded = bincode::serde::decode_from_slice(body, standard());
        let (batch, _) = decoded.map_err(unreadable)?;
        f(offset, batch)
    })?;
    let header = header.ok_or_else(|| StorageError::damaged(file, 0, Damage::Header))?;
    Ok((header, end))
}

/// Reads the format version first: another version may have other fields after it.
fn decode_header(file: &str, body: &[u8]) -> Result<Header, StorageError> {
    let unreadable = |_| StorageError::damaged(file, 0, Damage::Header);
    let decoded = bincode::serde::decode_from_slice(body, standard());
    let (found, _): (u16, usize) = decoded.map_err(unreadable)?;
    if found != FORMAT {
        let file = file.into();
        return Err(StorageError::Format { file, found });
    }
    let decoded = bincode::serde::decode_from_slice(body, standard());
    let (header, _) = decoded.map_err(unreadable)?;
    Ok(header)
}
