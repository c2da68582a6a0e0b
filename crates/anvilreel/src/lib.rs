//! The library behind every process of the router fleet.
//!
//! Decisions are state machines without I/O ([`money`], [`claims`], [`runs`], [`request`]); the
//! shells ([`router`], [`sidecar`], [`ledger_service`], [`operator`]) feed them from sockets and
//! clocks; [`local`] runs all of them in one process.

pub mod claims;
pub mod events;
pub mod ledger_service;
pub mod local;
pub mod metrics;
pub mod money;
pub mod operator;
pub mod request;
pub mod router;
pub mod runs;
pub mod sidecar;
