//! Everything that the requests of one process share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvil_policy::crash::CrashWatch;
use anvil_policy::engine::EngineRule;
use anvil_policy::rate_share::Turn;
use anvil_policy::retry::{Repeat, RetryBudget, RetryRule};
use anvil_world::prelude::*;
use anvilreel::event;
use anvilreel::ledger_client::LedgerClient;
use anvilreel::life::Life;
use anvilreel::logs::Dropped;
use anvilreel::metrics::Metrics;
use anvilreel::money::{GrantPolicy, Purse};
use arc_swap::{ArcSwap, ArcSwapOption};
use slog::Logger;
use tokio::sync::Notify;

use crate::dialect::{Dialect, ListSource};
use crate::directory::Directory;
use crate::endpoint_limits::EndpointLimits;
use crate::listing::Listings;
use crate::log_events;
use crate::metrics::TRIES_DENIED;
use crate::siblings::Siblings;
use crate::suspects::Suspects;
use crate::table::RouteTable;

/// What a gateway is told at its start.
#[derive(Clone)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub id: InstanceId,
    /// Where it stands.
    pub zone: Zone,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether this process takes connections.
    pub ready_listen: SocketAddr,
    /// Replicas of the ledger that are known at the start.
    pub ledger: Vec<SocketAddr>,
    /// The platform's list of endpoints.
    pub list: ListSource,
    /// How the platform speaks.
    pub dialect: Dialect,
    /// Time between a planned stop's signal and its end.
    pub grace: Duration,
    /// Tries beyond the first that all gateways together may make, as a part of the requests.
    pub retry_part: f64,
    /// Tries beyond that part that all gateways together may make within [`Self::retry_window`].
    pub retry_slack: f64,
    /// See [`Self::retry_slack`].
    pub retry_window: Duration,
    /// Where siblings ask this gateway; all gateways answer at the same port.
    pub siblings: SocketAddr,
    /// Where it listens for them, if the address above is passed on to it by something between.
    pub siblings_bind: Option<SocketAddr>,
    /// Oldest that the platform's list may grow before it is read again.
    pub list_within: Duration,
}

/// One gateway process.
pub struct Gateway {
    /// What it was told.
    pub cfg: GatewaySettings,
    /// The routing table in force.
    pub table: ArcSwapOption<RouteTable>,
    /// The endpoints.
    pub directory: Directory,
    /// Grants.
    pub purse: Arc<Purse>,
    /// Wakes the task that talks to the ledger about money.
    pub money_wanted: Notify,
    /// Clock and wish to leave.
    pub life: Life,
    /// The way to the ledger.
    pub ledger: LedgerClient,
    /// Replicas that the settings name.
    pub seeds: ArcSwap<Vec<SocketAddr>>,
    /// Where log lines go.
    pub log: Logger,
    /// Log lines that were dropped.
    pub dropped: Dropped,
    /// What is measured.
    pub metrics: Metrics,
    /// How engines are judged.
    pub rule: EngineRule,
    /// Gateways that are alive, as the ledger knows them; this one among them.
    pub gateways: AtomicU32,
    /// The place of this one among them.
    pub rank: AtomicU32,
    /// When the ledger last said that what is held here is current, in milliseconds of the life.
    pub confirmed: AtomicU64,
    /// The platform's list.
    pub listings: Listings,
    /// The other gateways of the availability zone.
    pub siblings: Siblings,
    /// Wakes the task that reads the platform's list: a sibling has found it wrong.
    pub read_wanted: Notify,
    /// Wakes the task that reads the platform's list: an endpoint was another one than listed.
    pub list_doubted: Notify,
    /// Wakes requests that wait for a routing table or for endpoints.
    pub news: Notify,
    /// Endpoints that lost answers or crashed lately.
    pub crashes: Mutex<CrashWatch>,
    /// Requests under which endpoints crashed.
    pub suspects: Suspects,
    /// Limits that endpoints announced.
    pub endpoint_limits: EndpointLimits,
    /// Requests under way.
    pub open: AtomicU32,
    /// In milliseconds of the life: until then this gateway can't pay for what it is asked.
    starved_until: AtomicU64,
    retries: Mutex<BTreeMap<ServiceId, OwnRetries>>,
}

