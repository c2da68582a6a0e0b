//! One caller's request through the router, as a state machine.
//!
//! An [`Exchange`] goes: choose an endpoint, claim the key (only where a caller can come back
//! with it), reserve, dispatch, pass the answer on, settle. Feed it [`Event`]s and do its
//! [`Action`]s; it finishes exactly once, with one of three [`Outcome`]s.
//!
//! What it holds to:
//! * after a dispatch, `not_run` only on the sidecar's word that the key never ran there;
//! * a non-idempotent request is sent at most once, on a fresh claim of the ledger's majority;
//! * bytes go to the caller only when they carry this key and fit without a gap;
//! * the reservation is settled or released exactly once.

mod claiming;
mod error;
mod event;
mod exchange;
mod lingering;
mod moving;
mod paying;
mod reading;
mod spec;

pub use error::ExchangeError;
pub use event::{Action, ClaimAnswer, Dispatch, Event, Holder};
pub use exchange::Exchange;
pub use spec::{Spec, Target, generation_key};
