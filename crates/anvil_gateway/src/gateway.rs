//! State shared by all requests and tasks of one gateway process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvil_http::limits::{connections_bytes, request_budget, response_budget};
use anvil_http::{Admission, MemoryBudget};
use anvil_policy::crash::CrashWatch;
use anvil_policy::planned_stop::ResponseTimes;
use anvil_policy::rate_share::{BurstTolerance, RouterRank};
use anvil_policy::read_ahead::ReadAhead;
use anvil_policy::retry::{RetryBudget, RetryRule, RetrySafety};
use anvil_world::prelude::*;
use anvilreel::event;
use anvilreel::ledger_client::LedgerClient;
use anvilreel::lifecycle::Lifecycle;
use anvilreel::logs::LogBuffer;
use anvilreel::metrics::Metrics;
use anvilreel::money::{GrantAccount, GrantPolicy};
use arc_swap::{ArcSwap, ArcSwapOption};
use slog::Logger;
use tokio::sync::Notify;

use crate::accept::intake_status::IntakeStatus;
use crate::accept::resource_limits::ResourceLimits;
use crate::accept::socket_budgets::SocketBudgets;
use crate::account::held_prompts::HeldPrompts;
use crate::choose::EngineEstimates;
use crate::dialect::{Dialect, ListSource};
use crate::directory::Directory;
use crate::endpoint_limits::EndpointLimits;
use crate::list::cache::ListCache;
use crate::list::siblings::Siblings;
use crate::log_events;
use crate::metrics::RETRIES_DENIED;
use crate::service_versions::ServiceVersions;
use crate::stream_origins::StreamOrigins;
use crate::suspects::Suspects;
use crate::table::RouteTable;

/// Settings of a gateway.
#[derive(Clone)]
pub struct GatewaySettings {
    /// Id of the instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Regions of all availability zones.
    pub regions_by_zone: BTreeMap<ZoneId, RegionId>,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub ready_listen: SocketAddr,
    /// Ledger replicas that are known at the start.
    pub ledger: Vec<SocketAddr>,
    /// The platform's list of endpoints.
    pub list: ListSource,
    /// The platform's header and text formats.
    pub dialect: Dialect,
    /// Time from the signal for a planned stop to the end of the process.
    pub grace_period: Duration,
    /// Retries that all gateways together may make, as a fraction of requests.
    pub retry_fraction: f64,
    /// Retries beyond that fraction that all gateways together may make within
    /// [`Self::retry_window`].
    pub retry_slack: f64,
    /// See [`Self::retry_slack`].
    pub retry_window: Duration,
    /// Address at which the other gateways reach this one; all of them use the same port.
    pub siblings_addr: SocketAddr,
    /// Address to bind for them, if traffic to [`Self::siblings_addr`] is forwarded to another
    /// address.
    pub siblings_bind: Option<SocketAddr>,
    /// Maximum age of the platform's list before it is read again.
    pub max_list_age: Duration,
    /// How far all gateways together may exceed the rate that an endpoint tolerates during its
    /// warm-up.
    pub warm_up_tolerance: BurstTolerance,
    /// What the machine provides.
    pub limits: ResourceLimits,
    /// The longest outage of the ledger over which requests are to be paid for; `None` if grants
    /// need not outlast one.
    pub outage_horizon: Option<Duration>,
}

