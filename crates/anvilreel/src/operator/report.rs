//! Reports of the operator actions, printed as text for people or as JSON for programs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, UNIX_EPOCH};

use anvil_wire::msg::{BudgetView, LedgerStatus, VersionRollout};
use anvil_world::command::{AuditEntry, ChangeReceipt, FenceNumber};
use anvil_world::prelude::*;
use serde::Serialize;

use super::quarantine::QuarantinedContent;

/// Receipt of a committed change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Receipt {
    /// Id of the change.
    pub id: ChangeId,
    /// Revision that the change has created.
    pub revision: Revision,
    /// Whether the change had been committed before, so that this repeats its first receipt.
    pub resent: bool,
}

impl From<ChangeReceipt> for Receipt {
    fn from(receipt: ChangeReceipt) -> Self {
        Self {
            id: receipt.id,
            revision: receipt.revision,
            resent: receipt.resent,
        }
    }
}

impl fmt::Display for Receipt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let resent_note = if self.resent {
            " (committed before; this repeats the first receipt)"
        } else {
            ""
        };
        write!(
            f,
            "done: change {} at revision {}{resent_note}",
            self.id, self.revision
        )
    }
}

/// Where a version is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RolloutReport {
    /// The version.
    pub revision: Revision,
    /// Number of instances at which it is in force.
    pub there: usize,
    /// Live instances at which it is not, with the seconds since their last heartbeat.
    pub missing: BTreeMap<InstanceId, u64>,
}

impl RolloutReport {
    /// Converts the ledger's answer about one version.
    pub fn new(revision: Revision, rollout: VersionRollout) -> Self {
        let missing = rollout.missing.into_iter();
        Self {
            revision,
            there: rollout.there.len(),
            missing: missing.map(|(id, ago)| (id, ago.as_secs())).collect(),
        }
    }

    /// Whether no live instance has an older version in force.
    pub fn is_rolled_out(&self) -> bool {
        self.missing.is_empty()
    }
}

impl fmt::Display for RolloutReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "revision {} in force at {} instances",
            self.revision, self.there
        )?;
        for (id, ago) in &self.missing {
            write!(f, "\n  not yet at {id}, last heartbeat {ago} s ago")?;
        }
        Ok(())
    }
}

/// Documents of the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TreeReport(pub BTreeMap<TreePath, TreeEntry>);

impl fmt::Display for TreeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (path, entry) in &self.0 {
            writeln!(
                f,
                "# {path} revision {} by {}",
                entry.revision, entry.operator
            )?;
            writeln!(f, "{}", entry.text.trim_end())?;
        }
        Ok(())
    }
}

/// Difference between a file and the document in the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DiffReport {
    /// Path of the document.
    pub path: TreePath,
    /// Revision of the document; 0 if it does not exist.
    pub revision: Revision,
    /// Unified diff; empty if there is no difference.
    pub diff: String,
}

impl fmt::Display for DiffReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.diff.is_empty() {
            return write!(
                f,
                "{} at revision {}: no difference",
                self.path, self.revision
            );
        }
        write!(f, "{}", self.diff.trim_end())
    }
}

/// Budgets and their open grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BudgetReport(pub Vec<BudgetView>);

impl fmt::Display for BudgetReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for BudgetView { id, budget } in &self.0 {
            writeln!(
                f,
                "{id}: credited {}, billed {}, granted {}, left {}",
                budget.credited,
                budget.billed,
                budget.outstanding(),
                budget.left()
            )?;
            for grant in budget.open.values() {
                writeln!(
                    f,
                    "  grant {} at {}: {} of {} settled, {:?}",
                    grant.id, grant.router, grant.settled, grant.amount, grant.state
                )?;
            }
        }
        Ok(())
    }
}

/// Lines of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AuditReport(pub Vec<AuditEntry>);

impl fmt::Display for AuditReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.0 {
            let since = line.at.duration_since(UNIX_EPOCH).unwrap_or_default();
            writeln!(
                f,
                "{} {} {} revision {} change {}",
                since.as_secs(),
                line.operator,
                line.subject,
                line.revision,
                line.id
            )?;
            write_indented(f, "-", line.before.as_deref())?;
            write_indented(f, "+", line.after.as_deref())?;
        }
        Ok(())
    }
}

fn write_indented(f: &mut fmt::Formatter<'_>, mark: &str, text: Option<&str>) -> fmt::Result {
    let lines = text.unwrap_or_default().lines();
    lines
        .into_iter()
        .try_for_each(|line| writeln!(f, "  {mark} {line}"))
}

/// State of the ledger and of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StatusReport {
    /// State of the ledger.
    pub ledger: LedgerStatus,
    /// Where the newest version is in force.
    pub spread: RolloutReport,
    /// The orders by which availability zones are evacuated.
    pub evacuated: BTreeMap<TreePath, TreeEntry>,
    /// Contents in quarantine; `None` if the leader is of a build that doesn't tell.
    pub quarantined: Option<Vec<QuarantinedContent>>,
    /// Factors of the shares that operators have set; `None` if the leader is of a build without
    /// shares.
    pub shares: Option<BTreeMap<String, f64>>,
    /// Members with their presence.
    pub members: BTreeMap<InstanceId, Member>,
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ledger = &self.ledger;
        writeln!(f, "ledger: {} leads term {}", ledger.replica, ledger.term)?;
        writeln!(
            f,
            "  committed {}, version {}",
            ledger.committed, ledger.version
        )?;
        writeln!(f, "  voters {}", ledger.voters.join(", "))?;
        if !ledger.learners.is_empty() {
            writeln!(f, "  learners {}", ledger.learners.join(", "))?;
        }
        writeln!(f, "{}", self.spread)?;
        for (path, entry) in &self.evacuated {
            writeln!(
                f,
                "evacuated: {path} at revision {} by {}",
                entry.revision, entry.operator
            )?;
        }
        match &self.quarantined {
            None => writeln!(f, "quarantines: not known")?,
            Some(quarantined) => {
                for content in quarantined {
                    writeln!(f, "{content}")?;
                }
            }
        }
        match &self.shares {
            None => writeln!(f, "shares: not known")?,
            Some(shares) => {
                for (target, factor) in shares {
                    writeln!(f, "share: {target} has a factor of {factor}")?;
                }
            }
        }
        for (id, member) in &self.members {
            let instance = &member.instance;
            writeln!(
                f,
                "{id}: {:?} {:?} in {} at {}",
                instance.role, member.presence, instance.zone.id, instance.addr
            )?;
        }
        Ok(())
    }
}

/// Result of an order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderReport {
    /// Sidecar of the endpoint.
    pub sidecar: InstanceId,
    /// Fencing number of the order.
    pub fence: FenceNumber,
    /// Result that the sidecar reported.
    pub result: anvil_wire::msg::OrderResult,
    /// Time until the sidecar's reply.
    pub took: Duration,
}

impl fmt::Display for OrderReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FenceNumber { term, index } = self.fence;
        write!(
            f,
            "order {term}.{index} at {}: {:?} after {:?}",
            self.sidecar, self.result, self.took
        )
    }
}
