//! What a request holds while it runs, and why a reservation can fail.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvil_world::prelude::*;

use super::OpenGrant;

/// One budget's part of a reservation.
#[derive(Debug)]
pub(super) struct ReservationPart {
    pub(super) grant: Arc<OpenGrant>,
    pub(super) tokens: Tokens,
}

/// Tokens reserved for one request, from one grant of every budget that pays.
///
/// Must be settled or released through the grant account. If it is dropped instead, its tokens stay
/// reserved: lost to the router until the grant is closed, but never spent twice.
#[derive(Debug)]
#[must_use]
pub struct Reservation {
    pub(super) number: u64,
    pub(super) split: Split,
    pub(super) bound: Tokens,
    pub(super) parts: Vec<ReservationPart>,
}

impl Reservation {
    /// The most that the request may cost, in tokens.
    pub fn bound(&self) -> Tokens {
        self.bound
    }

    /// Whether the ledger has recalled a grant that it is from.
    pub fn is_recalled(&self) -> bool {
        self.parts.iter().any(|part| part.grant.is_recalled())
    }

    /// The grant and the reserved tokens of each budget, for the sidecar.
    pub fn grants(&self) -> BTreeMap<BudgetId, (GrantId, Tokens)> {
        let entry =
            |part: &ReservationPart| (part.grant.budget.clone(), (part.grant.id, part.tokens));
        self.parts.iter().map(entry).collect()
    }
}

/// Why nothing could be reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Shortage {
    /// More tokens have been asked for: retry when the grant account changes, and refuse with
    /// `otherwise` at `until`. If it is returned several times, the first `until` counts.
    WaitFor {
        /// When waiting ends.
        until: Now,
        /// The refusal, as far as known now.
        otherwise: Refusal,
    },
    /// Waiting would not help: refuse at once.
    Refused(Refusal),
}

impl Shortage {
    /// The refusal that would be returned now.
    pub fn refusal(&self) -> &Refusal {
        match self {
            Self::WaitFor { otherwise, .. } => otherwise,
            Self::Refused(refusal) => refusal,
        }
    }
}
