//! Gateways under more load than their machine can carry. In a process of its own, as this load
//! would delay the tests of `direct`.

#[path = "../direct/client.rs"]
#[expect(dead_code, reason = "shared with `direct`")]
mod client;
#[path = "../direct/dialect.rs"]
mod dialect;
#[path = "../direct/endpoint.rs"]
#[expect(dead_code, reason = "shared with `direct`")]
mod endpoint;
mod few_descriptors;
#[path = "../direct/gateway.rs"]
#[expect(dead_code, reason = "shared with `direct`")]
mod gateway;
mod narrow_links;
mod slow_link;

/// Held by tests that load the machine: side by side they would delay each other.
static LOADED_MACHINE: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
