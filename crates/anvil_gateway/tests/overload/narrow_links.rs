//! Gateways on links that carry less than their clients send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anvil_gateway::GatewaySettings;
use anvil_gateway::accept::resource_limits::ResourceLimits;
use anvil_wire::msg::Query;
use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, Peer};
use anvilreel::ledger_client::LedgerClient;
use anvilreel::ledger_service::{self, Tuning};
use anvilreel::logs::discard;
use anvilreel::metrics::Metrics;
use tokio::sync::oneshot;
use tokio::time::{Instant, interval, sleep, timeout};

use crate::LOADED_MACHINE;
use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, response};
use crate::gateway::{TestGateway, listed, routes, settings, table};
use crate::slow_link::{Opener, SlowLink};

/// The speed of the link: 7.5 Mbit/s.
const LINK: u32 = 937_500;
/// Bytes of a prompt.
const PROMPT: u32 = 9_200;
/// Four times the requests that the link can carry.
const REQUEST_INTERVAL: Duration = Duration::from_micros(2_450);
/// After this time a client gives up.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time in which the gateway adapts to the load.
const ADAPTING: Duration = Duration::from_secs(4);
/// Time over which it is measured.
const MEASURED: Duration = Duration::from_secs(6);

/// Time between two exchanges with the ledger.
const MEASURE_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the ledger's response is to arrive. One exchange in ten may take longer, since the
/// machine that runs the tests may be busy.
const MAX_DELAY: Duration = Duration::from_millis(100);

async fn start_gateway(cfg: GatewaySettings, endpoint: SocketAddr) -> TestGateway {
    let gateway =
        TestGateway::start_without_state(cfg, discard(), Metrics::disabled("gateway")).await;
    gateway.gw.directory.apply_list(&[listed("only", endpoint)]);
    gateway.gw.table.store(Some(Arc::new(table(1, routes()))));
    gateway
}

async fn attempt(addr: SocketAddr, number: usize, answered: Arc<AtomicU32>) {
    let requesting = async {
        let mut client = Client::try_connect(addr).await.ok()?;
        let path = format!("/idempotent/{number}");
        let body = "x".repeat(PROMPT as usize);
        let id = format!("id-{number}");
        let response = client.try_request_with_body(&path, &id, &body).await.ok()?;
        Some(response.status)
    };
    if let Ok(Some(200)) = timeout(PATIENCE, requesting).await {
        answered.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against control messages that wait behind callers' data: under four times the load that
/// the link can carry, the ledger's responses arrive in time, and the link is used for requests
/// that are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ledger_responds_in_time_over_an_overloaded_link() {
    let _alone = LOADED_MACHINE.lock().await;
    let link = SlowLink::new(LINK);
    let data = tempfile::tempdir().expect("a folder");
    let ledger_addr = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let id = InstanceId::from("ledger-1");
    let cfg = LedgerSettings {
        id: id.clone(),
        zone: Zone::default(),
        wire_listen: ledger_addr,
        bind: None,
        data: data.path().to_owned(),
        founders: vec![Peer {
            id,
            addr: ledger_addr,
        }],
        join: false,
        log_json: false,
        statsd: None,
    };
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async { drop(stopped.await) };
    let ledger = ledger_service::start(cfg, Tuning::default(), discard(), stopped).await;
    let _ledger = ledger.expect("a ledger");
    let endpoint = TestEndpoint::answering().await;
    let cfg = GatewaySettings {
        ledger: vec![link.reach(ledger_addr, Opener::Machine).await],
        limits: ResourceLimits {
            link: Some(LINK.into()),
            ..ResourceLimits::default()
        },
        ..settings()
    };
    let endpoint_addr = link.reach(endpoint.addr, Opener::Machine).await;
    let gateway = start_gateway(cfg, endpoint_addr).await;
    let addr = link.reach(gateway.addr, Opener::Others).await;
    let answered = Arc::new(AtomicU32::new(0));
    let sending = {
        let answered = answered.clone();
        tokio::spawn(async move {
            let mut ticks = interval(REQUEST_INTERVAL);
            for number in 0.. {
                ticks.tick().await;
                tokio::spawn(attempt(addr, number, answered.clone()));
            }
        })
    };
    measure_ledger(&gateway.gw.ledger, ADAPTING).await;
    answered.store(0, Ordering::Relaxed);
    let delays = measure_ledger(&gateway.gw.ledger, MEASURED).await;
    sending.abort();
    drop(stop);
    let late = delays.iter().filter(|delay| **delay > MAX_DELAY).count();
    assert!(late * 10 <= delays.len(), "{late} late of {delays:?}");
    assert!(delays[delays.len() / 2] < MAX_DELAY / 2, "{delays:?}");
    let answered = answered.load(Ordering::Relaxed);
    let could_answer = MEASURED.as_secs_f64() * f64::from(LINK / PROMPT);
    let share = f64::from(answered) / could_answer;
    assert!(share > 0.4, "{answered} answered of {could_answer}");
    eprintln!(
        "{answered} answered, {late} of {} exchanges late, longest {:?}",
        delays.len(),
        delays.last()
    );
}

/// The time of each exchange with the ledger within this time, in ascending order.
async fn measure_ledger(ledger: &LedgerClient, within: Duration) -> Vec<Duration> {
    let started = Instant::now();
    let mut delays = Vec::new();
    while started.elapsed() < within {
        let sent_at = Instant::now();
        let answer = ledger.query(Query::Status, Duration::from_secs(5)).await;
        answer.expect("an answer");
        delays.push(sent_at.elapsed());
        sleep(MEASURE_INTERVAL).await;
    }
    delays.sort();
    delays
}

fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").port()
}

