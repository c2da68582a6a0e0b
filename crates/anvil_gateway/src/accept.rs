//! Clients' connections, before a request is read from them and while one is in progress.

pub mod client_socket;
