//! A sidecar's runs, as a state machine: the last gate before an endpoint.
//!
//! [`Runs::handle`] takes an [`Event`] and says what to do as [`Action`]s; the shell does it and
//! feeds back what came of it. A run goes on when its router dies; its output is kept, so that a
//! retry through any router attaches to it.
//!
//! Invariants, asserted in release too: one live run a key, a non-idempotent key never a second
//! time in this life, contiguous offsets, no charge above the bound, bytes kept within the bound.

mod admission;
mod charges;
mod engine;
mod error;
mod event;
mod output;
mod readers;
mod retention;
mod run;
mod table;

pub use charges::Charges;
pub use error::RunsError;
pub use event::{Action, EngineCommand, EngineEvent, Event, ReaderId, RunId};
pub use table::{Runs, RunsConfig};
