//! The library behind every process of the router fleet.
//!
//! Decisions are state machines without I/O ([`money`], [`claims`], [`runs`], [`request`]); the
//! shells ([`router`], [`sidecar`], [`ledger_service`], [`operator`]) feed them from sockets and
//! clocks; [`local`] runs all of them in one process.
//!
//! [`relay`] passes calls on to the ledger for those who can't reach it.
//!
//! Shared by the shells: [`ledger_client`] asks the ledger, [`announce`] tells it who lives, [`members`]
//! says who is where and [`watcher`] keeps up with it, [`held`] keeps what it spreads,
//! [`events`] numbers what is logged and [`metrics`] names what is measured.

pub mod announce;
pub mod claims;
pub mod events;
pub mod held;
pub mod ledger_client;
pub mod ledger_service;
pub mod life;
pub mod local;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod money;
pub mod operator;
pub mod peers;
pub mod relay;
pub mod request;
pub mod router;
pub mod runs;
pub mod sidecar;
pub mod watcher;
