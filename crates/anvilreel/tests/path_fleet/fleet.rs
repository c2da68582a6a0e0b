//! A small fleet in one process, with helpers to send requests to it.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anvil_standins::client::{Client, FullResponse as HttpAnswer};
use anvil_standins::{engine, plain};
use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::command::{Change, Edit, TopUp, change_id};
use anvil_world::prelude::*;
use anvil_world::settings::{
    DEFAULT_MEMORY_MB, EndpointKind, EndpointSettings, LedgerSettings, Peer, RouterSettings,
    SidecarSettings,
};
use anvilreel::ledger_client::LedgerClient;
use anvilreel::ledger_service::{LedgerHandle, Tuning, start as start_ledger};
use anvilreel::local::{BEARER_KEY, BUDGET, MODEL, SERVICE, seed_demo};
use anvilreel::logs::discard;
use anvilreel::metrics::Metrics;
use anvilreel::router::Router;
use anvilreel::sidecar::Sidecar;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Timeout of every wait in these tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A stand-in engine and its sidecar; `None` after the sidecar was stopped.
pub struct EngineWithSidecar {
    pub engine: engine::Handle,
    pub sidecar: Option<Sidecar>,
}

/// A fleet whose roles all run in the test process.
pub struct Fleet {
    pub ledger: LedgerClient,
    pub ledger_addr: SocketAddr,
    pub ledger_handle: Option<(LedgerHandle, oneshot::Sender<()>)>,
    pub routers: Vec<Option<Router>>,
    pub engines: Vec<EngineWithSidecar>,
    pub plain: plain::Handle,
    // Sidecar of the plain service.
    plain_sidecar: Sidecar,
    pub client: Client,
    // Held because dropping it removes the folder.
    _data: tempfile::TempDir,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// The ledger must be given a free port, because its settings name its address before it binds.
fn free_addr() -> SocketAddr {
    crate::ports::free_addr().expect("a free port")
}

impl Fleet {
    /// Starts this many routers and engines, one plain service, and the demo's settings.
    pub async fn start(routers: usize, engines: usize) -> Self {
        Self::start_with(routers, engines, engine::Config::default()).await
    }

    pub async fn start_with(routers: usize, engines: usize, cfg: engine::Config) -> Self {
        let data = tempfile::tempdir().expect("a folder");
        let (ledger_addr, handle) = ledger(&data).await;
        let ledger = LedgerClient::new(&[ledger_addr]);
        seed_demo(&ledger).await.expect("the demo's settings");
        let plain = plain::start(plain::Config::default()).await.expect("plain");
        let service = sidecar_settings(0, ledger_addr, plain.addr(), EndpointKind::Plain);
        let mut fleet = Self {
            ledger,
            ledger_addr,
            ledger_handle: Some(handle),
            routers: Vec::new(),
            engines: Vec::new(),
            plain,
            plain_sidecar: start_sidecar(&service).await,
            client: Client::default(),
            _data: data,
        };
        for number in 0..engines {
            let engine = engine::start(cfg.clone().with_models([MODEL])).await;
            let engine = engine.expect("an engine");
            let settings =
                sidecar_settings(number + 1, ledger_addr, engine.addr(), EndpointKind::Engine);
            let sidecar = Some(start_sidecar(&settings).await);
            fleet.engines.push(EngineWithSidecar { engine, sidecar });
        }
        for number in 0..routers {
            let router = fleet.start_router(number).await;
            fleet.routers.push(Some(router));
        }
        fleet.wait_ready(routers, engines + 1).await;
        fleet
    }

    /// Starts a router. Odd and even numbers are in different zones.
    pub async fn start_router(&self, number: usize) -> Router {
        let settings = self.router_settings(number);
        let started = Router::start(&settings, discard(), Metrics::disabled("router"));
        started.await.expect("a router")
    }

    /// Starts the next incarnation of a router at the addresses of the previous one, with as many
    /// attempts as the daemon makes; `None` if the addresses stay in use.
    pub async fn restart_router(&self, number: usize, addrs: [SocketAddr; 2]) -> Option<Router> {
        let [listen, wire_listen] = addrs;
        let settings = RouterSettings {
            listen,
            wire_listen,
            ..self.router_settings(number)
        };
        for _ in 0..10 {
            let started = Router::start(&settings, discard(), Metrics::disabled("router"));
            if let Ok(router) = started.await {
                return Some(router);
            }
            sleep(Duration::from_millis(100)).await;
        }
        None
    }

