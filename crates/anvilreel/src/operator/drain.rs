//! Emptying an instance.

use anvil_world::prelude::*;

use super::change::{Applied, drain_command, wait_in_force};
use super::{Client, OperatorError};

/// Marks an instance as leaving and waits until everybody knows.
///
/// It finishes what it has; no new work reaches it once the change is in force.
pub async fn drain(
    client: &Client,
    instance: InstanceId,
    id: Option<ChangeId>,
) -> Result<Applied, OperatorError> {
    let receipt = drain_command(client, instance, id).await?;
    let spread = wait_in_force(client, receipt.revision).await?;
    Ok(Applied { receipt, spread })
}
