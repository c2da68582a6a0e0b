//! Gateways that may open few file descriptors.

use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anvil_gateway::GatewaySettings;
use anvil_gateway::accept::resource_limits::ResourceLimits;
use anvilreel::logs::{LogLimits, discard, to_writer};
use anvilreel::metrics::Metrics;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use slog::Logger;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::process::Command;
use tokio::time::{Instant, sleep};

use crate::LOADED_MACHINE;
use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, response};
use crate::gateway::{TestGateway, listed, routes, settings, table};

/// Descriptors left for the ledger, siblings, readiness checks and logs.
const RESERVED: u32 = 64;

/// A gateway with this many descriptors for clients and endpoints.
async fn start_with_descriptors(count: u32, endpoint: &TestEndpoint) -> TestGateway {
    start_logged(count, endpoint.addr, discard()).await
}

async fn start_logged(count: u32, endpoint: SocketAddr, log: Logger) -> TestGateway {
    let cfg = GatewaySettings {
        limits: ResourceLimits {
            descriptors: Some(RESERVED + count),
            ..ResourceLimits::default()
        },
        ..settings()
    };
    let metrics = Metrics::disabled("gateway");
    let gateway = TestGateway::start_without_state(cfg, log, metrics).await;
    gateway.gw.directory.apply_list(&[listed("only", endpoint)]);
    gateway.gw.table.store(Some(Arc::new(table(1, routes()))));
    gateway
}

/// An endpoint that answers each request after this time.
async fn answering_after(pause: Duration) -> TestEndpoint {
    let respond = move |_, req: &_| vec![Step::Pause(pause), Step::Send(response(req, "ran"))];
    TestEndpoint::start(respond).await
}

/// Two hundred clients that connect, send a request and try again for some seconds.
struct Crowd {
    started: Instant,
    clients: tokio::task::JoinSet<()>,
    answered: Arc<AtomicU32>,
    rejected: Arc<AtomicU32>,
}

impl Crowd {
    const CLIENTS: u32 = 200;
    const DURATION: Duration = Duration::from_secs(3);

    fn start(addr: SocketAddr) -> Self {
        let mut crowd = Self {
            started: Instant::now(),
            clients: tokio::task::JoinSet::new(),
            answered: Arc::default(),
            rejected: Arc::default(),
        };
        for number in 0..Self::CLIENTS {
            let (answered, rejected) = (crowd.answered.clone(), crowd.rejected.clone());
            let ends_at = crowd.started + Self::DURATION;
            crowd.clients.spawn(async move {
                let mut attempt = 0;
                while Instant::now() < ends_at {
                    attempt += 1;
                    let id = format!("id-{number}-{attempt}");
                    let response = match Client::try_connect(addr).await {
                        Ok(mut client) => {
                            client.try_request_with_body("/once/x", &id, "").await.ok()
                        }
                        Err(_) => None,
                    };
                    let is_answered = response.is_some_and(|response| response.status == 200);
                    let counter = if is_answered { &answered } else { &rejected };
                    counter.fetch_add(1, Ordering::Relaxed);
                    sleep(Duration::from_millis(50)).await;
                }
            });
        }
        crowd
    }

    fn is_over(&self) -> bool {
        self.started.elapsed() > Self::DURATION
    }

    async fn assert_partly_answered(mut self) {
        while self.clients.join_next().await.is_some() {}
        let answered = self.answered.load(Ordering::Relaxed);
        let rejected = self.rejected.load(Ordering::Relaxed);
        assert!(answered > 200, "{answered} answered, {rejected} rejected");
        assert!(rejected > 200, "{answered} answered, {rejected} rejected");
    }
}

/// Set in the process that [`gateway_of_its_own_process`] runs the gateway in: the endpoint's
/// address.
const ENDPOINT_VARIABLE: &str = "FEW_DESCRIPTORS_ENDPOINT";
/// Descriptors that this process may open.
const PROCESS_LIMIT: u32 = RESERVED + 40;

/// The gateway of [`process_never_runs_out_of_descriptors`], in a process of its own; without that
/// test's variable there is nothing to do.
#[tokio::test]
async fn gateway_of_its_own_process() {
    let Ok(endpoint) = std::env::var(ENDPOINT_VARIABLE) else {
        return;
    };
    let limit = Rlimit {
        current: Some(PROCESS_LIMIT.into()),
        ..getrlimit(Resource::Nofile)
    };
    setrlimit(Resource::Nofile, limit).expect("a lower limit");
    let (log, _) = to_writer(std::io::stdout(), LogLimits::default());
    let endpoint = endpoint.parse().expect("an address");
    // More than the process may open, which counts instead.
    let gateway = start_logged(10_000, endpoint, log).await;
    println!("\nlistening {}", gateway.addr);
    sleep(Crowd::DURATION + Duration::from_secs(2)).await;
}