/// Longest wait for one replica's or relay's answer; a commit takes some 10 ms.
const ONE_REPLICA: Duration = Duration::from_millis(300);
/// A second way to the ledger is asked after this time: five commits, and a quarter of the time
/// that a request waits for money.
const SECOND_WAY: Duration = Duration::from_millis(50);
/// Part of the shared retry budget that is used. The rest covers requests that the platform
/// counts in another window than this process does.
const RETRY_MARGIN: f64 = 0.8;
/// Part of this gateway's slack that may be used at once. With [`RETRY_REFILL`] it stays below
/// the whole slack in any window.
const RETRY_RESERVE: f64 = 0.5;
/// Part of this gateway's slack that comes back within a window.
const RETRY_REFILL: f64 = 0.3;
/// For how long a gateway that could not pay for a request asks for no new clients, in
/// milliseconds: the balancer looks once a second and believes the second refusal.
const STARVED_MS: u64 = 2_500;
/// Gateways that are assumed to share the budget before the ledger has told how many there are.
const GATEWAYS_UNTIL_TOLD: u32 = 16;

/// Sizes of grants where no sidecar gives evidence of a lost gateway's spending: all that is left
/// in its grants counts as spent.
///
/// So little lies ready, and a request that finds too little asks the ledger, which answers
/// within some 10 ms. The horizon bounds what a lost gateway costs: 0.7 s of its demand, as a mean
/// over the last second, beside what its running requests have set aside.
fn grant_policy() -> GrantPolicy {
    GrantPolicy {
        horizon: Duration::from_millis(700),
        // Some five batches, and about as long as a prompt's answer takes.
        smooth_over: Some(Duration::from_secs(1)),
        patience: Duration::from_millis(450),
        recall_patience: Duration::from_millis(120),
        // Four batches: the ledger calls back with one, routers give back with the next, and a lost one is sent
        // again.
        recalled_within: Duration::from_millis(800),
        row_within: Duration::from_secs(10),
        idle: Duration::from_millis(400),
        batch_every: Duration::from_millis(200),
        urgent_every: Duration::from_millis(10),
        verdict_holds: Duration::from_millis(300),
        spare_requests: 0,
        least_expected: 1.0,
        ..GrantPolicy::default()
    }
}

impl Gateway {
    /// Before anything is known.
    pub fn new(cfg: GatewaySettings, log: Logger, metrics: Metrics) -> Self {
        let life = Life::begin();
        // A clock that was set back makes a later life look older, and the ledger would refuse
        // its batches. So the life is a part of the name.
        let name = format!("{}#{:x}", cfg.id, rand::random::<u64>());
        let purse = Purse::new(name.into(), life.incarnation, grant_policy());
        Self {
            table: ArcSwapOption::empty(),
            directory: Directory::default(),
            purse: Arc::new(purse),
            money_wanted: Notify::new(),
            ledger: LedgerClient::new(&cfg.ledger)
                .with_patience(ONE_REPLICA)
                .with_hedge(SECOND_WAY),
            seeds: ArcSwap::from_pointee(cfg.ledger.clone()),
            life,
            log,
            dropped: Dropped::default(),
            metrics,
            rule: EngineRule::default(),
            gateways: AtomicU32::new(GATEWAYS_UNTIL_TOLD),
            rank: AtomicU32::new(rand::random_range(0..GATEWAYS_UNTIL_TOLD)),
            confirmed: AtomicU64::new(0),
            listings: Listings::default(),
            siblings: Siblings::of(cfg.id.clone(), cfg.siblings),
            read_wanted: Notify::new(),
            list_doubted: Notify::new(),
            news: Notify::new(),
            crashes: Mutex::default(),
            suspects: Suspects::default(),
            endpoint_limits: EndpointLimits::default(),
            open: AtomicU32::new(0),
            starved_until: AtomicU64::new(0),
            retries: Mutex::default(),
            cfg,
        }
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        let knows = self.table.load().is_some() && !self.directory.is_empty();
        knows && !self.life.is_leaving() && !self.is_starved()
    }

