//! Serves HTTP connections within bounds, whatever their clients send.
//!
//! * [`limits`]: which part of the memory is for what.
//! * [`whole_body`]: reads bodies whole; all of them share a [`memory_budget`].

pub mod limits;
pub mod memory_budget;
pub mod whole_body;

pub use memory_budget::MemoryBudget;
pub use whole_body::{BodyError, BodyLimits, read_whole};
