//! Receipts of operators' changes, so that a resent change is not applied twice.
//!
//! An operator who sends a top-up and loses the answer sends it again; without a receipt the budget
//! would be credited twice. Receipts are kept for [`RETENTION`]. A change with an older id is
//! refused, so that an expired receipt never allows a second credit.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::{ChangeReceipt, Denial, change_id_time};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// How long a receipt is kept, counted from the time in the change's id.
const RETENTION: Duration = Duration::from_hours(7 * 24);
/// How far an operator's clock may be ahead of the ledger's.
const MAX_CLOCK_LEAD: Duration = Duration::from_hours(24);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredReceipt {
    content: u128,
    revision: Revision,
}

/// Receipts by the time in their id, then by id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Receipts {
    /// The latest time in any change so far. Leaders' clocks differ; this never falls.
    clock: SystemTime,
    kept: BTreeMap<(SystemTime, ChangeId), StoredReceipt>,
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
    /// Looks up the receipt of a change: `None` if the change is new.
    ///
    /// `content` is the whole content of the change; an id that comes back with another content is
    /// refused.
    pub(super) fn check(
        &mut self,
        id: &ChangeId,
        at: SystemTime,
        content: &[u8],
    ) -> Result<Option<ChangeReceipt>, Denial> {
        self.clock = self.clock.max(at);
        self.expire();
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

    /// Whether a change with this id was applied, with whatever content.
    pub(super) fn contains(&self, id: &ChangeId) -> bool {
        let made = change_id_time(id);
        made.is_some_and(|made| self.kept.contains_key(&(made, id.clone())))
    }

    /// Stores the receipt of an applied change.
    pub(super) fn keep(
        &mut self,
        id: &ChangeId,
        content: &[u8],
        revision: Revision,
    ) -> Result<ChangeReceipt, Denial> {
        let made = self.made_at(id)?;
        let content = xxh3_128(content);
        let kept = StoredReceipt { content, revision };
        self.kept.insert((made, id.clone()), kept);
        Ok(ChangeReceipt {
            id: id.clone(),
            revision,
            resent: false,
        })
    }

    fn made_at(&self, id: &ChangeId) -> Result<SystemTime, Denial> {
        let made = change_id_time(id).filter(|made| {
            let oldest = self.clock.checked_sub(RETENTION).unwrap_or(UNIX_EPOCH);
            (oldest..=self.clock + MAX_CLOCK_LEAD).contains(made)
        });
        made.ok_or_else(|| Denial::BadChangeId { id: id.clone() })
    }

    fn expire(&mut self) {
        let oldest = self.clock.checked_sub(RETENTION).unwrap_or(UNIX_EPOCH);
        while let Some(first) = self.kept.first_entry()
            && first.key().0 < oldest
        {
            first.remove();
        }
    }
}
