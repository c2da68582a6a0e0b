//! A gateway with a routing table and endpoints that are set by the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_gateway::accept::resource_limits::ResourceLimits;
use anvil_gateway::dialect::{ListPage, ListSource};
use anvil_gateway::list::discovery;
use anvil_gateway::regions::AllowedRegions;
use anvil_gateway::table::{
    Engine, Limits, Organisation, RetryMode, Route, RouteTable, Service, TableParts, WarmUp,
};
use anvil_gateway::{Gateway, GatewaySettings, serve};
use anvil_policy::rate_share::BurstTolerance;
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvilreel::metrics::Metrics;
use bytes::Bytes;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;

use crate::dialect::DIALECT;
use crate::endpoint::TestEndpoint;

/// The service of all routes in the tests.
pub const SERVICE: &str = "desk";

/// A running gateway.
pub struct TestGateway {
    /// Its shared state.
    pub gw: Arc<Gateway>,
    /// Address for clients.
    pub addr: SocketAddr,
    /// Completes when the planned stop has finished.
    pub serving: tokio::task::JoinHandle<()>,
}

/// One route for each retry mode: `/idempotent/`, `/once/`, `/stream/` and `/resumed/`.
pub fn routes() -> Vec<Route> {
    let route = |name: &str, retry_mode| Route {
        name: name.into(),
        host: "shop".into(),
        prefix: format!("/{name}/").into(),
        retry_mode,
        timeout: Duration::from_secs(3),
        target_latency: Duration::from_millis(150),
        max_gap: Some(Duration::from_millis(100)),
        priority_class: 1,
        services: vec![(SERVICE.into(), 1)],
        max_attempts: 2,
        public: true,
        regions: AllowedRegions::default(),
    };
    vec![
        route("idempotent", RetryMode::Idempotent),
        route("once", RetryMode::AtMostOnce),
        route("stream", RetryMode::StreamAtMostOnce),
        route("resumed", RetryMode::ResumableStream),
    ]
}

