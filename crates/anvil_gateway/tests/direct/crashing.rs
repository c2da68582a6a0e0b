//! A ledger and several gateways before endpoints that crash under one request.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvil_gateway::dialect::{Dialect, ListPage, ListSource};
use anvil_gateway::{Gateway, GatewaySettings, run};
use anvil_world::command::ReplaceRouting;
use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, Peer};
use anvilreel::ledger_client::LedgerClient;
use anvilreel::ledger_service::{self, LedgerHandle, Tuning};
use anvilreel::logs::silent;
use anvilreel::metrics::Metrics;
use bytes::Bytes;
use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;
use tokio::time::{Instant, sleep, timeout};

use crate::client::{Client, Got};
use crate::dialect::DIALECT;
use crate::endpoint::{Endpoint, Received, Step, answer};
use crate::fleet::{Fleet, listed, routes, settings, table};

/// Gateways that callers are spread over.
const GATEWAYS: u8 = 3;
/// Endpoints that run at once.
const ENDPOINTS: usize = 6;
/// Body of the request that crashes each endpoint which begins to run it.
const POISON: &str = "crash";
/// A crashed endpoint stays on the list for so long.
const LISTED_FOR: Duration = Duration::from_millis(500);
/// A crashed endpoint is back, in another life, after this time.
const BACK_AFTER: Duration = Duration::from_millis(700);
/// Endpoints that may crash under a request before it must be kept from them.
const CRASHES: usize = 3;
/// Time in which all gateways know of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Arrivals later than that which are borne.
const STRAYS: usize = 3;
/// Longest wait for anything in these tests.
const PATIENCE: Duration = Duration::from_secs(10);

/// The endpoints of one test, and when each of them crashed.
#[derive(Clone, Default)]
struct Endpoints {
    listed: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
    crashes: Arc<Mutex<Vec<Instant>>>,
    begun: Arc<Mutex<usize>>,
}

impl Endpoints {
    async fn start(&self) {
        let own = self.clone();
        let number = {
            let mut begun = self.begun.lock().expect("a number");
            *begun += 1;
            *begun
        };
        let id = format!("life-{number}");
        let name = id.clone();
        let endpoint = Endpoint::start(move |_, req| own.behave(&name, req)).await;
        let mut listed = self.listed.lock().expect("a list");
        listed.insert(id, endpoint.addr);
    }

    fn behave(&self, id: &str, req: &Received) -> Vec<Step> {
        if req.body != POISON.as_bytes() {
            return vec![Step::Send(answer(req, "ran"))];
        }
        self.crashes.lock().expect("times").push(Instant::now());
        let (own, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move {
            sleep(LISTED_FOR).await;
            own.listed.lock().expect("a list").remove(&id);
            sleep(BACK_AFTER.saturating_sub(LISTED_FOR)).await;
            own.start().await;
        });
        vec![Step::Crash]
    }

    fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().expect("times").clone()
    }

    fn text(&self) -> String {
        let listed = self.listed.lock().expect("a list");
        let lines = listed.iter().map(|(id, addr)| format!("{id} {addr}\n"));
        lines.collect()
    }

    async fn list(&self) -> ListSource {
        let own = self.clone();
        let list = Endpoint::start(move |_, _| {
            let body = own.text();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            vec![Step::Send((head + &body).into_bytes())]
        })
        .await;
        ListSource {
            addr: list.addr,
            path: "/".into(),
            lag: Duration::from_millis(300),
            calls_per_second: 50.0,
            page,
        }
    }
}

fn page(bytes: &Bytes) -> Result<ListPage, String> {
    let text = String::from_utf8_lossy(bytes);
    let entry = |line: &str| {
        let (id, addr) = line.split_once(' ')?;
        Some(listed(id, addr.parse().ok()?))
    };
    let listed = text.lines().map(entry).collect::<Option<Vec<_>>>();
    Ok(ListPage {
        listed: listed.ok_or("a line that names no endpoint")?,
        ..ListPage::default()
    })
}

/// A gateway in a runtime of its own, which ends with all it has started.
struct Running {
    runtime: Option<Runtime>,
}

impl Running {
    fn start(gw: Gateway) -> Self {
        let runtime = Runtime::new().expect("threads");
        runtime.spawn(async move {
            let never = std::future::pending();
            run(Arc::new(gw), never)
                .await
                .expect("a gateway that listens");
        });
        Self {
            runtime: Some(runtime),
        }
    }