    fn router_settings(&self, number: usize) -> RouterSettings {
        let zone = ["local-a", "local-b"][number % 2];
        RouterSettings {
            id: format!("router-{number}").into(),
            zone: Zone::new("local", zone),
            listen: loopback(0),
            wire_listen: loopback(0),
            ledgers: vec![self.ledger_addr],
            threads: 0,
            memory_mb: DEFAULT_MEMORY_MB,
            log_json: false,
            statsd: None,
        }
    }

    async fn wait_ready(&self, routers: usize, sidecars: usize) {
        let ready = || {
            let mut all = self.routers.iter().flatten();
            all.all(|r| {
                r.is_ready() && r.endpoint_count() >= sidecars && r.router_count() >= routers
            })
        };
        eventually("the fleet is ready", || async { ready() }).await;
    }

    pub fn url(&self, router: usize, path: &str) -> String {
        let router = self.routers[router].as_ref().expect("it is running");
        format!("http://{}{path}", router.addr())
    }

    /// Sends a request with the demo key and reads the complete response.
    pub async fn send(
        &self,
        router: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> HttpAnswer {
        let url = self.url(router, path);
        let req = request(&url, headers, body);
        let answer = timeout(WAIT_TIMEOUT, self.client.fetch(&url, req)).await;
        answer.expect("in time").expect("an answer")
    }

    /// Sends a chat request whose response is not streamed.
    pub async fn chat(&self, router: usize, key: Option<&str>, prompt: &str) -> HttpAnswer {
        let headers: Vec<_> = key
            .map(|key| ("idempotency-key", key))
            .into_iter()
            .collect();
        let body = chat_body(prompt, false);
        self.send(router, "/v1/chat/completions", &headers, body)
            .await
    }

    /// Reads the demo budget from the ledger.
    pub async fn budget(&self) -> Budget {
        let query = Query::Budget(BUDGET.into());
        let answer = self
            .ledger
            .query(query, WAIT_TIMEOUT)
            .await
            .expect("a budget");
        let QueryAnswer::Budgets(mut budgets) = answer else {
            panic!("another answer");
        };
        budgets.remove(0).budget
    }

    /// Waits until the billed tokens of the demo budget equal `tokens`.
    pub async fn wait_until_billed(&self, tokens: Tokens) {
        let what = format!("{tokens} tokens are billed");
        eventually(&what, || async { self.budget().await.billed == tokens }).await;
    }

    /// Writes a document and waits until every router has applied it.
    pub async fn put_document(&self, path: &str, text: &str) {
        let query = Query::Tree(path.into());
        let answer = self
            .ledger
            .query(query, WAIT_TIMEOUT)
            .await
            .expect("a tree");
        let QueryAnswer::Tree(tree) = answer else {
            panic!("another answer");
        };
        let path = TreePath::try_from(path).expect("a path");
        let at = std::time::SystemTime::now();
        let change = Change {
            id: change_id(at, "put"),
            operator: "test".into(),
            expected: tree.get(&path).map_or(0, |entry| entry.revision),
            path,
            edit: Edit::Put(text.into()),
            at,
        };
        let command = Command::Change(change);
        let answer = self
            .ledger
            .propose(command, WAIT_TIMEOUT)
            .await
            .expect("written");
        let Answer::Changed(receipt) = answer else {
            panic!("{answer:?}");
        };
        eventually("the document is in force", || async {
            let mut routers = self.routers.iter().flatten();
            routers.all(|router| router.view_version() >= receipt.revision)
        })
        .await;
    }

    pub async fn top_up(&self, id: &str, amount: Tokens) {
        let at = std::time::SystemTime::now();
        let top_up = TopUp {
            id: change_id(at, id),
            operator: "test".into(),
            budget: BUDGET.into(),
            amount,
            at,
        };
        let command = Command::TopUp(top_up);
        self.ledger
            .propose(command, WAIT_TIMEOUT)
            .await
            .expect("paid in");
    }

    /// Number of runs started at all engines.
    pub fn started_runs(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine_with_sidecar| engine_with_sidecar.engine.runs_started())
            .sum()
    }

