//! The shared data model of anvilreel: instances, availability zones, budgets and settings.
//!
//! All other crates of the workspace build on this one; it depends on none of them. It holds ids,
//! validated settings, the documents of the settings tree and the commands that change durable state.
//! It opens no socket and no file.
//!
//! ```
//! use anvil_world::prelude::*;
//!
//! let split = Split::try_from(vec![("mombasa".into(), 60), ("nairobi".into(), 40)])?;
//! let parts: Vec<_> = split.divide(1_001).collect();
//! assert_eq!(parts.iter().map(|(_, tokens)| tokens).sum::<Tokens>(), 1_001);
//! # Ok::<(), anvil_world::ContractError>(())
//! ```
//!
//! Modules, in a sensible reading order:
//! * [`ids`]: type aliases for ids and quantities.
//! * [`zone`], [`instance`], [`link`]: instances, their zones and the latency between zones.
//! * [`contract`]: budgets, prices, grants and how a cost is split among payers.
//! * [`outcome`]: how a request ended, and why.
//! * [`content`], [`suspect`], [`endpoint_limit`]: digests of requests and what they share, requests suspected of crashing endpoints, and the endpoints' rate limits.
//! * [`path`], [`document`] and [`tree`]: the settings tree.
//! * [`command`]: the commands of the replicated log.
//! * [`settings`]: the TOML settings file of each process.

pub mod command;
pub mod content;
pub mod contract;
pub mod document;
pub mod endpoint_limit;
pub mod ids;
pub mod instance;
pub mod link;
pub mod name;
pub mod outcome;
pub mod path;
pub mod prelude;
pub mod recorded_versions;
pub mod settings;
pub mod share;
pub mod suspect;
pub mod tree;
pub mod zone;

pub use contract::ContractError;
pub use settings::SettingsError;
