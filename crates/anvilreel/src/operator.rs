//! The operators' client.
