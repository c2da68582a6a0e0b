//! How the ledger closes the grants of a lost router: by the sidecars' evidence, never by a
//! timeout.

use std::collections::{BTreeMap, BTreeSet};

use anvil_wire::msg::{ChargeEvidence, KeyCharge};
use anvil_world::prelude::*;

/// One incarnation of a sidecar.
pub type SidecarIncarnation = (InstanceId, Incarnation);

/// Collects what the sidecars charged to one fenced router's grants.
///
/// Every sidecar incarnation that could have run something for the router must have answered. If
/// one ended without an answer, the grants stay outstanding until an operator writes them off:
/// tokens are returned late rather than spent twice.
#[derive(Debug, Clone, Default)]
pub struct GrantClosing {
    pending: BTreeSet<SidecarIncarnation>,
    charges: BTreeMap<GrantId, BTreeMap<RequestKey, (u32, Tokens)>>,
}

impl GrantClosing {
    /// Expects answers from these sidecar incarnations: all that existed at any time since the
    /// router's oldest open grant was opened.
    pub fn new(sidecars: impl IntoIterator<Item = SidecarIncarnation>) -> Self {
        Self {
            pending: sidecars.into_iter().collect(),
            charges: BTreeMap::new(),
        }
    }

    /// Records one sidecar's evidence; duplicate evidence has no effect.
    pub fn record_evidence(&mut self, sidecar: &SidecarIncarnation, evidence: &ChargeEvidence) {
        if !self.pending.remove(sidecar) {
            return;
        }
        for charge in &evidence.charges {
            self.count(charge);
        }
    }

    /// Sidecar incarnations that have not answered.
    pub fn pending_sidecars(&self) -> &BTreeSet<SidecarIncarnation> {
        &self.pending
    }

    /// Tokens charged to a grant; `None` while a sidecar has not answered.
    pub fn charged(&self, grant: GrantId) -> Option<Tokens> {
        if !self.pending.is_empty() {
            return None;
        }
        let keys = self.charges.get(&grant);
        let sum = keys.map(|keys| keys.values().map(|(_, tokens)| tokens).sum());
        Some(sum.unwrap_or_default())
    }

    /// Charges to a grant by key, each key once.
    pub fn charges_by_key(
        &self,
        grant: GrantId,
    ) -> impl Iterator<Item = (RequestKey, Tokens)> + '_ {
        let keys = self.charges.get(&grant).into_iter().flatten();
        keys.map(|(key, (_, tokens))| (key.clone(), *tokens))
    }

    /// Counts a key once, with the charge of its highest attempt, whose answer the caller got.
    ///
    /// If a sidecar that was only cut off finishes a run that has been continued elsewhere, both
    /// charge the same reservation, and the sum would charge one request twice.
    fn count(&mut self, charge: &KeyCharge) {
        let keys = self.charges.entry(charge.grant).or_default();
        let known = keys.entry(charge.key.clone()).or_default();
        *known = (*known).max((charge.attempt, charge.charged));
    }
}
