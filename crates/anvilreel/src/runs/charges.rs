//! What this sidecar charged under which grant: the evidence for closing a lost router's grants.

use std::collections::BTreeMap;

use anvil_wire::msg::{ChargeEvidence, KeyCharge, Payment};
use anvil_world::prelude::*;

type ByKey = BTreeMap<RequestKey, (u32, Tokens)>;
type ByGrant = BTreeMap<GrantId, ByKey>;

/// Charges by router, life, grant and key.
///
/// Kept until the router says that a grant is closed, or until the ledger has taken the evidence
/// of a fenced life: an entry is needed exactly as long as its grant is open.
#[derive(Debug, Clone, Default)]
pub struct Charges {
    routers: BTreeMap<InstanceId, BTreeMap<Incarnation, ByGrant>>,
}

impl Charges {
    /// Notes a run's charge. Noted again, the highest attempt counts, and of one attempt the
    /// larger charge.
    pub fn note(
        &mut self,
        payment: &Payment,
        key: &RequestKey,
        attempt: u32,
        charged: &BTreeMap<GrantId, Tokens>,
    ) {
        let lives = self.routers.entry(payment.router.clone()).or_default();
        let grants = lives.entry(payment.incarnation).or_default();
        for (grant, tokens) in charged {
            let keys = grants.entry(*grant).or_default();
            let known = keys.entry(key.clone()).or_default();
            *known = (*known).max((attempt, *tokens));
        }
    }

    /// Forgets what was charged under grants that are closed for good.
    pub fn forget_closed(&mut self, payment: &Payment) {
        let Some(lives) = self.routers.get_mut(&payment.router) else {
            return;
        };
        if let Some(grants) = lives.get_mut(&payment.incarnation) {
            *grants = grants.split_off(&payment.oldest);
        }
    }

    /// All that was charged under a router's lives up to this one.
    pub fn evidence(&self, router: &InstanceId, incarnation: Incarnation) -> ChargeEvidence {
        let lives = self.routers.get(router);
        let grants = lives
            .into_iter()
            .flat_map(|lives| lives.range(..=incarnation).flat_map(|(_, grants)| grants));
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

    /// Forgets a fenced router's lives after the ledger has taken their evidence.
    pub fn taken(&mut self, router: &InstanceId, incarnation: Incarnation) {
        if let Some(lives) = self.routers.get_mut(router) {
            lives.retain(|life, _| *life > incarnation);
        }
        self.routers.retain(|_, lives| !lives.is_empty());
    }

    /// Entries held, for metrics.
    pub fn len(&self) -> usize {
        let lives = self.routers.values().flat_map(BTreeMap::values);
        lives.flat_map(BTreeMap::values).map(BTreeMap::len).sum()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
