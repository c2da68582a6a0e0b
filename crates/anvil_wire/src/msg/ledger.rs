//! Calls to the ledger: commands, queries, heartbeats, and the stream of state changes to followers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::command::AuditEntry;
use anvil_world::endpoint_limit::EndpointLimit;
use anvil_world::prelude::*;
use serde::{Deserialize, Deserializer, Serialize};

use crate::Call;

/// A call to a ledger replica.
pub struct LedgerCall;

impl Call for LedgerCall {
    const PATH: &'static str = "/ledger";
    type Req = LedgerRequest;
    type Resp = LedgerReply;
}

/// A request to a ledger replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// Proposes a command for the log. Only the leader accepts it.
    Propose(Command),
    /// Reads state; a majority confirms it before it is answered.
    Query(Query),
    /// Renews the sender's membership.
    Heartbeat(Heartbeat),
    /// Follows a part of the state: replies with it now and whenever it changes. Any replica serves it.
    Follow {
        /// The follower.
        instance: InstanceId,
        /// The part of the state to send.
        interest: FollowScope,
        /// The newest version the follower has, 0 for none.
        version: LogIndex,
    },
}

/// Which part of the state a follower needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowScope {
    /// The whole settings tree, the members, the fenced routers, and the routers' reports on endpoints.
    Router,
    /// The fleet document, the follower's own presence and the fenced routers.
    Sidecar,
    /// Only the members, for followers that need nothing but their addresses. There are as many of these
    /// followers as endpoints, and a routing table may have megabytes.
    Members,
}

/// A heartbeat, sent every second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender, in its incarnation. An unknown one joins the membership.
    pub instance: Instance,
    /// The newest version of the state that the sender has in force.
    pub version: LogIndex,
    /// From a sidecar: the charges under the grants of fenced routers. One entry for each fenced router,
    /// even without charges; withheld while a run of that router is in flight.
    pub evidence: Vec<ChargeEvidence>,
    /// Whether the sender is leaving and takes no new work.
    pub leaving: bool,
}

/// The charges that one sidecar made under the grants of one fenced router.
///
/// It is final: the sidecar has refused the fenced incarnations since before it collected the charges,
/// and none of their runs is in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeEvidence {
    /// The fenced router.
    pub router: InstanceId,
    /// The newest fenced incarnation; older ones are included.
    pub incarnation: Incarnation,
    /// The single charges. Two sidecars may both have charged a key whose answer was continued on the
    /// other one, so sums would count it twice; the ledger counts each key once.
    pub charges: Vec<KeyCharge>,
}

/// The charge of one run to one grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCharge {
    /// The grant.
    pub grant: GrantId,
    /// The request.
    pub key: RequestKey,
    /// The attempt that ran here; of the charges for one key only that of the highest attempt counts.
    pub attempt: u32,
    /// Tokens charged.
    pub charged: Tokens,
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The newest version of the state.
    pub version: LogIndex,
    /// The presence recorded for this instance.
    pub presence: Presence,
    /// Fenced routers whose evidence was accepted and need not be sent again.
    pub taken: Vec<(InstanceId, Incarnation)>,
    /// Addresses of the ledger's replicas, voters and learners.
    pub replicas: Vec<SocketAddr>,
}

/// A state update for a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowEvent {
    /// The complete part of the state that the follower has requested.
    Full {
        /// Log position of the state.
        version: LogIndex,
        /// Documents.
        tree: BTreeMap<TreePath, TreeEntry>,
        /// Instances.
        members: BTreeMap<InstanceId, Member>,
        /// Routers whose grants are refused, with the newest fenced incarnation.
        fenced: BTreeMap<InstanceId, Incarnation>,
        /// Suspect contents.
        suspects: BTreeMap<ContentDigest, SuspectContent>,
        /// Rate limits that endpoints announced.
        limits: BTreeMap<InstanceId, EndpointLimit>,
        /// All shares that operators have set; `None` from a replica or relay of the previous
        /// build, which doesn't know them, and for followers that need none.
        #[serde(deserialize_with = "none_if_missing")]
        shares: Option<Shares>,
        /// Software versions of each service; `None` as for the shares.
        #[serde(deserialize_with = "none_if_missing")]
        versions: Option<RecordedVersions>,
    },
    /// The changes since the last event; `None` for what was removed.
    Delta {
        /// Log position of the state after these changes.
        version: LogIndex,
        /// Documents.
        tree: Vec<(TreePath, Option<TreeEntry>)>,
        /// Instances.
        members: Vec<(InstanceId, Option<Member>)>,
        /// Newly fenced routers.
        fenced: Vec<(InstanceId, Incarnation)>,
        /// Suspect contents.
        suspects: Vec<(ContentDigest, Option<SuspectContent>)>,
        /// Rate limits that endpoints announced.
        limits: Vec<(InstanceId, Option<EndpointLimit>)>,
        /// All shares that operators have set; `None` from a replica or relay of the previous
        /// build, which doesn't know them, and for followers that need none.
        #[serde(deserialize_with = "none_if_missing")]
        shares: Option<Shares>,
        /// Software versions of each service; `None` as for the shares.
        #[serde(deserialize_with = "none_if_missing")]
        versions: Option<RecordedVersions>,
    },
    /// Nothing changed: the replica confirms that this is the newest version it knows and that it has
    /// recently received a message from the leader.
    Current {
        /// Log position.
        version: LogIndex,
    },
}