/// One gateway process.
pub struct Gateway {
    /// Settings.
    pub cfg: GatewaySettings,
    /// The routing table in force; `None` until the first one.
    pub table: ArcSwapOption<RouteTable>,
    /// The endpoints.
    pub directory: Directory,
    /// Grants, and what is reserved and settled on them.
    pub grant_account: Arc<GrantAccount>,
    /// Prompts of lost attempts, here and at other gateways.
    pub held_prompts: HeldPrompts,
    /// Wakes the task that requests grants from the ledger.
    pub grants_wanted: Notify,
    /// The process's clock and incarnation, and whether it is stopping.
    pub lifecycle: Lifecycle,
    /// Client of the ledger.
    pub ledger: LedgerClient,
    /// Ledger replicas that the settings name.
    pub seeds: ArcSwap<Vec<SocketAddr>>,
    /// The log.
    pub log: Logger,
    /// The buffer of the log.
    pub log_buffer: LogBuffer,
    /// Metrics.
    pub metrics: Metrics,
    /// What was learned of engines.
    pub engine_estimates: EngineEstimates,
    /// Number of live gateways according to the ledger, this one included.
    pub gateway_count: AtomicU32,
    /// Rank of this gateway among them.
    pub gateway_rank: AtomicU32,
    /// When this rank or the number of gateways last changed, in milliseconds since its start.
    pub position_since_ms: AtomicU64,
    /// Version of the ledger's state that is in force.
    pub version_in_force: AtomicU64,
    /// Whether the other gateways count this one, according to the ledger.
    pub is_counted: AtomicBool,
    /// When the ledger last confirmed that the cached state is current, in milliseconds since the
    /// start.
    pub ledger_confirmed_ms: AtomicU64,
    /// Copies of the platform's list.
    pub list_cache: ListCache,
    /// The other gateways.
    pub siblings: Siblings,
    /// Wakes the task that reads the platform's list: a sibling has found the list wrong.
    pub list_read_requested: Notify,
    /// Wakes the task that reads the platform's list: another incarnation answered for a listed
    /// endpoint.
    pub list_mismatch: Notify,
    /// Wakes requests that wait for a routing table or for endpoints.
    pub state_changed: Notify,
    /// Endpoints that recently lost responses or crashed.
    pub crash_watch: Mutex<CrashWatch>,
    /// Requests under which endpoints crashed.
    pub suspects: Suspects,
    /// Shares that operators have set.
    pub shares: ArcSwap<Shares>,
    /// Limits that endpoints announced.
    pub endpoint_limits: EndpointLimits,
    /// Software versions of the endpoints of each service.
    pub service_versions: ServiceVersions,
    /// Software versions at which streams began.
    pub stream_origins: StreamOrigins,
    /// The link and the descriptors that all connections share.
    pub sockets: SocketBudgets,
    /// Whether clients' connections are being rejected.
    pub intake: Arc<IntakeStatus>,
    /// What streams have read ahead of their clients.
    pub(crate) read_ahead: Mutex<ReadAhead>,
    /// What the bodies of requests hold.
    pub(crate) request_bodies: MemoryBudget,
    /// What large bodies of responses hold that are read whole.
    pub(crate) response_bodies: MemoryBudget,
    /// The clients' connections.
    pub(crate) clients: Admission,
    /// Requests in progress.
    pub open_requests: AtomicU32,
    /// How long responses recently took.
    pub(crate) response_times: Mutex<ResponseTimes>,
    /// Whether the grace period of a planned stop is over, so that connections are closed.
    pub is_grace_over: AtomicBool,
    /// End of the time in which this gateway reports that it can't obtain grants, in milliseconds
    /// since the start.
    starved_until_ms: AtomicU64,
    retry_budgets: Mutex<BTreeMap<ServiceId, GatewayRetryBudget>>,
}

/// Timeout for one replica or relay; a commit takes about 10 ms.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(300);
/// A second address of the ledger is tried after this time: five commits, and a quarter of the time
/// that a request waits for tokens.
const HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Fraction of the shared retry budget that is used. The platform may count requests in a window
/// other than this process's; the rest is a reserve for that.
const RETRY_BUDGET_FRACTION: f64 = 0.8;
/// Fraction of this gateway's slack that may be used at once. Together with [`RETRY_REFILL`] it
/// stays below the whole slack in any window.
const RETRY_RESERVE: f64 = 0.5;
/// Fraction of this gateway's slack that is refilled within a window.
const RETRY_REFILL: f64 = 0.3;
/// For how long a gateway that could not pay for a request reports that it is not ready, in
/// milliseconds: the load balancer checks once per second and acts on the second failed check.
const STARVED_TIME_MS: u64 = 2_500;
/// Number of gateways assumed to share the budget until the ledger reports it.
const ASSUMED_GATEWAYS: u32 = 16;

