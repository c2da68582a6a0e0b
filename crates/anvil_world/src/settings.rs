//! The TOML settings file of each process, and the parsing and validation of any settings text.
//!
//! Unknown keys, wrong types and values out of range are errors that name the file, the line, what
//! was found and what is allowed. All values out of range are reported at once.

mod check;
mod ledger;
mod router;
mod sidecar;

pub use check::{Problem, SettingsError, Validate, parse_settings};
pub use ledger::{LedgerSettings, Peer};
pub use router::{DEFAULT_MEMORY_MB, RouterSettings};
pub use sidecar::{EndpointKind, EndpointSettings, SidecarSettings};
