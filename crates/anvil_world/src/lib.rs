//! The world that anvilreel works in: instances, availability zones, links and contracts.
//!
//! This is the lowest crate of the house. It holds ids, checked settings, the settings tree's
//! documents and the commands that change durable state. It opens no socket and no file, and
//! knows nothing of the crates above it.
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
//! Read on in this order:
//! * [`ids`]: the type aliases everything else is written in.
//! * [`zone`], [`instance`], [`link`]: machines and where they stand.
//! * [`contract`]: budgets, prices, grants and how a cost is split.
//! * [`outcome`]: what a caller is told, and why.
//! * [`suspect`], [`endpoint_limit`]: requests under which endpoints crashed, and what endpoints take.
//! * [`path`], [`document`] and [`tree`]: the settings tree.
//! * [`command`]: what the replicated log holds.
//! * [`settings`]: the TOML file of each process.

pub mod command;
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
pub mod settings;
pub mod suspect;
pub mod tree;
pub mod zone;

pub use contract::ContractError;
pub use settings::SettingsError;
