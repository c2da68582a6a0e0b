//! The ledger: durable, replicated state that survives crashes, lost disks and network partitions.
//!
//! ```
//! use std::time::Duration;
//!
//! use anvil_ledger::core::{Action, CoreSettings, Event, Membership, Replica, Restored, Site};
//!
//! // A replica on an empty disk founds a ledger of its own.
//! let restored = Restored { id: 7, ..Restored::default() };
//! let mut replica = Replica::new(restored, CoreSettings::default(), 1, Duration::ZERO);
//! let site = Site { instance: "ledger-1".into(), addr: ([127, 0, 0, 1], 8788).into() };
//! let membership = Membership { ledger: 1, voters: [(7, site)].into(), ..Membership::default() };
//! let actions = replica.handle(Duration::ZERO, Event::Found(membership));
//!
//! // It leads only once its vote for itself is synced.
//! let Some(Action::Write(write)) = actions.first() else { panic!("nothing to write") };
//! assert!(!replica.leads());
//! replica.handle(Duration::ZERO, Event::Synced(write.seq));
//! assert!(replica.leads());
//! ```
//!
//! * [`core`]: election, replication and membership of replicas, without I/O.
//! * [`storage`]: log and snapshots in one data folder.
//! * [`state`]: the state machine of committed commands: settings tree, budgets, claims, fences,
//!   members, audit trail.
//! * [`machine`]: the state together with the lost incarnations of sidecars ([`lost_incarnations`]), the
//!   [`suspects`] and the [`limits`]; all of it is in a snapshot.
//! * [`inspect`]: reads a data folder offline.

pub mod core;
pub mod crashed_endpoints;
pub mod inspect;
pub mod limits;
pub mod lost_incarnations;
pub mod machine;
pub mod state;
pub mod storage;
pub mod stream_origins;
pub mod suspects;
