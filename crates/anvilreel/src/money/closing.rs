//! How the ledger closes the grants of a lost router: by evidence, never by a time-out.

use std::collections::{BTreeMap, BTreeSet};

use anvil_wire::msg::{Evidence, KeyCharge};
use anvil_world::prelude::*;

/// Which life of a sidecar.
pub type SidecarLife = (InstanceId, Incarnation);

/// Collects what the sidecars charged under one fenced router's grants.
///
/// Every life of a sidecar that could have run something for the router must have answered. A
/// life that ended without an answer keeps the grants outstanding until an operator writes them
/// off: late money, never double money.
#[derive(Debug, Clone, Default)]
pub struct Closing {
    waiting: BTreeSet<SidecarLife>,
    charges: BTreeMap<GrantId, BTreeMap<RequestKey, (u32, Tokens)>>,
}

impl Closing {
    /// Waits for these lives of sidecars: all that lived at any time since the router's oldest
    /// open grant.
    pub fn new(sidecars: impl IntoIterator<Item = SidecarLife>) -> Self {
        Self {
            waiting: sidecars.into_iter().collect(),
            charges: BTreeMap::new(),
        }
    }

    /// Takes one sidecar's evidence; doubled evidence changes nothing.
    pub fn take(&mut self, sidecar: &SidecarLife, evidence: &Evidence) {
        if !self.waiting.remove(sidecar) {
            return;
        }
        for charge in &evidence.charges {
            self.count(charge);
        }
    }

    /// Sidecar lives that have not answered.
    pub fn waiting(&self) -> &BTreeSet<SidecarLife> {
        &self.waiting
    }

    /// What was charged under a grant, in tokens; `None` while a sidecar has not answered.
    pub fn charged(&self, grant: GrantId) -> Option<Tokens> {
        if !self.waiting.is_empty() {
            return None;
        }
        let keys = self.charges.get(&grant);
        let sum = keys.map(|keys| keys.values().map(|(_, tokens)| tokens).sum());
        Some(sum.unwrap_or_default())
    }

    /// Charges under a grant, each key once.
    pub fn keys(&self, grant: GrantId) -> impl Iterator<Item = (RequestKey, Tokens)> + '_ {
        let keys = self.charges.get(&grant).into_iter().flatten();
        keys.map(|(key, (_, tokens))| (key.clone(), *tokens))
    }

    /// Counts a key once. Failure: a sidecar that was only cut off finished a run that had been
    /// continued elsewhere; both charged the same reservation. It would show as one request
    /// billed twice. The highest attempt is the one whose answer the caller got.
    fn count(&mut self, charge: &KeyCharge) {
        let keys = self.charges.entry(charge.grant).or_default();
        let known = keys.entry(charge.key.clone()).or_default();
        *known = (*known).max((charge.attempt, charge.charged));
    }
}
