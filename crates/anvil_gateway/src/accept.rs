//! Clients' connections, before a request is read from them and while one is in progress.

pub mod client_listener;
pub mod client_socket;
pub mod descriptor_budget;
pub mod intake_status;
pub mod link_probe;
pub mod resource_limits;
pub mod socket_budgets;
