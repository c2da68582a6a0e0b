//! The routing table: which request goes to which service, under which terms, for whom.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::prelude::*;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    Once,
    /// A stream of events that may run once at most.
    StreamOnce,
    /// A stream of events that another endpoint may continue after the last one delivered.
    StreamResumed,
}

impl Repeat {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumed)
    }

    /// Whether another endpoint may continue the stream after the last event delivered.
    pub fn may_go_on_elsewhere(self) -> bool {
        self == Self::StreamResumed
    }

    /// Whether a request that may have run may run again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumed)
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for log lines.
    pub name: Arc<str>,
    /// Host that it answers for.
    pub host: Arc<str>,
    /// Beginning of the paths that it answers for; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a request is kept.
    pub timeout: Duration,
    /// Time within which an answer is on time: whole, or to its first event.
    pub target: Duration,
    /// Longest pause between two events that is still on time; none where it doesn't matter.
    pub gap: Option<Duration>,
    /// Rank; 0 goes first.
    pub class: u8,
    /// Services that serve it, by weight.
    pub services: Vec<(ServiceId, u32)>,
    /// Most endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether it is served without a bearer key.
    pub public: bool,
}

/// What is known of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Connections that one of its endpoints takes from all callers.
    pub connections: u32,
    /// Only for a pool of model engines.
    pub engine: Option<Engine>,
}

/// What is known of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that it works on side by side.
    pub batch: u32,
    /// Tokens that its memory holds.
    pub memory: Tokens,
    /// Tokens of output in one event, at most.
    pub tokens_per_event: Tokens,
    /// Bytes of memory that one token takes; 0 where it isn't told.
    pub bytes_per_token: f64,
    /// What an engine's link to the others carries, in megabits a second; 0 where it isn't told.
    pub link_mbps: f64,
}

/// Who sends requests, and pays for them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name; its budget has the same.
    pub id: OrganisationId,
    /// Its rank, where it goes before the route's.
    pub class: Option<u8>,
    /// Whether it has a prepaid budget.
    pub prepaid: bool,
}

/// What clients may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub head_time: Duration,
    /// Time that a connection may stay idle.
    pub idle_time: Duration,
}

/// A whole routing table. It does not change; a newer one takes its place.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// The operator's number of it.
    pub version: RoutingVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Bounds for clients.
    pub limits: Limits,
    hosts: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<Route>>>,
    keys: BTreeMap<Arc<str>, Arc<Organisation>>,
    asks_for_keys: bool,
}

/// Parts of a table before it is put together.
#[derive(Debug, Clone, PartialEq)]
pub struct TableParts {
    /// The operator's number of it.
    pub version: RoutingVersion,
    /// Routes in any order; no two share host and prefix.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Organisations with their bearer keys; none where requests carry no keys.
    pub organisations: Vec<(Organisation, Vec<Arc<str>>)>,
    /// Bounds for clients.
    pub limits: Limits,
}

impl From<TableParts> for RouteTable {
    fn from(parts: TableParts) -> Self {
        let mut hosts: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<Route>>> = BTreeMap::new();
        for route in parts.routes {
            let of_host = hosts.entry(route.host.clone()).or_default();
            of_host.insert(route.prefix.clone(), Arc::new(route));
        }
        let asks_for_keys = !parts.organisations.is_empty();
        let mut keys = BTreeMap::new();
        for (organisation, own) in parts.organisations {
            let organisation = Arc::new(organisation);
            for key in own {
                keys.insert(key, organisation.clone());
            }
        }
        let services = parts.services.into_iter();
        Self {
            version: parts.version,
            services: services.map(|s| (s.id.clone(), s)).collect(),
            limits: parts.limits,
            hosts,
            keys,
            asks_for_keys,
        }
    }
}

impl RouteTable {
    /// The route with the longest prefix that begins the path.
    ///
    /// Prefixes end with a slash, so only the path's own slashes are looked at: the cost grows
    /// with the depth of the path, not with the number of routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| prefixes.get(&path[..end]))
    }

    /// Who holds this key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Whether requests must carry a key on routes that aren't public.
    pub fn asks_for_keys(&self) -> bool {
        self.asks_for_keys
    }
}
