//! A ledger and gateways as in production, each at an address of its own.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anvil_gateway::dialect::{Dialect, ListPage, ListSource};
use anvil_gateway::{Gateway, GatewaySettings, run};
use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::command::ReplaceRouting;
use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, Peer};
use anvilreel::evacuation::{self, EvacuationOrder};
use anvilreel::ledger_client::LedgerClient;
use anvilreel::ledger_service::{self, ConfiguredNames, LedgerHandle, Tuning};
use anvilreel::logs::discard;
use anvilreel::metrics::Metrics;
use anvilreel::moment::Moment;
use anvilreel::operator;
use bytes::Bytes;
use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

use crate::client::{Client, ClientResponse};
use crate::dialect::DIALECT;
use crate::endpoint::{Step, TestEndpoint};
use crate::gateway::{listed, routes, settings, table, table_with_warm_up};

/// Number of gateways.
pub const GATEWAYS: u8 = 3;
/// Text of a routing table whose service's endpoints warm up.
const WARM_UP_ROUTES: &str = "routes with warm-up";
/// What the organisation with the key `key` may use, in tokens.
const CREDIT: Tokens = 10_000_000;
/// Longest wait for anything.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A list of the endpoints that the text names, one per line: id, address and, if it is not the
/// gateways' own, availability zone; then `warming-up` if it is, or the software version if it is not
/// the usual one.
pub async fn serve_list(text: impl Fn() -> String + Send + Sync + 'static) -> ListSource {
    let list = TestEndpoint::start(move |_, _| {
        let body = text();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        vec![Step::Send((head + &body).into_bytes())]
    })
    .await;
    ListSource {
        addr: list.addr,
        first_page_path: "/".into(),
        max_lag: Duration::from_millis(300),
        calls_per_second: 50.0,
        parse_page,
    }
}

fn parse_page(bytes: &Bytes) -> Result<ListPage, String> {
    let text = String::from_utf8_lossy(bytes);
    let entry = |line: &str| {
        let mut words = line.split(' ');
        let mut endpoint = listed(words.next()?, words.next()?.parse().ok()?);
        if let Some(zone) = words.next() {
            endpoint.zone = zone.into();
        }
        match words.next() {
            Some("warming-up") => endpoint.warming_up = true,
            Some(version) => endpoint.version = version.into(),
            None => {}
        }
        Some(endpoint)
    };
    let listed = text.lines().map(entry).collect::<Option<Vec<_>>>();
    Ok(ListPage {
        listed: listed.ok_or("a line that names no endpoint")?,
        ..ListPage::default()
    })
}

/// The names in all routing tables of the tests.
fn configured_names() -> ConfiguredNames {
    ConfiguredNames {
        organisations: ["co-op".into()].into(),
        routes: routes().into_iter().map(|route| route.name).collect(),
    }
}

/// A request without a body.
#[derive(Debug, Clone)]
pub struct TestRequest {
    /// Its path.
    pub path: String,
    /// Its headers in addition to its id.
    pub headers: String,
}

impl TestRequest {
    /// A prompt with these parts, at a path of its own.
    pub fn prompt(route: &str, parts: &str) -> Self {
        Self {
            path: format!("{route}{}", new_id()),
            headers: format!("x-tokens: 200,30\r\nx-parts: {parts}\r\n"),
        }
    }

    /// The same request of the organisation with the key `key`.
    pub fn paid(mut self) -> Self {
        self.headers += "x-key: key\r\n";
        self
    }
}

/// An id that no other request has.
pub fn new_id() -> String {
    format!("id-{:x}", rand::random::<u64>())
}

/// A gateway in its own runtime, which ends together with all its tasks.
struct GatewayProcess {
    runtime: Option<Runtime>,
    gw: Arc<Gateway>,
}

