//! The routing table: which request goes to which service, on which terms, and for which
//! organisation.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::prelude::*;

use crate::regions::AllowedRegions;

/// How often a request on a route may run, and whether its response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMode {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// A stream of events; may run at most once.
    StreamAtMostOnce,
    /// A stream of events that another endpoint may resume after the last delivered event.
    ResumableStream,
}

impl RetryMode {
    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamAtMostOnce | Self::ResumableStream)
    }

    /// Whether another endpoint may resume the stream after the last delivered event.
    pub fn may_resume_elsewhere(self) -> bool {
        self == Self::ResumableStream
    }

    /// Whether a request that may have run may be run again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for the log.
    pub name: Arc<str>,
    /// Host that it matches.
    pub host: Arc<str>,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub retry_mode: RetryMode,
    /// Upper bound of a request's timeout.
    pub timeout: Duration,
    /// Target time to the complete response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest gap between two events; `None` if there is none.
    pub max_gap: Option<Duration>,
    /// Priority class; 0 is the most urgent.
    pub priority_class: u8,
    /// Services that serve the route, with their weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Maximum number of endpoints that receive one request.
    pub max_attempts: u32,
    /// Whether requests need no bearer key.
    pub public: bool,
    /// Where requests may run.
    pub regions: AllowedRegions,
}

/// How old a stream can be when its client takes it up, as a multiple of its route's timeout: one
/// response, and the client's attempts after it.
const MAX_STREAM_AGE_TIMEOUTS: u32 = 2;

impl Route {
    /// How old a stream can be when its client takes it up.
    pub fn max_stream_age(&self) -> Duration {
        self.timeout.saturating_mul(MAX_STREAM_AGE_TIMEOUTS)
    }

    /// Whether requests on the route may go to this service.
    pub fn names(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        services.any(|(named, weight)| **named == *service && *weight > 0)
    }
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub id: ServiceId,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Set only for a pool of model engines.
    pub engine: Option<Engine>,
    /// Set only if its endpoints are slow and crash easily after a start.
    pub warm_up: Option<WarmUp>,
}

/// How a service's endpoints warm up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUp {
    /// Time from an endpoint's start until it is warm.
    pub duration: Duration,
    /// Requests that an endpoint tolerates meanwhile, from all gateways together.
    pub rate: RateLimit,
}

/// Settings of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs concurrently.
    pub concurrent_requests: u32,
    /// Tokens that fit into an engine's memory; 0 if unknown.
    pub memory_tokens: Tokens,
    /// Maximum output tokens in one event.
    pub tokens_per_event: Tokens,
    /// Bytes of memory per token; 0 if unknown.
    pub bytes_per_token: f64,
    /// Bandwidth of the link between engines, in megabits per second; 0 if unknown.
    pub link_mbps: f64,
}

/// The sender of requests, who also pays for them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name; its budget has the same name.
    pub id: OrganisationId,
    /// Priority class that overrides the route's.
    pub priority_class: Option<u8>,
    /// Whether its requests are paid for out of a prepaid budget.
    pub is_prepaid: bool,
    /// Where its requests may run; a route's restriction applies as well.
    pub regions: AllowedRegions,
}

/// Limits on clients' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum bytes of a request head.
    pub head_bytes: usize,
    /// Maximum bytes of a request body.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// A complete, immutable routing table; an update replaces it as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// The operator's version number.
    pub version: RoutingVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits for clients.
    pub limits: Limits,
    routes_by_host: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<Route>>>,
    organisations_by_key: BTreeMap<Arc<str>, Arc<Organisation>>,
    requires_keys: bool,
}

/// The contents of a table, before they are indexed.
#[derive(Debug, Clone, PartialEq)]
pub struct TableParts {
    /// The operator's version number.
    pub version: RoutingVersion,
    /// Routes in any order; no two share host and prefix.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Organisations with their bearer keys; empty if requests carry no keys.
    pub organisations: Vec<(Organisation, Vec<Arc<str>>)>,
    /// Limits for clients.
    pub limits: Limits,
}

impl From<TableParts> for RouteTable {
    fn from(parts: TableParts) -> Self {
        let mut routes_by_host: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<Route>>> =
            BTreeMap::new();
        for route in parts.routes {
            let routes = routes_by_host.entry(route.host.clone()).or_default();
            routes.insert(route.prefix.clone(), Arc::new(route));
        }
        let requires_keys = !parts.organisations.is_empty();
        let mut organisations_by_key = BTreeMap::new();
        for (organisation, keys) in parts.organisations {
            let organisation = Arc::new(organisation);
            for key in keys {
                organisations_by_key.insert(key, organisation.clone());
            }
        }
        let services = parts.services.into_iter();
        Self {
            version: parts.version,
            services: services.map(|s| (s.id.clone(), s)).collect(),
            limits: parts.limits,
            routes_by_host,
            organisations_by_key,
            requires_keys,
        }
    }
}

impl RouteTable {
    /// The route with the longest prefix of the path.
    ///
    /// Prefixes end with a slash, so only the slashes of the path are tried: the cost grows with
    /// the depth of the path, not with the number of routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes_by_host.get(host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| prefixes.get(&path[..end]))
    }

    /// The organisation that holds this key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations_by_key.get(key)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        let by_prefix = self.routes_by_host.values();
        by_prefix.flat_map(BTreeMap::values)
    }

    /// Shortest target latency of the routes that stream, which are those with prompts.
    pub fn shortest_stream_target(&self) -> Option<Duration> {
        let routes = self.routes_by_host.values().flat_map(BTreeMap::values);
        let streams = routes.filter(|route| route.retry_mode.is_stream());
        streams.map(|route| route.target_latency).min()
    }

    /// Whether requests must carry a key on routes that aren't public.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }
}
