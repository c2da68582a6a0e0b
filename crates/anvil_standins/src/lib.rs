//! Stand-ins of the outside systems, and the load and experiment tool.
//!
//! The stand-ins exist to be served, not to be admired: small, and no more faithful than the
//! system needs. Each one has a `start(cfg)` that gives back a handle; dropping the handle is
//! like killing the process.
//!
//! ```
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! use anvil_standins::{client::Client, engine};
//!
//! let engine = engine::start(engine::Config::default()).await?;
//! let url = format!("http://{}/load", engine.addr());
//! assert!(Client::default().get(&url).await?.status.is_success());
//! # Ok::<(), anvil_standins::Error>(()) })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod client;
pub mod engine;
pub mod error;
pub mod load;
pub mod plain;
pub mod platform;
pub mod relay;
mod reply;
pub mod server;
pub mod weights;

pub use error::Error;