    /// Replaces the plain service's sidecar by a new incarnation, as after a crash.
    pub async fn restart_plain_sidecar(&mut self) {
        let addr = self.plain.addr();
        let settings = sidecar_settings(0, self.ledger_addr, addr, EndpointKind::Plain);
        let new = start_sidecar(&settings).await;
        let incarnation = new.incarnation();
        std::mem::replace(&mut self.plain_sidecar, new).kill().await;
        let id = settings.id.clone();
        eventually("the ledger knows the new incarnation", || async {
            let members = self.ledger.query(Query::Members, WAIT_TIMEOUT).await;
            matches!(members, Ok(QueryAnswer::Members(members))
                if members[&id].instance.incarnation == incarnation)
        })
        .await;
        sleep(Duration::from_millis(300)).await;
    }

    /// Stops the ledger.
    pub async fn stop_ledger(&mut self) {
        let (handle, stop) = self.ledger_handle.take().expect("it is running");
        stop.send(()).expect("it listens");
        handle.stopped().await;
    }
}

async fn ledger(data: &tempfile::TempDir) -> (SocketAddr, (LedgerHandle, oneshot::Sender<()>)) {
    let addr = free_addr();
    let id = InstanceId::from("ledger-1");
    let settings = LedgerSettings {
        id: id.clone(),
        zone: Zone::default(),
        wire_listen: addr,
        bind: None,
        data: data.path().to_owned(),
        founders: vec![Peer { id, addr }],
        join: false,
        log_json: false,
        statsd: None,
    };
    let (tx, rx) = oneshot::channel();
    let stop = async move { drop(rx.await) };
    let handle = start_ledger(settings, Tuning::default(), discard(), stop).await;
    (addr, (handle.expect("a ledger"), tx))
}

/// Settings of the sidecar with this number, for the endpoint at this address.
pub fn sidecar_settings(
    number: usize,
    ledger: SocketAddr,
    addr: SocketAddr,
    kind: EndpointKind,
) -> SidecarSettings {
    let is_engine = kind == EndpointKind::Engine;
    SidecarSettings {
        platform: None,
        id: format!("sidecar-{number}").into(),
        zone: Zone::new("local", ["local-a", "local-b"][number % 2]),
        wire_listen: loopback(0),
        ledgers: vec![ledger],
        endpoint: EndpointSettings {
            addr,
            service: if is_engine { "runners" } else { SERVICE }.into(),
            kind,
            models: is_engine.then(|| MODEL.into()).into_iter().collect(),
            slots: 16,
            checks_fencing: is_engine,
        },
        buffer_bytes: 8 << 20,
        log_json: false,
        statsd: None,
    }
}

pub async fn start_sidecar(settings: &SidecarSettings) -> Sidecar {
    let started = Sidecar::start(settings, discard(), Metrics::disabled("sidecar"));
    started.await.expect("a sidecar")
}

/// A POST request with the demo key, unless the headers hold another authorization.
pub fn request(
    url: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut req = Request::builder().method(Method::POST).uri(url);
    if headers.iter().all(|(name, _)| *name != "authorization") {
        req = req.header("authorization", format!("Bearer {BEARER_KEY}"));
    }
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Full::new(body.into())).expect("a request")
}

pub fn chat_body(prompt: &str, stream: bool) -> String {
    let message = serde_json::json!({"role": "user", "content": prompt});
    serde_json::json!({"model": MODEL, "stream": stream, "messages": [message]}).to_string()
}

/// The response text that every stand-in engine generates for this prompt.
pub fn expected(prompt: &str) -> String {
    let messages = [engine::Message::user(prompt)];
    engine::expected_answer(MODEL, &messages, 512)
}

pub fn json(answer: &HttpAnswer) -> Value {
    serde_json::from_slice(&answer.body).expect("JSON")
}

/// The text of a chat response.
pub fn text(answer: &HttpAnswer) -> String {
    let json = json(answer);
    let content = json["choices"][0]["message"]["content"].as_str();
    content
        .unwrap_or_else(|| panic!("no text in {json}"))
        .to_owned()
}

/// The text of a streamed response, and whether its end marker was received.
pub fn streamed_text(body: &[u8]) -> (String, bool) {
    let body = std::str::from_utf8(body).expect("text");
    let mut text = String::new();
    let mut done = false;
    for event in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if event == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(event).expect("JSON");
        let delta = event["choices"][0]["delta"]["content"].as_str();
        text.push_str(delta.unwrap_or_default());
    }
    (text, done)
}

/// Waits until a condition is true; fails with the text `what` after the timeout.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let wait = async {
        while !condition().await {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "not within {WAIT_TIMEOUT:?}: {what}");
}
