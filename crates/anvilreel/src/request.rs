//! One caller's request through the router, as a state machine without I/O.
//!
//! An [`Exchange`] chooses an endpoint, claims the key (only if the caller may retry with it),
//! reserves tokens, dispatches, passes the answer on, and settles. It is fed with [`Event`]s and
//! returns [`Action`]s to perform. It finishes exactly once, with one of three [`Outcome`]s.
//!
//! Invariants:
//! * after a dispatch, the outcome is `NotRun` only if the sidecar confirms that the key never ran
//!   there;
//! * a non-idempotent request is sent at most once, on a fresh claim committed by the ledger's
//!   majority;
//! * bytes are passed on to the caller only if they carry this key and continue without a gap;
//! * the reservation is settled or released exactly once.
//!
//! [`Outcome`]: anvil_world::prelude::Outcome

mod claiming;
mod error;
mod event;
mod exchange;
mod failover;
mod late_charge;
mod reading;
mod reserving;
mod spec;

pub use error::ExchangeError;
pub use event::{Action, ClaimAnswer, Dispatch, Event, Holder};
pub use exchange::Exchange;
pub use spec::{RequestSpec, Target, generation_key};
