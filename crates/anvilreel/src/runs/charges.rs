//! What this sidecar charged to which grant: the evidence for closing the grants of a lost router.

use std::collections::BTreeMap;

use anvil_wire::msg::{ChargeEvidence, KeyCharge, Payment};
use anvil_world::prelude::*;

type ByKey = BTreeMap<RequestKey, (u32, Tokens)>;
type ByGrant = BTreeMap<GrantId, ByKey>;

/// Charges by router, incarnation, grant and key.
///
/// An entry is needed exactly as long as its grant is open. It is kept until the router reports
/// that the grant is closed, or until the ledger has accepted the evidence of a fenced incarnation.
#[derive(Debug, Clone, Default)]
pub struct Charges {
    routers: BTreeMap<InstanceId, BTreeMap<Incarnation, ByGrant>>,
}

impl Charges {
    /// Records the charge of a run. If a key is charged again, the highest attempt counts, and
    /// within one attempt the larger charge.
    pub fn record(
        &mut self,
        payment: &Payment,
        key: &RequestKey,
        attempt: u32,
        charged: &BTreeMap<GrantId, Tokens>,
    ) {
        let incarnations = self.routers.entry(payment.router.clone()).or_default();
        let grants = incarnations.entry(payment.incarnation).or_default();
        for (grant, tokens) in charged {
            let keys = grants.entry(*grant).or_default();
            let recorded = keys.entry(key.clone()).or_default();
            *recorded = (*recorded).max((attempt, *tokens));
        }
    }

    /// Drops charges to grants that are closed: those with ids below the oldest open grant of the
    /// payment.
    pub fn forget_closed(&mut self, payment: &Payment) {
        let Some(incarnations) = self.routers.get_mut(&payment.router) else {
            return;
        };
        if let Some(grants) = incarnations.get_mut(&payment.incarnation) {
            *grants = grants.split_off(&payment.oldest);
        }
    }

    /// All charges of a router's incarnations up to this one.
    pub fn evidence(&self, router: &InstanceId, incarnation: Incarnation) -> ChargeEvidence {
        let incarnations = self.routers.get(router);
        let grants = incarnations.into_iter().flat_map(|incarnations| {
            incarnations
                .range(..=incarnation)
                .flat_map(|(_, grants)| grants)
        });
        let charges = grants.flat_map(|(grant, keys)| {
            keys.iter().map(|(key, (attempt, charged))| KeyCharge {
                grant: *grant,
                key: key.clone(),
                attempt: *attempt,
                charged: *charged,
            })
        });
        ChargeEvidence {
            router: router.clone(),
            incarnation,
            charges: charges.collect(),
        }
    }

    /// Drops the charges of a fenced router's incarnations up to this one, after the ledger has
    /// accepted their evidence.
    pub fn forget_incarnations(&mut self, router: &InstanceId, incarnation: Incarnation) {
        if let Some(incarnations) = self.routers.get_mut(router) {
            incarnations.retain(|other, _| *other > incarnation);
        }
        self.routers
            .retain(|_, incarnations| !incarnations.is_empty());
    }

    /// Number of entries, for metrics.
    pub fn len(&self) -> usize {
        let incarnations = self.routers.values().flat_map(BTreeMap::values);
        incarnations
            .flat_map(BTreeMap::values)
            .map(BTreeMap::len)
            .sum()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
