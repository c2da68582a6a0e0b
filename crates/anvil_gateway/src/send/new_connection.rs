//! Opens connections to endpoints, within the descriptors that the process may use.

use tokio::task::yield_now;

use crate::accept::descriptor_budget::DescriptorGuard;
use crate::accept::socket_budgets::SocketBudgets;
use crate::directory::Directory;
use crate::endpoint::Endpoint;
use crate::pool::{ConnectError, Connection};

/// An idle connection to the endpoint, or a new one.
pub async fn take_connection(
    endpoint: &Endpoint,
    directory: &Directory,
    sockets: &SocketBudgets,
) -> Result<Connection, ConnectError> {
    match endpoint.pool.take() {
        Some(idle) => Ok(idle),
        None => open_connection(endpoint, directory, sockets).await,
    }
}

/// A new connection to the endpoint.
pub async fn open_connection(
    endpoint: &Endpoint,
    directory: &Directory,
    sockets: &SocketBudgets,
) -> Result<Connection, ConnectError> {
    let descriptor = descriptor(directory, sockets).await;
    let descriptor = descriptor.ok_or(ConnectError::NoDescriptor)?;
    endpoint
        .pool
        .connect(sockets.link.clone(), descriptor)
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
