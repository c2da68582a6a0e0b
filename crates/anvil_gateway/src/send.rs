//! Sending requests to endpoints: when the link has room, and on which connection.

pub mod link_budget;
pub mod new_connection;
pub mod pacing;
