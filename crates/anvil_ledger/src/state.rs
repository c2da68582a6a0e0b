//! The deterministic state machine of committed commands.
//!
//! Every replica applies the same commands in the same order and reaches the same [`State`].
//! Nothing here reads a clock, a file or a random number; the leader puts times into commands.
//!
//! ```
//! use anvil_ledger::state::State;
//! use anvil_world::prelude::*;
//!
//! let mut state = State::default();
//! assert_eq!(state.apply(1, 1, &Command::Noop), Answer::Done);
//! assert!(state.invariants_held().is_ok());
//! ```

mod audit;
mod claims;
mod invariant;
mod members;
mod money;
mod operator_change;
mod quarantine;
mod receipts;
mod recent_changes;
mod references;
mod routing;
mod share;
mod tree;

use anvil_world::command::{AuditEntry, ClaimRecord, FenceNumber, Order};
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

use audit::Audit;
use claims::Claims;
pub use invariant::InvariantError;
use members::Members;
use money::Money;
use receipts::Receipts;
pub use recent_changes::ChangedItem;
use recent_changes::RecentChanges;
use tree::Tree;

use crate::suspects::Lifted;

/// The ledger's state after all commands applied so far.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    applied: LogIndex,
    tree: Tree,
    /// Version of the routing table in force, 0 before the first.
    routing: RoutingVersion,
    money: Money,
    members: Members,
    claims: Claims,
    fencing: BTreeMap<InstanceId, FenceNumber>,
    receipts: Receipts,
    audit: Audit,
    #[serde(rename = "spread")]
    recent_changes: RecentChanges,
    violated: Option<InvariantError>,
}

impl State {
    /// Applies one committed command. Has to be called once for each index, in order.
    pub fn apply(&mut self, index: LogIndex, term: Term, command: &Command) -> Answer {
        self.begin(index);
        let result = match command {
            // All but `Noop` change parts that are kept outside this state; see `machine`.
            Command::Noop
            | Command::ReportCrash(_)
            | Command::ClearSuspects(_)
            | Command::ReportLimit(_)
            | Command::RecordOrigins(_) => Ok(Answer::Done),
            Command::RecordVersions(_) => {
                self.recent_changes.record_version(index);
                Ok(Answer::Done)
            }
            Command::Change(change) => self.change(index, change),
            Command::TopUp(top_up) => self.top_up(top_up),
            Command::WriteOff(write_off) => self.write_off(write_off),
            Command::Drain(drain) => self.drain(index, drain),
            Command::GrantBatch(batch) => self.grant_batch(index, batch),
            Command::FenceRouter(fence) => {
                self.fence(index, &fence.router, fence.incarnation);
                Ok(Answer::Done)
            }
            Command::CloseGrant { grant, charged } => self.close_grant(*grant, *charged),
            Command::Claim(claim) => Ok(Answer::Claimed(self.claims.claim(claim))),
            Command::SettleClaim(settle) => self.claims.settle(settle),
            Command::Join(join) => self.join(index, &join.instance),
            Command::SetPresence(set) => self.set_presence(index, set),
            Command::Order(order) => Ok(self.order(index, term, order)),
            Command::ReplaceRouting(replace) => Ok(self.replace_routing(index, replace)),
            // Without the suspects, which are kept outside this state, there is nothing to lift.
            Command::LiftQuarantine(lift) => self.lift_quarantine(index, lift, &Lifted::default()),
            Command::SetShare(order) => self.set_share(index, order),
        };
        result.unwrap_or_else(Answer::Denied)
    }

    /// Records that something which followers copy, but is kept outside this state, changed at this
    /// index.
    pub fn record_change(&mut self, index: LogIndex, changed_item: ChangedItem) {
        self.recent_changes.record_at(index, changed_item);
    }

    /// The last index applied, 0 for none.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The newest index at which anything changed that followers copy.
    pub fn version(&self) -> LogIndex {
        self.recent_changes.version()
    }

    /// What changed after a version; `None` if that is too long ago to be known.
    pub fn changed_since(&self, version: LogIndex) -> Option<BTreeSet<ChangedItem>> {
        self.recent_changes.since(version)
    }

    /// The settings tree.
    pub fn tree(&self) -> &BTreeMap<TreePath, TreeEntry> {
        self.tree.entries()
    }

    /// Version of the routing table in force, 0 before the first.
    pub fn routing(&self) -> RoutingVersion {
        self.routing
    }

    /// All instances that ever joined, in their newest incarnation.
    pub fn members(&self) -> &BTreeMap<InstanceId, Member> {
        self.members.all()
    }

    /// Fenced routers, with the newest fenced incarnation.
    pub fn fenced(&self) -> &BTreeMap<InstanceId, Incarnation> {
        self.members.fenced()
    }

    /// One budget.
    pub fn budget(&self, id: &str) -> Option<&Budget> {
        self.money.budget(id)
    }

    /// Budgets in order, after this one.
    pub fn budgets(&self, after: Option<&str>) -> impl Iterator<Item = (&BudgetId, &Budget)> {
        self.money.budgets(after)
    }

    /// Open grants of all incarnations of a router.
    pub fn grants_of(&self, router: &str) -> impl Iterator<Item = &Grant> {
        self.money.grants_of(router)
    }

    /// All fenced grants; each waits for evidence or an operator.
    pub fn fenced_grants(&self) -> impl Iterator<Item = &Grant> {
        self.money.fenced_grants()
    }

    /// The newest lines of the audit trail that pass the filter, oldest first.
    pub fn audit(&self, limit: usize, keep: impl Fn(&AuditEntry) -> bool) -> Vec<&AuditEntry> {
        self.audit.read(limit, keep)
    }

    /// Whether an operator's change with this id was applied.
    pub fn is_applied_change(&self, id: &ChangeId) -> bool {
        self.receipts.contains(id)
    }

    /// The claim of a request.
    pub fn claim(&self, key: &RequestKey) -> Option<ClaimRecord> {
        self.claims.get(key)
    }

    /// The newest fencing number issued for a sidecar.
    pub fn fencing(&self, sidecar: &str) -> FenceNumber {
        self.fencing.get(sidecar).copied().unwrap_or_default()
    }

    /// The first invariant violation at any apply, if there was one. The replica then has to stop.
    pub fn invariants_held(&self) -> Result<(), InvariantError> {
        match &self.violated {
            None => Ok(()),
            Some(e) => Err(e.clone()),
        }
    }

    /// Checks every budget again: slow, for tests and for reading a data folder offline.
    pub fn check_all(&self) -> Result<(), InvariantError> {
        self.invariants_held()?;
        self.money.check_all()
    }

    /// Guards against a log that is applied with a gap or twice, which would show as replicas that
    /// differ. The replicated log counts indexes itself, so only a fault in it can trigger this.
    fn check_order(&mut self, index: LogIndex) {
        if index != self.applied + 1 {
            self.record_violation(InvariantError::Order {
                applied: self.applied,
                index,
            });
        }
    }

    fn begin(&mut self, index: LogIndex) {
        self.check_order(index);
        self.applied = index;
    }

    fn record_violation(&mut self, e: InvariantError) {
        // The first violation is the cause; later ones may only follow from it.
        self.violated.get_or_insert(e);
    }

    fn order(&mut self, index: LogIndex, term: Term, order: &Order) -> Answer {
        let number = FenceNumber { term, index };
        self.fencing.insert(order.sidecar.clone(), number);
        Answer::Fencing(number)
    }
}
