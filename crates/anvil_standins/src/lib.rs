//! Stand-ins of the outside systems, and the load and experiment tool.
//!
//! The stand-ins exist to be served, not to be admired: small, and no more faithful than the
//! system needs.

pub mod engine;
pub mod load;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod weights;
