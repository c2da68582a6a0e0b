//! Evacuating an availability zone.

use anvil_world::prelude::*;

use super::change::wait_in_force;
use super::{Client, OperatorError, RolloutReport};
use crate::evacuation::{self, EvacuationError, EvacuationOrder};
use crate::ledger_client::LedgerError;
use crate::moment::Moment;

/// Begins or finishes the evacuation of a zone, then waits until the order is in force everywhere
/// or the client's timeout has passed.
///
/// Requests that run in the zone are finished; new ones go elsewhere once the order is in force.
pub async fn evacuate(
    client: &Client,
    zone: ZoneId,
    evacuated: bool,
) -> Result<RolloutReport, OperatorError> {
    let order = EvacuationOrder {
        zone,
        evacuated,
        operator: client.operator().clone(),
    };
    let committed =
        evacuation::commit(client.ledger(), &order, Moment::now(), client.timeout()).await;
    let revision = committed.map_err(|e| operator_error(client, e))?;
    wait_in_force(client, revision).await
}

fn operator_error(client: &Client, e: EvacuationError) -> OperatorError {
    match e {
        EvacuationError::TooLate
        | EvacuationError::Ledger {
            source: LedgerError::Unreachable,
        } => client.not_done(),
        EvacuationError::Ledger {
            source: LedgerError::InDoubt,
        } => OperatorError::EvacuationUnknown,
        EvacuationError::Denied { source } => OperatorError::Denied { source },
        EvacuationError::Unexpected
        | EvacuationError::Ledger {
            source: LedgerError::UnexpectedAnswer,
        } => OperatorError::Unexpected,
    }
}