    /// Whether requests were refused lately because no way leads to the ledger and the grants
    /// are used up.
    ///
    /// Failure: one gateway is cut off from the ledger and from all relays. Its clients stay, are
    /// refused, come back and are refused again, while the gateway beside it could serve them.
    /// So it asks the balancer for no more clients and closes the connections of those it has.
    pub fn is_starved(&self) -> bool {
        self.now_ms() < self.starved_until.load(Ordering::Relaxed)
    }

    /// A request could not be paid for, because the ledger can't be reached.
    pub fn starve(&self) {
        let until = self.now_ms() + STARVED_MS;
        if !self.is_starved() {
            event!(self.log, log_events::GATEWAY_STARVED);
        }
        self.starved_until.store(until, Ordering::Relaxed);
    }

    /// The ledger has answered.
    pub fn fed(&self) {
        self.starved_until.store(0, Ordering::Relaxed);
    }

    /// With what the log had to drop.
    pub fn with_dropped(mut self, dropped: Dropped) -> Self {
        self.dropped = dropped;
        self
    }

    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.life.now().as_millis()).unwrap_or(u64::MAX)
    }

    /// This gateway among those that share what an endpoint takes.
    pub(crate) fn turn(&self) -> Turn {
        Turn {
            rank: self.rank.load(Ordering::Relaxed),
            routers: self.gateways.load(Ordering::Relaxed),
        }
    }

    /// Takes other seeds, as the settings name them now.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.seeds.store(Arc::new(seeds.to_vec()));
        self.ledger.add_ways(seeds);
    }

    /// This process, as the ledger knows it.
    pub fn instance(&self) -> Instance {
        Instance {
            id: self.cfg.id.clone(),
            incarnation: self.life.incarnation,
            role: Role::Router,
            zone: self.cfg.zone.clone(),
            addr: self.cfg.listen,
            endpoint: None,
        }
    }

    /// Counts a first try at a service.
    pub fn first_try(&self, service: &ServiceId) {
        let now = self.life.now();
        self.with_retries(service, |budget| budget.first_try(now));
    }

    /// Whether one more try at a service is within the budget; it is counted when it is.
    pub fn may_try_again(&self, service: &ServiceId) -> bool {
        let now = self.life.now();
        let mut rng = rand::rng();
        let again = |budget: &mut RetryBudget| budget.again(now, 1, Repeat::Safe, &mut rng);
        let allowed = self.with_retries(service, again).is_some();
        if !allowed {
            self.metrics.count(TRIES_DENIED);
        }
        allowed
    }

    /// The budget of a service, by the number of gateways as it is known now.
    fn with_retries<T>(&self, service: &ServiceId, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let gateways = self.gateways.load(Ordering::Relaxed).max(1);
        // A panic elsewhere leaves a number between nothing and the reserve.
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        let own = retries
            .entry(service.clone())
            .or_insert_with(|| OwnRetries {
                gateways,
                budget: RetryBudget::new(self.retry_rule(gateways)),
            });
        if own.gateways != gateways {
            own.gateways = gateways;
            let rule = self.retry_rule(gateways);
            own.budget.set_rule(self.life.now(), rule);
        }
        f(&mut own.budget)
    }

    /// This gateway's part of what all may do, as one of so many.
    fn retry_rule(&self, gateways: u32) -> RetryRule {
        let slack = self.cfg.retry_slack / f64::from(gateways);
        RetryRule {
            part: RETRY_MARGIN * self.cfg.retry_part,
            reserve: RETRY_RESERVE * slack,
            each_second: RETRY_REFILL * slack / self.cfg.retry_window.as_secs_f64(),
            most_tries: u32::MAX,
            ..RetryRule::default()
        }
    }
}

/// The tries beyond the first that this gateway may make at one service.
struct OwnRetries {
    /// For how many gateways it was reckoned.
    gateways: u32,
    budget: RetryBudget,
}