impl Gateway {
    /// Creates a gateway without a routing table, endpoints or grants.
    pub fn new(cfg: GatewaySettings, log: Logger, metrics: Metrics) -> Self {
        let lifecycle = Lifecycle::begin();
        // If the clock was set back, a later incarnation would look older and the ledger would
        // refuse its batches. A random part of the name keeps incarnations apart.
        let name = format!("{}#{:x}", cfg.id, rand::random::<u64>());
        let policy = GrantPolicy::for_gateways(cfg.outage_horizon);
        let grant_account = GrantAccount::new(name.into(), lifecycle.incarnation, policy);
        let grant_account = Arc::new(grant_account);
        let held_prompts = HeldPrompts::new(
            grant_account.clone(),
            cfg.id.clone(),
            lifecycle.incarnation,
            // Room for as many attempts as a process can hold in its life.
            rand::random::<u64>() >> 1,
        );
        Self {
            table: ArcSwapOption::empty(),
            directory: Directory::new(cfg.list.max_lag),
            grant_account,
            held_prompts,
            grants_wanted: Notify::new(),
            ledger: LedgerClient::new(&cfg.ledger)
                .with_replica_timeout(REPLICA_TIMEOUT)
                .with_hedge(HEDGE_DELAY),
            seeds: ArcSwap::from_pointee(cfg.ledger.clone()),
            lifecycle,
            log,
            log_buffer: LogBuffer::default(),
            metrics,
            engine_estimates: EngineEstimates::default(),
            gateway_count: AtomicU32::new(ASSUMED_GATEWAYS),
            gateway_rank: AtomicU32::new(rand::random_range(0..ASSUMED_GATEWAYS)),
            position_since_ms: AtomicU64::new(0),
            version_in_force: AtomicU64::new(0),
            is_counted: AtomicBool::new(false),
            ledger_confirmed_ms: AtomicU64::new(0),
            list_cache: ListCache::default(),
            siblings: Siblings::new(cfg.id.clone(), cfg.zone.id.clone(), cfg.siblings_addr),
            list_read_requested: Notify::new(),
            list_mismatch: Notify::new(),
            state_changed: Notify::new(),
            crash_watch: Mutex::default(),
            suspects: Suspects::default(),
            shares: ArcSwap::default(),
            endpoint_limits: EndpointLimits::default(),
            service_versions: ServiceVersions::default(),
            stream_origins: StreamOrigins::default(),
            sockets: SocketBudgets::new(&cfg.limits),
            intake: Arc::default(),
            read_ahead: Mutex::new(ReadAhead::new(cfg.limits.memory)),
            request_bodies: request_budget(cfg.limits.memory),
            response_bodies: response_budget(cfg.limits.memory),
            clients: Admission::within_memory(connections_bytes(cfg.limits.memory)),
            open_requests: AtomicU32::new(0),
            response_times: Mutex::default(),
            is_grace_over: AtomicBool::new(false),
            starved_until_ms: AtomicU64::new(0),
            retry_budgets: Mutex::default(),
            cfg,
        }
    }

