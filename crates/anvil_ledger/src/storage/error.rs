//! What can go wrong with a data folder.

use snafu::Snafu;

use super::FORMAT;

/// What is wrong with a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Damage {
    /// Bytes that were synced no longer have their checksum.
    #[snafu(display("the checksum does not fit bytes that were synced"))]
    Checksum,
    /// The header is too short, or not one of ours.
    #[snafu(display("the header is missing or not of this kind of file"))]
    Header,
    /// The content is not what its checksum promises to be.
    #[snafu(display("the content can't be read although its checksum fits"))]
    Content,
    /// An entry that does not follow the one before it.
    #[snafu(display("an entry does not follow the one before it"))]
    Gap,
    /// A segment of the log is not there.
    #[snafu(display("a segment before this one is missing"))]
    MissingSegment,
    /// The log begins after the snapshot's end.
    #[snafu(display("the log begins after the snapshot ends"))]
    MissingSnapshot,
}

/// A failed operation on a data folder. Each one stops the replica.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The operating system refused an operation: disk full, failing sync, no permission.
    #[snafu(display("{operation} {file}: {source}"))]
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file.
        file: String,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The folder holds damaged bytes.
    #[snafu(display("{file} is damaged at byte {offset}: {damage}"))]
    Damaged {
        /// Which file.
        file: String,
        /// Where in it.
        offset: u64,
        /// What is wrong.
        damage: Damage,
    },
    /// Written by another version.
    #[snafu(display("{file} has format {found}; this build reads {FORMAT}"))]
    Format {
        /// Which file.
        file: String,
        /// Its version.
        found: u16,
    },
    /// Content that can't be written.
    #[snafu(display("{file} can't be encoded: {source}"))]
    Encode {
        /// Which file.
        file: String,
        /// Why.
        source: bincode::error::EncodeError,
    },
    /// An earlier write or sync failed; what the disk holds is not known.
    #[snafu(display("nothing is written after an earlier failure"))]
    Failed,
}

impl StorageError {
    pub(crate) fn damaged(file: &str, offset: usize, damage: Damage) -> Self {
        Self::Damaged {
            file: file.into(),
            offset: offset as u64,
            damage,
        }
    }
}