/// A table with these routes and one prepaid organisation whose key is `key`.
pub fn table(version: RoutingVersion, routes: Vec<Route>) -> RouteTable {
    let organisation = Organisation {
        id: "co-op".into(),
        priority_class: None,
        is_prepaid: true,
        regions: AllowedRegions::default(),
    };
    let service = Service {
        id: SERVICE.into(),
        max_connections: 100,
        engine: Some(Engine {
            concurrent_requests: 8,
            memory_tokens: 100_000,
            tokens_per_event: 3,
            bytes_per_token: 1e4,
            link_mbps: 1e5,
        }),
        warm_up: None,
    };
    RouteTable::from(TableParts {
        version,
        routes,
        services: vec![service],
        organisations: vec![(organisation, vec!["key".into()])],
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 10_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

/// The same table, with endpoints that warm up after a start.
pub fn table_with_warm_up(version: RoutingVersion) -> RouteTable {
    let mut table = table(version, routes());
    for service in table.services.values_mut() {
        service.warm_up = Some(WARM_UP);
    }
    table
}

/// How endpoints warm up in the tests that have them do so.
pub const WARM_UP: WarmUp = WarmUp {
    duration: Duration::from_mins(1),
    rate: 10_000,
};

/// An endpoint as the platform would list it.
pub fn listed(id: &str, addr: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        service: SERVICE.into(),
        addr,
        zone: "local-a".into(),
        version: "v1".into(),
        slots: 8,
        leaving: false,
        warming_up: false,
    }
}

/// Settings of a gateway that can't connect to anything.
pub fn settings() -> GatewaySettings {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    GatewaySettings {
        id: "gateway-1".into(),
        zone: Zone::default(),
        regions_by_zone: [
            ("local-a".into(), "local".into()),
            ("local-b".into(), "local".into()),
            ("away-a".into(), "away".into()),
        ]
        .into(),
        listen: nowhere,
        ready_listen: nowhere,
        ledger: Vec::new(),
        list: ListSource {
            addr: nowhere,
            first_page_path: "/".into(),
            max_lag: Duration::from_millis(300),
            calls_per_second: 50.0,
            parse_page: |_: &Bytes| Ok(ListPage::default()),
        },
        dialect: DIALECT,
        grace_period: Duration::from_secs(4),
        retry_fraction: 0.2,
        retry_slack: 200.0,
        retry_window: Duration::from_secs(10),
        siblings_addr: nowhere,
        siblings_bind: None,
        max_list_age: Duration::from_secs(1),
        warm_up_tolerance: BurstTolerance::within_a_second(1.5, 5.0),
        limits: ResourceLimits::default(),
        outage_horizon: None,
    }
}

impl TestGateway {
    /// A gateway with these endpoints and the default routes. The first endpoint is preferred while
    /// it works.
    pub async fn start(endpoints: &[(&str, &TestEndpoint)]) -> Self {
        let log = Logger::root(Discard, o!());
        Self::start_with(endpoints, log, Metrics::disabled("gateway")).await
    }

    /// The same with a log and metrics.
    pub async fn start_with(
        endpoints: &[(&str, &TestEndpoint)],
        log: Logger,
        metrics: Metrics,
    ) -> Self {
        Self::start_configured(settings(), endpoints, log, metrics).await
    }

    /// The same with settings.
    pub async fn start_configured(
        cfg: GatewaySettings,
        endpoints: &[(&str, &TestEndpoint)],
        log: Logger,
        metrics: Metrics,
    ) -> Self {
        let gateway = Self::start_without_state(cfg, log, metrics).await;
        let mut list: Vec<_> = endpoints.iter().map(|(id, e)| listed(id, e.addr)).collect();
        // Only the first one is in the gateway's zone, so it is tried first.
        for other in list.iter_mut().skip(1) {
            other.zone = "local-b".into();
        }
        gateway.gw.directory.apply_list(&list);
        gateway.record_versions(&list);
        gateway.gw.table.store(Some(Arc::new(table(1, routes()))));
        gateway
    }

    /// Records the versions in a list, at the gateway and in what it knows of the ledger.
    pub fn record_versions(&self, list: &[ListedEndpoint]) {
        let mut recorded = RecordedVersions::default();
        for listed in list {
            recorded.add(&listed.service, &[listed.version.clone()].into());
        }
        self.gw.record_listed_versions(list);
        self.gw.apply_ledger_versions(Some(&recorded));
    }

    /// A gateway with the default routes that has had no list of endpoints.
    pub async fn start_without_list() -> Self {
        let gateway = Self::start_empty().await;
        let table = Arc::new(table(1, routes()));
        gateway.gw.table.store(Some(table));
        gateway
    }

    /// A gateway without routing table and endpoints.
    pub async fn start_empty() -> Self {
        let log = Logger::root(Discard, o!());
        Self::start_without_state(settings(), log, Metrics::disabled("gateway")).await
    }

    /// A gateway with the default routes that reads a list of endpoints regularly.
    pub async fn start_reading_list(list: ListSource, max_list_age: Duration) -> Self {
        let cfg = GatewaySettings {
            list,
            max_list_age,
            ..settings()
        };
        let log = Logger::root(Discard, o!());
        let gateway = Self::start_without_state(cfg, log, Metrics::disabled("gateway")).await;
        gateway.gw.table.store(Some(Arc::new(table(1, routes()))));
        let gw = gateway.gw.clone();
        gw.siblings.update_members(std::iter::empty());
        tokio::spawn(async move { discovery::run(&gw).await });
        gateway
    }

    /// A gateway that accepts clients on this listener, with one endpoint.
    pub fn start_on(listener: TcpListener, endpoint: SocketAddr, metrics: Metrics) -> Self {
        let log = Logger::root(Discard, o!());
        let gateway = Self::serve_on(listener, settings(), log, metrics);
        gateway.gw.directory.apply_list(&[listed("a", endpoint)]);
        gateway.gw.table.store(Some(Arc::new(table(1, routes()))));
        gateway
    }

    /// A gateway with these settings, without routing table and endpoints.
    pub async fn start_without_state(cfg: GatewaySettings, log: Logger, metrics: Metrics) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::serve_on(listener, cfg, log, metrics)
    }

    fn serve_on(
        listener: TcpListener,
        cfg: GatewaySettings,
        log: Logger,
        metrics: Metrics,
    ) -> Self {
        let addr = listener.local_addr().expect("an address");
        let gw = Arc::new(Gateway::new(cfg, log, metrics));
        let listener = serve::client_listener(&gw, listener).expect("a listener");
        let serving = tokio::spawn(serve::serve_clients(gw.clone(), listener));
        Self { gw, addr, serving }
    }
}
