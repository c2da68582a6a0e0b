//! Opens connections to endpoints, within the descriptors that the process may use.

use std::sync::Arc;

use tokio::task::yield_now;

use crate::accept::descriptor_budget::DescriptorGuard;
use crate::accept::socket_budgets::SocketBudgets;
use crate::directory::Directory;
use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::pool::{ConnectError, Connection};

/// An idle connection to the endpoint, or a new one.
pub async fn take_connection(
    gw: &Arc<Gateway>,
    endpoint: &Arc<Endpoint>,
) -> Result<Connection, ConnectError> {
    match endpoint.pool.take() {
        Some(idle) => Ok(idle),
        None => open_connection(gw, endpoint).await,
    }
}

/// A new connection to the endpoint.
pub async fn open_connection(
    gw: &Arc<Gateway>,
    endpoint: &Arc<Endpoint>,
) -> Result<Connection, ConnectError> {
    let descriptor = descriptor(&gw.directory, &gw.sockets).await;
    let descriptor = descriptor.ok_or(ConnectError::NoDescriptor)?;
    // Weak, as the endpoint keeps its idle connections, and with them this closure.
    let (weak_gw, weak_endpoint) = (Arc::downgrade(gw), Arc::downgrade(endpoint));
    let on_early_close = move || {
        if let (Some(gw), Some(endpoint)) = (weak_gw.upgrade(), weak_endpoint.upgrade()) {
            gw.record_early_close(&endpoint);
        }
    };
    let link = gw.sockets.link.clone();
    endpoint
        .pool
        .connect(link, descriptor, on_early_close)
        .await
}

/// A descriptor for a new connection; if there is none, idle connections are closed first.
async fn descriptor(directory: &Directory, sockets: &SocketBudgets) -> Option<DescriptorGuard> {
    let descriptors = &sockets.descriptors;
    if let Some(descriptor) = descriptors.endpoint() {
        return Some(descriptor);
    }
    if directory.close_idle(descriptors.idle_to_close()) == 0 {
        return None;
    }
    // The tasks of these connections close their sockets when they run next.
    yield_now().await;
    descriptors.endpoint()
}
