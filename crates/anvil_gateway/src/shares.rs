//! Shares of overloaded services, set by operators and learned from the ledger.
//!
//! They apply to requests that begin to wait for an endpoint; see [`crate::wait`].

use std::sync::Arc;

use anvil_world::prelude::*;
use anvilreel::event;

use crate::gateway::Gateway;
use crate::log_events as events;

impl Gateway {
    /// Applies the shares reported by the ledger.
    pub fn apply_ledger_shares(&self, reported: &Shares) {
        let previous = self.shares.load_full();
        if *previous == *reported {
            return;
        }
        self.shares.store(Arc::new(reported.clone()));
        let ended = previous.all().keys();
        let ended = ended.filter(|target| !reported.all().contains_key(*target));
        for target in reported.all().keys().chain(ended) {
            let factor = reported.factor(target);
            if factor != previous.factor(target) {
                event!(
                    self.log, events::GATEWAY_SHARE, "share" => target.to_string(),
                    "factor" => factor.get()
                );
            }
        }
    }
}