impl GatewayProcess {
    fn start(gw: Gateway) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let gw = Arc::new(gw);
        let running = gw.clone();
        runtime.spawn(async move {
            let never = std::future::pending();
            run(running, never).await.expect("a gateway that listens");
        });
        Self {
            runtime: Some(runtime),
            gw,
        }
    }

    /// Ends it without a planned stop.
    async fn kill(mut self) {
        let runtime = self.runtime.take().expect("a running gateway");
        let ending = spawn_blocking(|| runtime.shutdown_timeout(WAIT_TIMEOUT));
        ending.await.expect("the runtime stopped");
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A ledger and its gateways, each at an address of its own.
pub struct Processes {
    /// Second and third part of its addresses; drawn, as tests run side by side.
    subnet: [u8; 2],
    data: TempDir,
    list: ListSource,
    /// Setting of the gateways.
    outage_horizon: Option<Duration>,
    ledger: Option<(oneshot::Sender<()>, LedgerHandle)>,
    gateways: Vec<GatewayProcess>,
}

impl Processes {
    /// Starts them; `list` names the endpoints as in [`serve_list`].
    pub async fn start(list: impl Fn() -> String + Send + Sync + 'static) -> Self {
        Self::start_configured("routes", None, list).await
    }

    /// The same with endpoints that warm up after a start.
    pub async fn start_with_warm_up(list: impl Fn() -> String + Send + Sync + 'static) -> Self {
        Self::start_configured(WARM_UP_ROUTES, None, list).await
    }

    /// The same with gateways that hold tokens for an outage of the ledger.
    pub async fn start_with_outage_horizon(
        horizon: Duration,
        list: impl Fn() -> String + Send + Sync + 'static,
    ) -> Self {
        Self::start_configured("routes", Some(horizon), list).await
    }

    async fn start_configured(
        routes: &str,
        outage_horizon: Option<Duration>,
        list: impl Fn() -> String + Send + Sync + 'static,
    ) -> Self {
        let mut processes = Self {
            subnet: [rand::random_range(1..=250), rand::random()],
            data: tempfile::tempdir().expect("a folder"),
            list: serve_list(list).await,
            outage_horizon,
            ledger: None,
            gateways: Vec::new(),
        };
        processes.start_processes().await;
        processes.store_routes(routes).await;
        processes.wait_until_serving().await;
        processes
    }

    fn ip(&self, number: u8) -> Ipv4Addr {
        let [second, third] = self.subnet;
        Ipv4Addr::new(127, second, third, number)
    }

    fn ledger_addr(&self) -> SocketAddr {
        (self.ip(200), 17_340).into()
    }

    fn client_addr(&self, gateway: u8) -> SocketAddr {
        (self.ip(gateway), 18_227).into()
    }

    /// Starts all processes on the ledger's existing data.
    async fn start_processes(&mut self) {
        let addr = self.ledger_addr();
        let id = InstanceId::from("ledger-1");
        let cfg = LedgerSettings {
            id: id.clone(),
            zone: Zone::default(),
            wire_listen: addr,
            bind: None,
            data: self.data.path().to_owned(),
            founders: vec![Peer { id, addr }],
            join: false,
            log_json: false,
            statsd: None,
        };
        let (stop, stopped) = oneshot::channel();
        let stopped = async { drop(stopped.await) };
        let tuning = Tuning {
            parse_names: Some(|_| Some(configured_names())),
            ..Tuning::default()
        };
        let ledger = ledger_service::start(cfg, tuning, discard(), stopped).await;
        self.ledger = Some((stop, ledger.expect("a ledger")));
        for number in 0..GATEWAYS {
            let gateway = self.start_gateway(number);
            self.gateways.push(gateway);
        }
    }

    fn start_gateway(&self, number: u8) -> GatewayProcess {
        let cfg = GatewaySettings {
            id: format!("gateway-{number}").into(),
            listen: self.client_addr(number),
            ready_listen: (self.ip(number), 18_220).into(),
            siblings_addr: (self.ip(number), 17_342).into(),
            ledger: vec![self.ledger_addr()],
            list: self.list.clone(),
            outage_horizon: self.outage_horizon,
            dialect: Dialect {
                parse_table: |text| match text {
                    WARM_UP_ROUTES => Ok(table_with_warm_up(1)),
                    _ => Ok(table(1, routes())),
                },
                ..DIALECT
            },
            ..settings()
        };
        GatewayProcess::start(Gateway::new(cfg, discard(), Metrics::disabled("gateway")))
    }

    async fn store_routes(&self, routes: &str) {
        let ledger = LedgerClient::new(&[self.ledger_addr()]);
        let routing = Command::ReplaceRouting(ReplaceRouting {
            operator: "wanjiru".into(),
            version: 1,
            text: routes.into(),
            credits: BTreeMap::from([("co-op".into(), CREDIT)]),
            at: std::time::UNIX_EPOCH,
        });
        ledger
            .propose(routing, WAIT_TIMEOUT)
            .await
            .expect("accepted");
    }

    /// Waits until each gateway serves requests.
    async fn wait_until_serving(&self) {
        for number in 0..GATEWAYS {
            self.wait_until_gateway_serves(number).await;
        }
    }

    /// Waits until each gateway knows all others, without which it tells them nothing.
    pub async fn wait_until_siblings_are_known(&self) {
        let ids: Vec<_> = self.gateways.iter().map(|p| p.gw.cfg.id.clone()).collect();
        let known = async {
            for gateway in &self.gateways {
                let is_known = |id: &InstanceId| {
                    *id == gateway.gw.cfg.id || gateway.gw.siblings.members().contains_key(id)
                };
                while !ids.iter().all(is_known) {
                    sleep(Duration::from_millis(20)).await;
                }
            }
        };
        timeout(WAIT_TIMEOUT, known).await.expect("all are known");
    }

    async fn wait_until_gateway_serves(&self, number: u8) {
        let served = async {
            while self.send_request(number, "/once/x", "fine").await.status != 200 {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(WAIT_TIMEOUT, served)
            .await
            .expect("a gateway serves");
    }

    /// Tokens billed to the prepaid organisation, according to the ledger.
    pub async fn billed(&self) -> Tokens {
        let ledger = LedgerClient::new(&[self.ledger_addr()]);
        let query = Query::Balances(vec!["co-op".into()]);
        match ledger.query(query, WAIT_TIMEOUT).await {
            Ok(QueryAnswer::Balances(balances)) => balances["co-op"].billed,
            other => panic!("{other:?}"),
        }
    }

    /// An operator's client of the ledger.
    pub fn operator(&self) -> operator::Client {
        operator::Client::new(&[self.ledger_addr()])
    }

    /// Commits an operator's order for a zone, and returns when it is acknowledged.
    pub async fn order_evacuation(&self, zone: &str, evacuated: bool) {
        let ledger = LedgerClient::new(&[self.ledger_addr()]);
        let order = EvacuationOrder {
            zone: zone.into(),
            evacuated,
            operator: "wanjiru".into(),
        };
        evacuation::commit(&ledger, &order, Moment::now(), WAIT_TIMEOUT)
            .await
            .expect("acknowledged");
    }

    /// Starts one more gateway.
    pub async fn add_gateway(&mut self, number: u8) {
        self.gateways.push(self.start_gateway(number));
        self.wait_until_gateway_serves(number).await;
    }

    /// Ends one gateway without a planned stop, and starts it again at its address.
    pub async fn restart_gateway(&mut self, gateway: u8) {
        let restarted = usize::from(gateway);
        self.gateways.remove(restarted).kill().await;
        self.gateways.insert(restarted, self.start_gateway(gateway));
        self.wait_until_gateway_serves(gateway).await;
    }

    /// Ends one gateway without a planned stop.
    pub async fn kill_gateway(&mut self, gateway: usize) {
        self.gateways.remove(gateway).kill().await;
    }

    /// Ends all processes as in a power failure, and starts them again.
    pub async fn lose_power(&mut self) {
        for gateway in self.gateways.drain(..) {
            gateway.kill().await;
        }
        self.stop_ledger().await;
        self.start_processes().await;
        self.wait_until_serving().await;
    }

    /// Ends the ledger.
    pub async fn stop_ledger(&mut self) {
        if let Some((stop, ledger)) = self.ledger.take() {
            let _ = stop.send(());
            ledger.stopped().await;
        }
    }

    /// A client that is connected to a gateway.
    pub async fn connect(&self, gateway: u8) -> Client {
        Client::connect(self.client_addr(gateway)).await
    }

    /// Sends one request to a gateway; status 0 if it does not answer.
    pub async fn send_request(&self, gateway: u8, path: &str, body: &str) -> ClientResponse {
        let Ok(mut client) = Client::try_connect(self.client_addr(gateway)).await else {
            return ClientResponse::default();
        };
        client.request_with_body(path, &new_id(), body).await
    }

    /// Sends a request to a gateway; status 0 if the gateway does not answer.
    pub async fn send(&self, gateway: u8, req: &TestRequest) -> ClientResponse {
        let Ok(mut client) = Client::try_connect(self.client_addr(gateway)).await else {
            return ClientResponse::default();
        };
        client.request(&req.path, &new_id(), &req.headers).await
    }
}