/// Reads one of the last fields of an event. A sender of an earlier build ends its message before it;
/// messages are framed, so this is the only cause of an error at this place.
#[expect(clippy::unnecessary_wraps, reason = "serde requires this signature")]
fn none_if_missing<'de, D, T>(source: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::deserialize(source).unwrap_or_default())
}

/// A read of the ledger's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The status of the answering replica.
    Status,
    /// Documents whose path starts with this text.
    Tree(Arc<str>),
    /// One budget.
    Budget(BudgetId),
    /// One page of all budgets, in order.
    Budgets {
        /// Start after this budget.
        after: Option<BudgetId>,
        /// Maximum number of budgets.
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
    /// What is left of these budgets; unknown ones are left out of the answer. A replica of a build without
    /// this query answers with an error.
    Balances(Vec<BudgetId>),
    /// The suspect contents that are announced to routers.
    Suspects,
    /// The shares that operators have set. A replica of a build without this query answers with an
    /// error.
    Shares,
    /// Where the stream with this key began. A replica of a build without this query answers with an
    /// error.
    StreamOrigin(u128),
}

/// Selects entries of the audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditFilter {
    /// Only subjects with this prefix.
    pub subject: Option<Arc<str>>,
    /// Only changes by this operator.
    pub operator: Option<OperatorId>,
    /// Only changes after this revision.
    pub after: Revision,
    /// Maximum number of entries, the newest ones; 0 means as many as fit in one message.
    pub limit: u32,
}

/// The answer to a [`Query`].
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
    InForce(VersionRollout),
    /// See [`Query::Claim`].
    Claim(Option<anvil_world::command::ClaimRecord>),
    /// See [`Query::Fencing`].
    Fencing(anvil_world::command::FenceNumber),
    /// See [`Query::Members`].
    Members(BTreeMap<InstanceId, Member>),
    /// See [`Query::Balances`].
    Balances(BTreeMap<BudgetId, BudgetBalance>),
    /// See [`Query::Suspects`].
    Suspects(BTreeMap<ContentDigest, SuspectContent>),
    /// See [`Query::Shares`].
    Shares(Shares),
    /// See [`Query::StreamOrigin`]; `None` if it is not known.
    StreamOrigin(Option<RecordedOrigin>),
}

/// Where a stream began, according to the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOrigin {
    /// The service.
    pub service: ServiceId,
    /// The software version.
    pub version: SoftwareVersion,
}

/// What is left of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetBalance {
    /// Tokens that can still be granted.
    pub left: Tokens,
    /// Tokens charged to all routers so far; it never falls.
    pub billed: Tokens,
}

/// A budget as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetView {
    /// Its name.
    pub id: BudgetId,
    /// Its credit, charges and open grants.
    pub budget: Budget,
}

/// The status of the ledger, as seen by one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerStatus {
    /// The replica that answers.
    pub replica: InstanceId,
    /// The leader's term.
    pub term: Term,
    /// Newest committed log position.
    pub committed: LogIndex,
    /// Newest version of the state that followers receive.
    pub version: LogIndex,
    /// Voting replicas.
    pub voters: Vec<InstanceId>,
    /// Non-voting replicas that are catching up.
    pub learners: Vec<InstanceId>,
}

/// The rollout of a version: which instances have it in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRollout {
    /// Instances that have it in force.
    pub there: BTreeSet<InstanceId>,
    /// Live instances that still have an older version or sent no heartbeat yet, with the time since
    /// their last heartbeat.
    pub missing: BTreeMap<InstanceId, Duration>,
}

/// A reply of a ledger replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The command was committed and applied.
    Applied {
        /// Its log position.
        index: LogIndex,
        /// Its result.
        answer: Answer,
    },
    /// The answer to a query.
    Read(QueryAnswer),
    /// The heartbeat was accepted.
    Alive(HeartbeatReply),
    /// A state update for a follower.
    Follow(FollowEvent),
    /// Another replica is the leader; nothing was done.
    NotLeader {
        /// The leader's wire address, if known.
        leader: Option<SocketAddr>,
    },
    /// No quorum can be reached; nothing was appended to the log.
    NoQuorum,
    /// The leader changed while the command was in flight, so it may or may not be committed. Resending
    /// it with the same id tells which.
    InDoubt,
    /// The replica has stopped for good. Its log says why, for example disk full or a failed sync.
    Stopped,
}
