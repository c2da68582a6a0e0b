//! A small fake of how a model runner answers load, in virtual time.
//!
//! It knows continuous batching (prefill in chunks between decode steps), a waiting queue by
//! priority, a prefix cache of limited memory and two faults: being slow and failing fast. It
//! knows nothing of networks, money or the other endpoints.

pub mod cache;
pub mod engine;

pub use cache::PrefixCache;
pub use engine::{FakeEngine, FakeRun, Fault, Stepped};
