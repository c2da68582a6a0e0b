//! A simulated model engine in virtual time.
//!
//! It models continuous batching (prefill in chunks between decode steps), a queue by priority,
//! a prefix cache of limited memory and faults. It does not model networks, budgets or other
//! endpoints.

pub mod cache;
pub mod engine;

pub use cache::PrefixCache;
pub use engine::{FakeEngine, FakeRun, Fault, StepResult};
