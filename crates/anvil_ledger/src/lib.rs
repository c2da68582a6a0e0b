//! The ledger: durable, replicated state that survives what the brief says fails.
//!
//! * [`core`]: election, replication and membership of replicas, without I/O.
//! * [`storage`]: log and snapshots under one data folder.
//! * [`state`]: what the committed commands make: tree, budgets, claims, fences, members, audit.
//! * [`machine`]: the state together with the [`lives`] of sidecars; what a snapshot holds.
//! * [`inspect`]: reads a data folder offline.

pub mod core;
pub mod inspect;
pub mod lives;
pub mod machine;
pub mod state;
pub mod storage;
