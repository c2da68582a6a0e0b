//! What a request holds while it runs, and what it is told when there is nothing to hold.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvil_world::prelude::*;

use super::OpenGrant;

/// One payer's part of a reservation.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) grant: Arc<OpenGrant>,
    pub(super) tokens: Tokens,
}

/// Tokens set aside for one request, out of one grant of every payer.
///
/// Give it back through `Purse::settle` or `Purse::release`. One that is dropped instead keeps
/// its tokens reserved: lost to the router until the grant is closed, never spent twice.
#[derive(Debug)]
#[must_use]
pub struct Reservation {
    pub(super) number: u64,
    pub(super) split: Split,
    pub(super) bound: Tokens,
    pub(super) parts: Vec<Part>,
}

impl Reservation {
    /// The most that the request may cost, in tokens.
    pub fn bound(&self) -> Tokens {
        self.bound
    }

    /// Which grant pays each budget's part, and the reserved tokens: what a sidecar is told.
    pub fn grants(&self) -> BTreeMap<BudgetId, (GrantId, Tokens)> {
        let entry = |part: &Part| (part.grant.budget.clone(), (part.grant.id, part.tokens));
        self.parts.iter().map(entry).collect()
    }
}

/// Why nothing could be reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Shortage {
    /// More was asked for: try again when [`super::Purse::changed`] tells, and refuse with
    /// `otherwise` when `until` has come. Of several, the first one's `until` counts.
    WaitFor {
        /// The end of the wait.
        until: Now,
        /// The truth as it is known now.
        otherwise: Refusal,
    },
    /// Waiting would not help: refuse at once.
    Refused(Refusal),
}

impl Shortage {
    /// The refusal that would be given now.
    pub fn refusal(&self) -> &Refusal {
        match self {
            Self::WaitFor { otherwise, .. } => otherwise,
            Self::Refused(refusal) => refusal,
        }
    }
}
