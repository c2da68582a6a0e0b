//! The data folder of a replica: log, snapshot and identity.
//!
//! | file | contents |
//! |---|---|
//! | `identity` | the random identifier of the disk |
//! | `log-NNNNNNNNNN` | a segment of the log: a header, then checksummed frames |
//! | `snapshot` | the newest snapshot, replaced as a whole |
//! | `lock` | empty; locked while a process uses the folder |
//!
//! A write is acknowledged only after it is synced. Recovery cuts a torn tail; damage in bytes that
//! were synced is reported and never skipped. After a failed write or sync nothing more is written,
//! because the contents of the disk are unknown.
//!
//! * [`disk`]: the operations that a folder offers, so that tests can make each one fail.
//! * [`store`]: [`Storage`], which writes the log. [`writer`]: the thread that runs it.
//! * [`frame`], [`segment`], [`snapshot`]: the file formats. [`recover`]: reading them back.
//! * [`fault_injection`]: fault injection for whole processes.

pub mod disk;
mod error;
pub mod fault_injection;
pub mod frame;
pub mod recover;
pub mod segment;
pub mod snapshot;
pub mod store;
pub mod writer;

pub use disk::{Disk, Op, OpOutput};
pub use error::{Damage, StorageError};
pub use recover::Recovered;
pub use store::Storage;
pub use writer::{Job, Report, Writer};

/// Version of all file formats of the data folder.
pub const FORMAT: u16 = 1;
