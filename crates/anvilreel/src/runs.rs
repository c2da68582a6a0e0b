//! The runs of one sidecar, as a state machine: the last check before work reaches the endpoint.
//!
//! [`Runs::handle`] takes an [`Event`] and returns the [`Action`]s to perform, in order; the caller
//! performs them and feeds their results back as events. A run continues when its router dies. Its
//! output is kept, so that a retry through any router attaches to it.
//!
//! Invariants, checked in release builds too: at most one live run for a key; a non-idempotent key
//! never runs twice in one incarnation of the sidecar; offsets of the output are contiguous; no
//! charge exceeds its bound; the kept output stays within its bound.

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
pub use event::{Action, EndpointCommand, EndpointEvent, Event, ReaderId, RunId};
pub use table::{Runs, RunsConfig};
