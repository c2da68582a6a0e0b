//! The TOML file that each process starts from, and how any settings text is checked.
//!
//! A text is checked whole: unknown keys, wrong types and values out of range are all errors
//! that name the file, the line, what was found and what is allowed.

mod check;
mod ledger;
mod router;
mod sidecar;

pub use check::{Check, Problem, SettingsError, read};
pub use ledger::{LedgerSettings, Peer};
pub use router::RouterSettings;
pub use sidecar::{EndpointKind, EndpointSettings, SidecarSettings};