/// A gateway whose link carries four prompts of 10 kB in a second beside control messages.
async fn start_on_slow_link(endpoint: &TestEndpoint) -> TestGateway {
    let cfg = GatewaySettings {
        limits: ResourceLimits {
            link: Some(50_000),
            ..ResourceLimits::default()
        },
        ..settings()
    };
    start_gateway(cfg, endpoint.addr).await
}

/// Guards against prompts that fill the link, and against one that is kept waiting instead of being
/// refused while its client can still go elsewhere.
#[tokio::test]
async fn prompt_that_would_wait_too_long_is_refused_at_once() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_on_slow_link(&endpoint).await;
    let mut clients = Vec::new();
    for _ in 0..3 {
        clients.push(Client::connect(gateway.addr).await);
    }
    sleep(Duration::from_millis(20)).await;
    let body = "x".repeat(9_000);
    let mut statuses = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let sent_at = Instant::now();
        let id = format!("id-{number}");
        // The first one leaves the link busy for a quarter of a second.
        let response = client.request_with_body("/once/x", &id, &body).await;
        if response.status == 503 {
            assert!(response.body.contains("link_busy"), "{response:?}");
            assert!(response.retry_after() <= Some(MAX_DELAY), "{response:?}");
            assert!(sent_at.elapsed() < Duration::from_millis(150));
        }
        statuses.push(response.status);
    }
    assert_eq!(statuses, [200, 503, 503]);
    assert_eq!(endpoint.received().len(), 1);
}

/// Guards against prompts that exceed the pace together, because each has reserved the link before
/// it waited for a place.
#[tokio::test]
async fn prompts_that_waited_for_a_place_are_paced() {
    const SLOTS: u32 = 4;
    /// Time in which the link carries a prompt of 9 kB.
    const PROMPT_TIME: Duration = Duration::from_millis(95);
    let free_at = Instant::now() + Duration::from_millis(1_500);
    let endpoint = TestEndpoint::start(move |_, req| {
        let left = free_at.saturating_duration_since(Instant::now());
        vec![Step::Pause(left), Step::Send(response(req, "ran"))]
    })
    .await;
    let cfg = GatewaySettings {
        limits: ResourceLimits {
            link: Some(125_000),
            ..ResourceLimits::default()
        },
        ..settings()
    };
    let gateway = start_gateway(cfg, endpoint.addr).await;
    let mut engine = listed("engine", endpoint.addr);
    engine.slots = SLOTS;
    gateway.gw.directory.apply_list(&[engine]);
    let mut routes = routes();
    for route in &mut routes {
        route.target_latency = Duration::from_secs(2);
    }
    gateway.gw.table.store(Some(Arc::new(table(1, routes))));
    let headers = "content-length: 9000\r\nx-tokens: 10,1\r\n";
    let body = "x".repeat(9_000);
    let mut clients = Vec::new();
    for number in 0..2 * SLOTS {
        let mut client = Client::connect(gateway.addr).await;
        let id = format!("id-{number}");
        client.send("/once/x", &id, headers).await;
        client.send_bytes(body.as_bytes()).await;
        clients.push(client);
        sleep(PROMPT_TIME).await;
    }
    assert_eq!(gateway.gw.directory.count_waiting(), u64::from(SLOTS));
    for client in &mut clients {
        assert_eq!(client.read_response().await.status, 200);
    }
    let arrivals = endpoint.arrivals();
    let took = arrivals[7] - arrivals[4];
    assert!(took > 3 * PROMPT_TIME / 2, "{took:?}");
}

/// Guards against clients that stay connected while the gateway rejects others, and against a
/// gateway that goes on rejecting when the load is over.
#[tokio::test]
async fn connections_are_closed_while_load_is_shed() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_on_slow_link(&endpoint).await;
    let mut client = Client::connect(gateway.addr).await;
    let calm = client.request("/once/x", "calm", "").await;
    assert!(!calm.head.contains("connection: close"), "{calm:?}");
    // A response that keeps the link busy for more than half a second.
    gateway.gw.sockets.link.count_response(50_000);
    sleep(Duration::from_millis(150)).await;
    let loaded = client.request("/once/x", "loaded", "").await;
    assert!(loaded.head.contains("connection: close"), "{loaded:?}");
    let mut rejected = 0;
    for _ in 0..50 {
        rejected += u32::from(Client::try_connect(gateway.addr).await.is_err());
        sleep(Duration::from_millis(10)).await;
    }
    assert!(rejected > 0);
    sleep(Duration::from_secs(3)).await;
    let mut client = Client::connect(gateway.addr).await;
    let after = client.request("/once/x", "after", "").await;
    assert_eq!(after.status, 200);
    assert!(!after.head.contains("connection: close"), "{after:?}");
}

/// Guards against any effect of load where the settings state no link, or one of 1,000 Mbit/s.
#[tokio::test]
async fn gateway_without_a_narrow_link_paces_nothing() {
    serve_unpaced(None).await;
    serve_unpaced(Some(125_000_000)).await;
}

async fn serve_unpaced(link: Option<u64>) {
    let endpoint = TestEndpoint::answering().await;
    let cfg = GatewaySettings {
        limits: ResourceLimits {
            link,
            ..ResourceLimits::default()
        },
        ..settings()
    };
    let gateway = start_gateway(cfg, endpoint.addr).await;
    gateway.gw.sockets.link.count_response(usize::MAX / 2);
    let body = "x".repeat(9_000);
    for number in 0..20 {
        let mut client = Client::connect(gateway.addr).await;
        let id = format!("id-{number}");
        let response = client.request_with_body("/once/x", &id, &body).await;
        assert_eq!(response.status, 200);
    }
    assert!(!gateway.gw.intake.is_shedding());
}
