//! Type aliases for ids and quantities.
//!
//! Names are shared text (`Arc<str>`), so that a clone on the path of a request is one atomic
//! addition. Time passed to a state machine is the time since its process started.

use std::sync::Arc;
use std::time::Duration;

/// Name of an instance, unique in the fleet.
pub type InstanceId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Name of an organisation.
pub type OrganisationId = Arc<str>;
/// Name of a team of an organisation.
pub type TeamId = Arc<str>;
/// Name of a prepaid budget.
pub type BudgetId = Arc<str>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Name of a service: a pool of model runners or a plain service.
pub type ServiceId = Arc<str>;
/// An id that an operator's client makes for one change; a resent change keeps it.
pub type ChangeId = Arc<str>;
/// An id that a router makes for one claim; a resent claim keeps it.
pub type ClaimId = Arc<str>;
/// Who made a change.
pub type OperatorId = Arc<str>;

/// Which life of an instance: larger is newer. A restarted process takes a new one.
pub type Incarnation = u64;
/// Position of the settings tree in the order of accepted changes. Never falls.
pub type Revision = u64;
/// Number that an operator gives a routing table; the highest one is in force.
pub type RoutingVersion = u64;
/// Number of a grant, unique in the fleet and never used again.
pub type GrantId = u64;
/// Running number of a router incarnation's grant batches.
pub type BatchSeq = u64;
/// An amount of tokens.
pub type Tokens = u64;
/// A leader's term in the replicated log.
pub type Term = u64;
/// Position of an entry in the replicated log.
pub type LogIndex = u64;
/// Byte position in a run's output.
pub type Offset = u64;
/// SHA-256 of a request's body.
pub type BodyHash = [u8; 32];
/// Requests in a thousand seconds.
pub type RateLimit = u64;
/// The beginning of a SHA-256 of all that makes two requests the same one.
pub type RequestDigest = u128;
/// Time since the process started, as state machines see it.
pub type Now = Duration;
