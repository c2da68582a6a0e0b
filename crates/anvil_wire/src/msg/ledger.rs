//! What the ledger answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::command::AuditEntry;
use anvil_world::endpoint_limit::EndpointLimit;
use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Call;

/// Exchange with a ledger replica.
pub struct LedgerCall;

impl Call for LedgerCall {
    const PATH: &'static str = "/ledger";
    type Req = LedgerRequest;
    type Resp = LedgerReply;
}

/// What is asked of a ledger replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// Put this command into the log. Only the leader takes it.
    Propose(Command),
    /// Read; confirmed by a majority before it is answered.
    Query(Query),
    /// I am alive.
    Heartbeat(Heartbeat),
    /// Send me what I am interested in, now and whenever it changes. Any replica serves it.
    Follow {
        /// Who follows.
        instance: InstanceId,
        /// What is of interest.
        interest: Interest,
        /// The newest version already held, 0 for none.
        version: LogIndex,
    },
}

/// Which part of the state a follower needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Interest {
    /// The whole settings tree, the members, the fenced routers, and what routers tell of endpoints.
    Router,
    /// The fleet's document, the follower's own presence and the fenced routers.
    Sidecar,
    /// The members alone: for those who only want to know who is where. A routing table may be
    /// megabytes, and there are as many of these followers as endpoints.
    Members,
}

/// A sign of life, every second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who, in which life. An unknown one is joined.
    pub instance: Instance,
    /// The newest version it has in force.
    pub version: LogIndex,
    /// From a sidecar: what was charged under fenced routers' grants. One for each fenced router,
    /// also when nothing was charged; held back while a run of that router goes on.
    pub evidence: Vec<Evidence>,
    /// Whether it wishes to leave: no new work, please.
    pub leaving: bool,
}

/// What one sidecar charged under the grants of one fenced router.
///
/// Final: the sidecar refuses that router's lives from before it was taken, and none of their
/// runs goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The fenced router.
    pub router: InstanceId,
    /// The newest fenced life; older ones are meant too.
    pub incarnation: Incarnation,
    /// Each charge. Two sidecars may both have charged a key that was continued elsewhere, so
    /// sums can't be sent: the collector counts each key once.
    pub charges: Vec<KeyCharge>,
}

/// What one run charged to one grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCharge {
    /// The grant.
    pub grant: GrantId,
    /// The request.
    pub key: RequestKey,
    /// The attempt that ran here; of one key's charges the highest attempt counts.
    pub attempt: u32,
    /// Charged, in tokens.
    pub charged: Tokens,
}

/// Answer to a sign of life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The newest version of the state.
    pub version: LogIndex,
    /// What the fleet holds this instance to be.
    pub presence: Presence,
    /// Fenced routers whose evidence was taken and need not be sent again.
    pub taken: Vec<(InstanceId, Incarnation)>,
    /// Where the ledger's replicas are, voters and learners.
    pub replicas: Vec<SocketAddr>,
}

/// What a follower is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowEvent {
    /// All of it.
    Full {
        /// Log position it stands for.
        version: LogIndex,
        /// Documents.
        tree: BTreeMap<TreePath, TreeEntry>,
        /// Instances.
        members: BTreeMap<InstanceId, Member>,
        /// Routers whose grants are refused, with the newest fenced life.
        fenced: BTreeMap<InstanceId, Incarnation>,
        /// Requests under which endpoints crashed.
        suspects: BTreeMap<RequestDigest, Suspect>,
        /// Limits that endpoints announced.
        limits: BTreeMap<InstanceId, EndpointLimit>,
    },
    /// What changed since the last event; `None` for what went away.
    Delta {
        /// Log position it leads to.
        version: LogIndex,
        /// Documents.
        tree: Vec<(TreePath, Option<TreeEntry>)>,
        /// Instances.
        members: Vec<(InstanceId, Option<Member>)>,
        /// Newly fenced routers.
        fenced: Vec<(InstanceId, Incarnation)>,
        /// Requests under which endpoints crashed.
        suspects: Vec<(RequestDigest, Option<Suspect>)>,
        /// Limits that endpoints announced.
        limits: Vec<(InstanceId, Option<EndpointLimit>)>,
    },
    /// Nothing changed; the replica confirms that this version is the newest it knows of and
    /// that it heard from the leader lately.
    Current {
        /// Log position.
        version: LogIndex,
    },
}

/// What is read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// How the ledger is.
    Status,
    /// Documents whose path starts with this text.
    Tree(Arc<str>),
    /// One budget.
    Budget(BudgetId),
    /// All budgets, in order, after this one, at most so many.
    Budgets {
        /// Start after it.
        after: Option<BudgetId>,
        /// At most so many.
        limit: u32,
    },
    /// The audit trail.
    Audit(AuditFilter),
    /// Which instances have a version in force.
    InForce(LogIndex),
    /// The claim of a request.
    Claim(RequestKey),
    /// The newest fencing number issued to a sidecar.
    Fencing(InstanceId),
    /// All members.
    Members,
}

/// Which lines of the audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditFilter {
    /// Only subjects that start with this.
    pub subject: Option<Arc<str>>,
    /// Only this operator.
    pub operator: Option<OperatorId>,
    /// Only after this revision.
    pub after: Revision,
    /// At most so many, the newest; 0 means all that fit.
    pub limit: u32,
}

/// What was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// See [`Query::Status`].
    Status(LedgerStatus),
    /// See [`Query::Tree`].
    Tree(BTreeMap<TreePath, TreeEntry>),
    /// See [`Query::Budget`] and [`Query::Budgets`].
    Budgets(Vec<BudgetView>),
    /// See [`Query::Audit`].
    Audit(Vec<AuditEntry>),
    /// See [`Query::InForce`].
    InForce(InForce),
    /// See [`Query::Claim`].
    Claim(Option<anvil_world::command::ClaimRecord>),
    /// See [`Query::Fencing`].
    Fencing(anvil_world::command::FenceNumber),
    /// See [`Query::Members`].
    Members(BTreeMap<InstanceId, Member>),
}

/// A budget as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetView {
    /// Its name.
    pub id: BudgetId,
    /// Paid in, charged and open grants.
    pub budget: Budget,
}

/// How the ledger is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerStatus {
    /// Who answers.
    pub replica: InstanceId,
    /// The leader's term.
    pub term: Term,
    /// Newest committed position.
    pub committed: LogIndex,
    /// Newest version of tree, members and fences.
    pub version: LogIndex,
    /// Voting replicas.
    pub voters: Vec<InstanceId>,
    /// Replicas that catch up.
    pub learners: Vec<InstanceId>,
}

/// How far a version has spread.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Instances that have it in force.
    pub there: BTreeSet<InstanceId>,
    /// Live instances that still hold an older one, or were not heard of, with the time since
    /// their last sign of life.
    pub missing: BTreeMap<InstanceId, Duration>,
}

/// What a ledger replica says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The command was committed at this position and applied.
    Applied {
        /// Log position.
        index: LogIndex,
        /// What it answered.
        answer: Answer,
    },
    /// What was read.
    Read(QueryAnswer),
    /// Sign of life taken.
    Alive(HeartbeatReply),
    /// For a follower.
    Follow(FollowEvent),
    /// Another replica leads; nothing was done.
    NotLeader {
        /// Its wire address, where known.
        leader: Option<SocketAddr>,
    },
    /// No majority can be reached; nothing was put into the log.
    NoQuorum,
    /// The leader changed while the command waited: it may or may not be committed. Resend it
    /// with the same id to learn which.
    InDoubt,
    /// The replica has stopped for good and says why in its log: disk full, sync failed.
    Stopped,
}
