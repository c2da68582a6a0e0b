//! The leader's checks of orders that set shares.

use std::time::{SystemTime, UNIX_EPOCH};

use anvil_wire::msg::LedgerReply;
use anvil_world::command::{Denial, EntityKind, SetShare, change_id};
use anvil_world::prelude::*;

use super::ReplicaTask;
use crate::event;
use crate::ledger_service::events;

/// Maximum number of shares. Every event for routers has all of them: with names of 60 bytes, 16
/// KB.
const MAX_SHARES: usize = 256;
/// Operator in the audit trail of shares that the ledger drops.
const LEDGER_OPERATOR: &str = "ledger";

impl ReplicaTask {
    /// Answers an order for a name that is not in the configuration, or for one share too many. A
    /// replica that does not lead has no answer: it appends nothing, and may not know the newest
    /// configuration.
    pub(super) fn refused_share(&mut self, command: &Command) -> Option<LedgerReply> {
        let Command::SetShare(order) = command else {
            return None;
        };
        if !self.replica.leads() {
            return None;
        }
        if !self.replica.has_committed_in_term() {
            return Some(LedgerReply::NoQuorum);
        }
        // Sent again after its answer was lost: the name may have been removed since.
        if self.machine.state.is_applied_change(&order.id) {
            return None;
        }
        let shares = self.machine.shares.all();
        let is_set = shares.contains_key(&order.target);
        let ends = order.factor == ShareFactor::ONE;
        if ends && is_set {
            return None;
        }
        let exceeds = !ends && !is_set && shares.len() >= MAX_SHARES;
        let denial = if exceeds {
            let message = format!("shares: {MAX_SHARES} are set; end another one first");
            Denial::Settings { message }
        } else {
            self.share_denial(&order.target)?
        };
        Some(LedgerReply::Applied {
            index: 0,
            answer: Answer::Denied(denial),
        })
    }

    fn share_denial(&mut self, target: &ShareTarget) -> Option<Denial> {
        let parse = self.setup.tuning.parse_names;
        let Some(names) = self.names.get(&self.machine.state, parse) else {
            let message =
                "shares: there is no routing table whose organisations and routes can be read"
                    .into();
            return Some(Denial::Settings { message });
        };
        if names.contains(target) {
            return None;
        }
        let (what, name) = match target {
            ShareTarget::Organisation(name) => (EntityKind::Organisation, name),
            ShareTarget::Route(name) => (EntityKind::Route, name),
        };
        let name = name.to_string();
        Some(Denial::Unknown { what, name })
    }

    /// Drops the shares of names that have been removed from the configuration.
    ///
    /// An organisation that is added again later, under the name of an earlier one, would have its
    /// share otherwise. Replicas can't read the routing table when they apply it, so this takes an
    /// entry.
    pub(super) fn drop_shares_of_removed_names(&mut self) {
        if self.machine.shares.all().is_empty() || !self.replica.has_committed_in_term() {
            return;
        }
        let parse = self.setup.tuning.parse_names;
        let Some(names) = self.names.get(&self.machine.state, parse) else {
            return;
        };
        let targets = self.machine.shares.all().keys();
        let removed: Vec<_> = targets
            .filter(|target| !names.contains(target))
            .cloned()
            .collect();
        for target in removed {
            let order = drop_order(target);
            let name = order.target.to_string();
            let command = Command::SetShare(order);
            if self.not_applicable(&command).is_none() {
                event!(self.setup.log, events::LEDGER_SHARE_DROPPED, "share" => name);
                self.propose_without_reply(command);
            }
        }
    }
}

fn drop_order(target: ShareTarget) -> SetShare {
    let random: u64 = rand::random();
    SetShare {
        id: change_id(SystemTime::now(), &format!("{random:016x}")),
        operator: LEDGER_OPERATOR.into(),
        target,
        factor: ShareFactor::ONE,
        before: ShareFactor::ONE,
        reason: "removed from the configuration".into(),
        at: UNIX_EPOCH,
    }
}
