//! Errors of a data folder.

use snafu::Snafu;

use super::FORMAT;

/// Kind of damage to a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Damage {
    /// Bytes that were synced no longer match their checksum.
    #[snafu(display("the checksum does not match bytes that were synced"))]
    Checksum,
    /// The header is too short, or not of this kind of file.
    #[snafu(display("the header is missing or not of this kind of file"))]
    Header,
    /// The checksum matches but the content can't be decoded.
    #[snafu(display("the content can't be decoded although its checksum matches"))]
    Content,
    /// An entry does not follow the one before it.
    #[snafu(display("an entry does not follow the one before it"))]
    Gap,
    /// A segment of the log is missing.
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
    /// The operating system refused an operation, as with a full disk, a failing sync or a missing
    /// permission.
    #[snafu(display("can't {operation} {file}: {source}"))]
    Io {
        /// The operation.
        operation: &'static str,
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A file holds damaged bytes.
    #[snafu(display("{file} is damaged at byte {offset}: {damage}"))]
    Damaged {
        /// The file.
        file: String,
        /// Position in the file, in bytes.
        offset: u64,
        /// Kind of damage.
        damage: Damage,
    },
    /// A file was written in another format version.
    #[snafu(display("unsupported format of {file}: found {found}, this build reads {FORMAT}"))]
    Format {
        /// The file.
        file: String,
        /// Its format version.
        found: u16,
    },
    /// Content can't be encoded.
    #[snafu(display("can't encode {file}: {source}"))]
    Encode {
        /// The file.
        file: String,
        /// The cause.
        source: bincode::error::EncodeError,
    },
    /// An earlier write or sync failed; the contents of the disk are unknown.
    #[snafu(display("write refused: an earlier write or sync failed"))]
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
