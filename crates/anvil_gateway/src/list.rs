//! The platform's list of endpoints: which gateway reads it, and how the others receive it.
//!
//! [`discovery`] keeps the list current, with [`reader`] from the platform or from other gateways
//! ([`siblings`]), and [`cache`] holds the newest copies.

pub mod cache;
pub mod discovery;
pub mod reader;
pub mod siblings;
