//! First answers to operators' changes, so that a resent change is not made twice.
//!
//! Failure: an operator sends a top-up, loses the answer and sends it again. Without a receipt
//! the budget is credited twice. Receipts are forgotten after [`KEPT`]; an id that is older than
//! that is refused, so that forgetting one never makes room for a second credit.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::{ChangeReceipt, Denial, change_made_at};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// How long a receipt is kept, by the time in the change's id.
const KEPT: Duration = Duration::from_hours(7 * 24);
/// How far an operator's clock may be ahead of the ledger's.
const AHEAD: Duration = Duration::from_hours(24);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    content: u128,
    revision: Revision,
}

/// Receipts by the time in their id, then by id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Receipts {
    /// The latest time any change came with. Leaders' clocks differ; this never falls.
    clock: SystemTime,
    kept: BTreeMap<(SystemTime, ChangeId), Kept>,
}

impl Default for Receipts {
    fn default() -> Self {
        Self {
            clock: UNIX_EPOCH,
            kept: BTreeMap::new(),
        }
    }
}

impl Receipts {
    /// Whether the change is new: `Ok(None)`; made before: `Ok` with its first receipt.
    ///
    /// `content` is everything that the change says, so that an id is not used for two things.
    pub(super) fn check(
        &mut self,
        id: &ChangeId,
        at: SystemTime,
        content: &[u8],
    ) -> Result<Option<ChangeReceipt>, Denial> {
        self.clock = self.clock.max(at);
        self.forget();
        let made = self.made_at(id)?;
        let Some(kept) = self.kept.get(&(made, id.clone())) else {
            return Ok(None);
        };
        if kept.content != xxh3_128(content) {
            return Err(Denial::ChangeIdReused { id: id.clone() });
        }
        Ok(Some(ChangeReceipt {
            id: id.clone(),
            revision: kept.revision,
            resent: true,
        }))
    }

    /// Keeps the receipt of a change that was made.
    pub(super) fn keep(
        &mut self,
        id: &ChangeId,
        content: &[u8],
        revision: Revision,
    ) -> Result<ChangeReceipt, Denial> {
        let made = self.made_at(id)?;
        let content = xxh3_128(content);
        let kept = Kept { content, revision };
        self.kept.insert((made, id.clone()), kept);
        Ok(ChangeReceipt {
            id: id.clone(),
            revision,
            resent: false,
        })
    }

    fn made_at(&self, id: &ChangeId) -> Result<SystemTime, Denial> {
        let made = change_made_at(id).filter(|made| {
            let oldest = self.clock.checked_sub(KEPT).unwrap_or(UNIX_EPOCH);
            (oldest..=self.clock + AHEAD).contains(made)
        });
        made.ok_or_else(|| Denial::BadChangeId { id: id.clone() })
    }

    fn forget(&mut self) {
        let oldest = self.clock.checked_sub(KEPT).unwrap_or(UNIX_EPOCH);
        while let Some(first) = self.kept.first_entry()
            && first.key().0 < oldest
        {
            first.remove();
        }
    }
}
