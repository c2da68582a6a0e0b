//! Segments: the files that make up the log.
//!
//! A segment begins with a header frame that repeats the hard state and the last entry before
//! it, so that older segments can be removed. It appears under its name only when its header is
//! synced. Entries replace whatever stands at their position and after it.

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
    /// Its number; segments follow each other without a gap.
    pub number: u64,
    /// The last entry before it.
    pub base: EntryId,
    /// Term and vote when it was begun.
    pub hard: HardState,
}

/// Every later frame of a segment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The new hard state, when it changed.
    pub hard: Option<HardState>,
    /// Entries, in order.
    pub entries: Vec<Entry>,
}

/// A segment's file name.
pub fn name(number: u64) -> String {
    format!("{PREFIX}{number:010}")
}

/// The number in a file name.
pub fn number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// The bytes of a value, for the body of a frame.
pub fn encode<T: Serialize>(file: &str, value: &T) -> Result<Vec<u8>, StorageError> {
    bincode::serde::encode_to_vec(value, standard()).context(EncodeSnafu { file })
}

/// Reads a segment: its header, its batches with their places, and where they end.
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

/// Reads the format first: another version may have other fields after it.
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
