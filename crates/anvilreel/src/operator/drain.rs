//! Draining an instance.

use anvil_world::prelude::*;

use super::change::{CommittedChange, propose_drain, wait_everywhere};
use super::{Client, OperatorError};

/// Marks an instance as leaving and waits until the change is in force everywhere or the client's
/// timeout has passed.
///
/// The instance finishes its work in flight and receives no new work once the change is in force.
pub async fn drain(
    client: &Client,
    instance: InstanceId,
    id: Option<ChangeId>,
) -> Result<CommittedChange, OperatorError> {
    let receipt = propose_drain(client, instance, id).await?;
    wait_everywhere(client, receipt).await
}
