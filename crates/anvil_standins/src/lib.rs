//! Stand-ins for the outside systems, and the load and experiment tool.
//!
//! Each stand-in is small and only as faithful as the tests and the load tool need. Its
//! `start(cfg)` returns a handle; dropping the handle has the effect of killing the process.
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