    /// Ends it without a planned stop.
    async fn kill(mut self) {
        let runtime = self.runtime.take().expect("it runs");
        let ending = spawn_blocking(|| runtime.shutdown_timeout(PATIENCE));
        ending.await.expect("ended");
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A ledger and its gateways, each at an address of its own.
struct Processes {
    net: u8,
    data: TempDir,
    list: ListSource,
    ledger: Option<(oneshot::Sender<()>, LedgerHandle)>,
    gateways: Vec<Running>,
}

impl Processes {
    async fn start(endpoints: &Endpoints) -> Self {
        for _ in 0..ENDPOINTS {
            endpoints.start().await;
        }
        let mut processes = Self {
            net: rand::random_range(1..=250),
            data: tempfile::tempdir().expect("a folder"),
            list: endpoints.list().await,
            ledger: None,
            gateways: Vec::new(),
        };
        processes.begin().await;
        processes.put_routes().await;
        processes.serve().await;
        processes
    }

    fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 11, number)
    }

    fn ledger_addr(&self) -> SocketAddr {
        (self.ip(200), 17_340).into()
    }

    fn front(&self, gateway: u8) -> SocketAddr {
        (self.ip(gateway), 18_227).into()
    }

    /// Starts all processes, on whatever the ledger's disk holds.
    async fn begin(&mut self) {
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
        let ledger = ledger_service::start(cfg, Tuning::default(), silent(), stopped).await;
        self.ledger = Some((stop, ledger.expect("a ledger")));
        for number in 0..GATEWAYS {
            let gateway = self.gateway(number);
            self.gateways.push(gateway);
        }
    }

    fn gateway(&self, number: u8) -> Running {
        let cfg = GatewaySettings {
            id: format!("gateway-{number}").into(),
            listen: self.front(number),
            ready_listen: (self.ip(number), 18_220).into(),
            siblings: (self.ip(number), 17_342).into(),
            ledger: vec![self.ledger_addr()],
            list: self.list.clone(),
            dialect: Dialect {
                table: |_| Ok(table(1, routes())),
                ..DIALECT
            },
            ..settings()
        };
        Running::start(Gateway::new(cfg, silent(), Metrics::silent("gateway")))
    }

    async fn put_routes(&self) {
        let ledger = LedgerClient::new(&[self.ledger_addr()]);
        let routing = Command::ReplaceRouting(ReplaceRouting {
            operator: "wanjiru".into(),
            version: 1,
            text: "routes".into(),
            credits: BTreeMap::new(),
            at: std::time::UNIX_EPOCH,
        });
        ledger.propose(routing, PATIENCE).await.expect("taken");
    }

    /// Waits until each gateway serves.
    async fn serve(&self) {
        for number in 0..GATEWAYS {
            let served = async {
                while self.ask(number, "/once/x", "fine").await.status != 200 {
                    sleep(Duration::from_millis(50)).await;
                }
            };
            timeout(PATIENCE, served).await.expect("a gateway serves");
        }
    }

    /// All processes lose power and begin again.
    async fn lose_power(&mut self) {
        for gateway in self.gateways.drain(..) {
            gateway.kill().await;
        }
        if let Some((stop, ledger)) = self.ledger.take() {
            let _ = stop.send(());
            ledger.stopped().await;
        }
        self.begin().await;
        self.serve().await;
    }

    async fn ask(&self, gateway: u8, path: &str, body: &str) -> Got {
        let id = format!("id-{:x}", rand::random::<u64>());
        let Ok(mut client) = Client::try_connect(self.front(gateway)).await else {
            return Got::default();
        };
        client.ask_with(path, &id, body).await
    }

    /// The same request again and again, at one gateway after the other.
    async fn repeat(&self, path: &str, lasts: Duration) -> Vec<Got> {
        let begun = Instant::now();
        let mut got = Vec::new();
        for number in (0..GATEWAYS).cycle() {
            if begun.elapsed() > lasts {
                break;
            }
            got.push(self.ask(number, path, POISON).await);
            sleep(Duration::from_millis(100)).await;
        }
        got
    }
}

/// Arrivals that are too many: later than all gateways know of the crashes before.
fn strays(endpoints: &Endpoints) -> usize {
    let crashes = endpoints.crashes();
    let Some(last) = crashes.get(CRASHES - 1) else {
        return 0;
    };
    let late = |at: &&Instant| **at > *last + KNOWN_WITHIN;
    crashes.iter().filter(late).count()
}