    /// Whether the load balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        let is_initialised = self.table.load().is_some() && !self.directory.is_empty();
        is_initialised && !self.lifecycle.is_draining() && !self.is_starved()
    }

    /// Whether requests were refused recently because the ledger is unreachable and the grants are
    /// used up.
    ///
    /// Failure: one gateway is cut off from the ledger and from all relays. Its clients stay
    /// connected, retry and are refused again, although another gateway could serve them. So this
    /// gateway reports that it is not ready and closes its clients' connections.
    pub fn is_starved(&self) -> bool {
        self.now_ms() < self.starved_until_ms.load(Ordering::Relaxed)
    }

    /// Records that a request could not be paid for because the ledger is unreachable.
    ///
    /// The gateway reports that it is not ready even if it still pays for other requests: one that
    /// is cut off alone would otherwise keep clients that others can serve.
    pub fn mark_starved(&self) {
        let until = self.now_ms() + STARVED_TIME_MS;
        if !self.is_starved() {
            event!(self.log, log_events::GATEWAY_STARVED);
        }
        self.starved_until_ms.store(until, Ordering::Relaxed);
    }

    /// Records that the ledger has answered.
    pub fn clear_starved(&self) {
        self.starved_until_ms.store(0, Ordering::Relaxed);
    }

    /// Sets the buffer of the log.
    pub fn with_log_buffer(mut self, log_buffer: LogBuffer) -> Self {
        self.log_buffer = log_buffer;
        self
    }

    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.lifecycle.now().as_millis()).unwrap_or(u64::MAX)
    }

    /// The position of this gateway among those that share endpoints' rate limits.
    pub(crate) fn share_position(&self) -> RouterRank {
        RouterRank {
            rank: self.gateway_rank.load(Ordering::Relaxed),
            routers: self.gateway_count.load(Ordering::Relaxed),
            since: Duration::from_millis(self.position_since_ms.load(Ordering::Relaxed)),
        }
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_ledger_seeds(&self, seeds: &[SocketAddr]) {
        self.seeds.store(Arc::new(seeds.to_vec()));
        self.ledger.add_addresses(seeds);
    }

    /// This process as a member in the ledger.
    pub fn instance(&self) -> Instance {
        Instance {
            id: self.cfg.id.clone(),
            incarnation: self.lifecycle.incarnation,
            role: Role::Router,
            zone: self.cfg.zone.clone(),
            addr: self.cfg.listen,
            endpoint: None,
        }
    }

    /// Counts the first attempt of a request to a service.
    pub fn count_first_attempt(&self, service: &ServiceId) {
        let now = self.lifecycle.now();
        self.with_retry_budget(service, |budget| budget.record_first_attempt(now));
    }

    /// Whether the budget allows a retry at a service now. Nothing is counted.
    pub fn has_retry(&self, service: &ServiceId) -> bool {
        let now = self.lifecycle.now();
        self.with_retry_budget(service, |budget| budget.has_retry(now))
    }

    /// Whether the budget allows a retry at a service; if so, it is counted.
    pub fn try_count_retry(&self, service: &ServiceId) -> bool {
        let now = self.lifecycle.now();
        let mut rng = rand::rng();
        let count_retry =
            |budget: &mut RetryBudget| budget.next_backoff(now, 1, RetrySafety::Safe, &mut rng);
        let allowed = self.with_retry_budget(service, count_retry).is_some();
        if !allowed {
            self.metrics.count(RETRIES_DENIED);
        }
        allowed
    }

    /// The service's retry budget, adjusted to the current number of gateways.
    fn with_retry_budget<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let gateways = self.gateway_count.load(Ordering::Relaxed).max(1);
        // Sound after a panic elsewhere: the budget stays between zero and the reserve.
        let mut budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entry = budgets
            .entry(service.clone())
            .or_insert_with(|| GatewayRetryBudget {
                gateways,
                budget: RetryBudget::new(self.retry_rule(gateways)),
            });
        if entry.gateways != gateways {
            entry.gateways = gateways;
            let rule = self.retry_rule(gateways);
            entry.budget.set_rule(self.lifecycle.now(), rule);
        }
        f(&mut entry.budget)
    }

    /// This gateway's share of the retry budget, as one of `gateways`.
    fn retry_rule(&self, gateways: u32) -> RetryRule {
        let slack = self.cfg.retry_slack / f64::from(gateways);
        RetryRule {
            retry_ratio: RETRY_BUDGET_FRACTION * self.cfg.retry_fraction,
            max_saved: RETRY_RESERVE * slack,
            refill_per_s: RETRY_REFILL * slack / self.cfg.retry_window.as_secs_f64(),
            max_attempts: u32::MAX,
            ..RetryRule::default()
        }
    }
}

/// The retry budget of this gateway for one service.
struct GatewayRetryBudget {
    /// Number of gateways for which the budget was computed.
    gateways: u32,
    budget: RetryBudget,
}
