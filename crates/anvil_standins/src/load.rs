//! The load and experiment tool.

pub mod fake;
pub mod policy;
