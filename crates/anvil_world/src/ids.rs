//! Type aliases for ids and quantities.
//!
//! Names are shared text (`Arc<str>`), so cloning one while serving a request costs one atomic
//! increment. State machines take the time as [`Now`], the time since their process started.

use std::sync::Arc;
use std::time::Duration;

/// Name of an instance, unique in the fleet.
pub type InstanceId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Name of a route in the routing table.
pub type RouteName = Arc<str>;
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
/// Version of an endpoint's software; texts are equal or not, and have no order.
pub type SoftwareVersion = Arc<str>;
/// Id that a client generates for one attempt at a request.
pub type AttemptId = Arc<str>;
/// Id that an operator's client generates for one change; a resent change keeps it.
pub type ChangeId = Arc<str>;
/// Id that a router generates for one claim; a resent claim keeps it.
pub type ClaimId = Arc<str>;
/// Name of the operator who made a change.
pub type OperatorId = Arc<str>;

/// Incarnation of an instance: larger is newer. Every process start takes a new one.
pub type Incarnation = u64;
/// Log position of a change of the settings tree. Never decreases.
pub type Revision = u64;
/// Version that an operator gives a routing table; the highest one is in force.
pub type RoutingVersion = u64;
/// Number of a grant, unique in the fleet and never reused.
pub type GrantId = u64;
/// Sequence number of a grant batch within one router incarnation.
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
/// Request rate, in requests per thousand seconds.
pub type RateLimit = u64;
/// What a crash can be blamed on: a whole request, or something that requests share.
pub type ContentDigest = u128;
/// Time since the process started; the clock of the state machines.
pub type Now = Duration;
