//! Evacuating an availability zone: the order is a document of the settings tree at `zones/NAME`.
//!
//! Every order writes a new revision, also if it changes nothing. Failure: an operator begins an
//! evacuation, gets no answer, and finishes it through another process. If finishing wrote nothing,
//! the first order, delayed by a freeze or a partition, could still be committed after it, and the
//! zone would stay evacuated. As it expects an outdated revision, it is refused.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::command::{Change, Denial, Edit, change_id};
use anvil_world::document::ZoneDocument;
use anvil_world::prelude::*;
use snafu::{ResultExt, Snafu};

use crate::ledger_client::{LedgerClient, LedgerError};
use crate::moment::Moment;

/// An order to begin or to finish the evacuation of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// The zone.
    pub zone: ZoneId,
    /// Whether it is evacuated from now on.
    pub evacuated: bool,
    /// The operator who gave the order.
    pub operator: OperatorId,
}

/// Why an order was not committed, or not for certain.
#[derive(Debug, Snafu)]
pub enum EvacuationError {
    /// The ledger did not answer. The order may be in force if a change was in flight.
    #[snafu(display("{source}"))]
    Ledger {
        /// Cause.
        source: LedgerError,
    },
    /// The ledger refused the order.
    #[snafu(display("{source}"))]
    Denied {
        /// Cause.
        source: Denial,
    },
    /// The order is too old to be committed: a newer one may have been given in the meantime.
    #[snafu(display("the order could not be committed in time"))]
    TooLate,
    /// The ledger's answer is of another kind than expected.
    #[snafu(display("an answer of the wrong kind"))]
    Unexpected,
}

/// Commits an order that was received at `received`, unless it is older than `max_age` by then.
/// Returns the revision of the zone's document.
pub async fn commit(
    ledger: &LedgerClient,
    order: &EvacuationOrder,
    received: Moment,
    max_age: Duration,
) -> Result<Revision, EvacuationError> {
    let path = TreePath::Zone(order.zone.clone());
    let document = ZoneDocument {
        evacuated: order.evacuated,
    };
    let text: Arc<str> = document.to_text().into();
    loop {
        let expected = read_revision(ledger, &path, time_left(received, max_age)?).await?;
        // Checked after the reading: this process may have been frozen since it began.
        let within = time_left(received, max_age)?;
        let now = SystemTime::now();
        let change = Change {
            id: change_id(now, &format!("zone-{:016x}", rand::random::<u64>())),
            operator: order.operator.clone(),
            path: path.clone(),
            expected,
            edit: Edit::Put(text.clone()),
            at: now,
        };
        let answer = ledger.propose(Command::Change(change), within).await;
        match answer.context(LedgerSnafu)? {
            Answer::Changed(receipt) => return Ok(receipt.revision),
            // Another order came first; this one is applied after it.
            Answer::Denied(Denial::Conflict { .. }) => {}
            Answer::Denied(source) => return Err(EvacuationError::Denied { source }),
            _ => return Err(EvacuationError::Unexpected),
        }
    }
}

fn time_left(received: Moment, max_age: Duration) -> Result<Duration, EvacuationError> {
    let left = max_age.saturating_sub(received.age());
    if left.is_zero() {
        return Err(EvacuationError::TooLate);
    }
    Ok(left)
}

async fn read_revision(
    ledger: &LedgerClient,
    path: &TreePath,
    within: Duration,
) -> Result<Revision, EvacuationError> {
    let query = Query::Tree(path.to_string().into());
    match ledger.query(query, within).await.context(LedgerSnafu)? {
        QueryAnswer::Tree(tree) => Ok(tree.get(path).map_or(0, |entry| entry.revision)),
        _ => Err(EvacuationError::Unexpected),
    }
}
