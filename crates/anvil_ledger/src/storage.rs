//! The data folder of a replica: log, snapshot and identity.
//!
//! | file | what it holds |
//! |---|---|
//! | `identity` | the disk's random number |
//! | `log-NNNNNNNNNN` | a segment of the log: a header, then checksummed frames |
//! | `snapshot` | the newest snapshot, replaced as a whole |
//! | `lock` | nothing; held while a process uses the folder |
//!
//! A frame is acknowledged only after it is synced. At recovery a torn tail is cut; damage in
//! what was synced is reported and never skipped over. After a failed write or sync nothing more
//! is written, because nobody can say what the disk holds.
//!
//! * [`disk`]: the few operations a folder must offer, so that tests can make each one fail.
//! * [`store`]: [`Storage`], what a replica writes. [`writer`]: the thread that does it.
//! * [`frame`], [`segment`], [`snapshot`]: the formats. [`recover`]: reading them back.

pub mod disk;
mod error;
pub mod frame;
pub mod harm;
pub mod recover;
pub mod segment;
pub mod snapshot;
pub mod store;
pub mod writer;

pub use disk::{Disk, Done, Op};
pub use error::{Damage, StorageError};
pub use recover::Recovered;
pub use store::Storage;
pub use writer::{Job, Report, Writer};

/// Version of all formats of the data folder.
pub const FORMAT: u16 = 1;