/// Guards against a request that crashes one endpoint after the other as its callers come again, at any gateway.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_is_kept_from_them() {
    let endpoints = Endpoints::default();
    let processes = Processes::start(&endpoints).await;
    for path in ["/once/x", "/idempotent/x"] {
        endpoints.crashes.lock().expect("times").clear();
        processes.repeat(path, KNOWN_WITHIN + KNOWN_WITHIN).await;
        let strays = strays(&endpoints);
        assert!(strays <= STRAYS, "{path}: {strays} more endpoints crashed");
        let got = processes.ask(0, path, POISON).await;
        assert_eq!(got.status, 503, "{got:?}");
        let got = processes.ask(0, path, "fine").await;
        assert_eq!((got.status, &*got.body), (200, "ran"));
    }
}

/// Guards against a fleet that forgets, as it loses power, which request crashes endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_is_known_after_all_processes_lost_power() {
    let endpoints = Endpoints::default();
    let mut processes = Processes::start(&endpoints).await;
    processes.repeat("/once/x", KNOWN_WITHIN).await;
    processes.lose_power().await;
    processes.repeat("/once/x", KNOWN_WITHIN).await;
    let strays = strays(&endpoints);
    assert!(strays <= STRAYS, "{strays} more endpoints crashed");
}

/// Guards against a request that is held because its answers are lost, though no endpoint crashes.
#[tokio::test]
async fn a_request_whose_answers_are_lost_is_not_held() {
    let lossy = Endpoint::start(|number, req| match number {
        0..12 => vec![Step::Reset],
        _ => vec![Step::Send(answer(req, "ran"))],
    })
    .await;
    let fleet = Fleet::start(&[("a", &lossy)]).await;
    for _ in 0..12 {
        let mut client = Client::connect(fleet.addr).await;
        assert_eq!(client.ask("/once/x", "id", "").await.status, 502);
        sleep(Duration::from_millis(30)).await;
    }
    let mut client = Client::connect(fleet.addr).await;
    assert_eq!(client.ask("/once/x", "id", "").await.status, 200);
}

/// Guards against a lookup that all callers share being held, because many were under way as a zone lost power.
#[tokio::test]
async fn a_request_that_is_answered_all_the_time_is_not_held() {
    let behave = |number, req: &Received| match number {
        0 => vec![Step::Send(answer(req, "ran"))],
        _ => vec![Step::Crash],
    };
    let mut lost = Vec::new();
    for _ in 0..4 {
        lost.push(Endpoint::start(behave).await);
    }
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[("well", &well)]).await;
    for (number, endpoint) in lost.iter().enumerate() {
        let id = format!("lost-{number}");
        fleet.gw.directory.take(&[listed(&id, endpoint.addr)]);
        for status in [200, 502] {
            let mut client = Client::connect(fleet.addr).await;
            assert_eq!(client.ask("/once/x", "id", "").await.status, status);
        }
        sleep(Duration::from_millis(50)).await;
    }
    fleet.gw.directory.take(&[listed("well", well.addr)]);
    let mut client = Client::connect(fleet.addr).await;
    assert_eq!(client.ask("/once/x", "id", "").await.status, 200);
}

/// Guards against a request that is sent on by a gateway which is cut off from the ledger.
#[tokio::test]
async fn a_gateway_by_itself_holds_a_request_under_which_three_endpoints_crashed() {
    let mut crashing = Vec::new();
    for _ in 0..5 {
        crashing.push(Endpoint::start(|_, _| vec![Step::Crash]).await);
    }
    let names = ["a", "b", "c", "d", "e"];
    let listed: Vec<_> = names.into_iter().zip(&crashing).collect();
    let fleet = Fleet::start(&listed).await;
    for _ in 0..CRASHES {
        let mut client = Client::connect(fleet.addr).await;
        assert_eq!(client.ask("/once/x", "id", "").await.status, 502);
        sleep(Duration::from_millis(50)).await;
    }
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/once/x", "id", "").await;
    assert_eq!(got.status, 503);
    assert!(got.retry_after() > Some(Duration::from_mins(1)), "{got:?}");
    let received = crashing.iter().map(|endpoint| endpoint.received().len());
    assert_eq!(received.sum::<usize>(), CRASHES);
}
