//! The library behind every process of the router fleet.
//!
//! Decisions are state machines without I/O ([`money`], [`claims`], [`runs`], [`request`]). The
//! processes around them ([`router`], [`sidecar`], [`ledger_service`], [`operator`]) do the I/O
//! and supply the time; [`local`] runs all of them in one process. [`relay`] forwards calls to
//! the ledger for processes that can't reach it themselves.
//!
//! Shared by the processes:
//! - [`ledger_client`] sends requests to the ledger and [`announce`] sends it heartbeats.
//! - [`ledger_view`] is a process's copy of the ledger's state; [`members`] looks up addresses in
//!   it, and [`watcher`] keeps a client's list of ledger replicas up to date.
//! - [`channel_cache`] holds the channels to other processes, and [`lifecycle`] a process's
//!   incarnation, clock and planned stop; [`moment`] measures ages across a suspension.
//! - [`retry_after`] parses when an endpoint wants the next request.
//! - [`evacuation`] commits operators' orders for availability zones.
//! - [`events`] lists the log events, [`logs`] writes them, and [`metrics`] lists and sends the
//!   metrics.

pub mod announce;
pub mod channel_cache;
pub mod claims;
pub mod evacuation;
pub mod events;
pub mod json_items;
pub mod ledger_client;
pub mod ledger_service;
pub mod ledger_view;
pub mod lifecycle;
pub mod local;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod moment;
pub mod money;
pub mod operator;
pub mod relay;
pub mod request;
pub mod retry_after;
pub mod router;
pub mod runs;
pub mod sidecar;
pub mod watcher;