/// Guards against accepts that fail for lack of descriptors, in a process that really has few.
#[tokio::test]
async fn process_never_runs_out_of_descriptors() {
    let _alone = LOADED_MACHINE.lock().await;
    let endpoint = answering_after(Duration::from_millis(20)).await;
    let mut process = Command::new(std::env::current_exe().expect("a path"))
        .args([
            "few_descriptors::gateway_of_its_own_process",
            "--exact",
            "--nocapture",
        ])
        .env(ENDPOINT_VARIABLE, endpoint.addr.to_string())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("a process");
    let mut output = BufReader::new(process.stdout.take().expect("its output"));
    let addr = loop {
        let mut line = String::new();
        let read = output.read_line(&mut line).await.expect("a line");
        assert!(read > 0, "the process ended");
        if let Some(addr) = line.strip_prefix("listening ") {
            break addr.trim().parse().expect("an address");
        }
    };
    let log = tokio::spawn(async move {
        let mut log = String::new();
        output.read_to_string(&mut log).await.expect("its log");
        log
    });
    Crowd::start(addr).assert_partly_answered().await;
    let log = log.await.expect("its log");
    assert!(process.wait().await.expect("its end").success(), "{log}");
    assert!(log.contains("gateway_shedding"), "{log}");
    assert!(!log.contains("os error 24"), "{log}");
}

/// Guards against running out of descriptors, and against a gateway that serves nobody when many
/// clients connect: five times as many as it has descriptors for.
#[tokio::test]
async fn many_clients_use_no_more_descriptors_than_there_are() {
    let _alone = LOADED_MACHINE.lock().await;
    let endpoint = answering_after(Duration::from_millis(20)).await;
    let gateway = start_with_descriptors(40, &endpoint).await;
    let crowd = Crowd::start(gateway.addr);
    while !crowd.is_over() {
        let used = gateway.gw.sockets.descriptors.in_use();
        assert!(used.clients <= 30, "{used:?}");
        assert!(used.clients + used.endpoints <= 40, "{used:?}");
        sleep(Duration::from_millis(1)).await;
    }
    crowd.assert_partly_answered().await;
    sleep(Duration::from_millis(400)).await;
    let mut client = Client::connect(gateway.addr).await;
    assert_eq!(client.request("/once/x", "after", "").await.status, 200);
}

/// Guards against clients that are rejected while connections to endpoints are idle.
#[tokio::test]
async fn idle_endpoint_connections_are_closed_first() {
    let endpoint = answering_after(Duration::from_millis(500)).await;
    let gateway = start_with_descriptors(40, &endpoint).await;
    let mut clients = Vec::new();
    for number in 0..15 {
        let mut client = Client::connect(gateway.addr).await;
        client
            .send("/once/x", &format!("id-{number}"), "content-length: 0\r\n")
            .await;
        clients.push(client);
    }
    for client in &mut clients {
        assert_eq!(client.read_response().await.status, 200);
    }
    let descriptors = &gateway.gw.sockets.descriptors;
    let opened = descriptors.in_use().endpoints;
    assert!(opened >= 12, "{opened} connections to endpoints");
    for _ in 0..12 {
        clients.push(Client::connect(gateway.addr).await);
        sleep(Duration::from_millis(60)).await;
    }
    assert!(descriptors.in_use().endpoints < opened);
    let mut last = clients.pop().expect("a client");
    assert_eq!(last.request("/once/x", "last", "").await.status, 200);
}

/// Guards against a planned stop that waits for a listener that is closed at that time.
#[tokio::test]
async fn planned_stop_ends_while_clients_are_rejected() {
    let endpoint = answering_after(Duration::from_millis(500)).await;
    let gateway = start_with_descriptors(2, &endpoint).await;
    let mut client = Client::connect(gateway.addr).await;
    client.send("/once/x", "id", "content-length: 0\r\n").await;
    sleep(Duration::from_millis(200)).await;
    let (mut rejected, until) = (false, Instant::now() + Duration::from_millis(200));
    while !rejected && Instant::now() < until {
        rejected = Client::try_connect(gateway.addr).await.is_err();
    }
    assert!(rejected);
    gateway.gw.lifecycle.begin_drain();
    assert_eq!(client.read_response().await.status, 200);
    let stopped = tokio::time::timeout(Duration::from_secs(4), gateway.serving).await;
    stopped.expect("a stop in time").expect("a normal end");
}
