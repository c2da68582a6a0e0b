//! Gateways that may open few file descriptors.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anvil_gateway::GatewaySettings;
use anvil_gateway::accept::resource_limits::ResourceLimits;
use anvilreel::logs::discard;
use anvilreel::metrics::Metrics;
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, response};
use crate::gateway::{TestGateway, listed, routes, settings, table};

/// Descriptors left for the ledger, siblings, readiness checks and logs.
const RESERVED: u32 = 64;

/// A gateway with this many descriptors for clients and endpoints.
async fn start_with_descriptors(count: u32, endpoint: &TestEndpoint) -> TestGateway {
    let cfg = GatewaySettings {
        limits: ResourceLimits {
            descriptors: Some(RESERVED + count),
            ..ResourceLimits::default()
        },
        ..settings()
    };
    let metrics = Metrics::disabled("gateway");
    let gateway = TestGateway::start_without_state(cfg, discard(), metrics).await;
    gateway
        .gw
        .directory
        .apply_list(&[listed("only", endpoint.addr)]);
    gateway.gw.table.store(Some(Arc::new(table(1, routes()))));
    gateway
}

/// Guards against running out of descriptors, and against a gateway that serves nobody when many clients
/// connect: five times as many as it has descriptors for.
#[tokio::test]
async fn many_clients_use_no_more_descriptors_than_there_are() {
    let endpoint = TestEndpoint::start(|_, req| {
        vec![
            Step::Pause(Duration::from_millis(20)),
            Step::Send(response(req, "ran")),
        ]
    })
    .await;
    let gateway = start_with_descriptors(40, &endpoint).await;
    let (answered, rejected) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let started = Instant::now();
    let mut clients = tokio::task::JoinSet::new();
    for number in 0..200 {
        let (addr, answered, rejected) = (gateway.addr, answered.clone(), rejected.clone());
        clients.spawn(async move {
            for attempt in 0.. {
                if started.elapsed() > Duration::from_secs(3) {
                    return;
                }
                let id = format!("id-{number}-{attempt}");
                let response = match Client::try_connect(addr).await {
                    Ok(mut client) => client.try_request_with_body("/once/x", &id, "").await,
                    Err(_) => None,
                };
                let is_answered = response.is_some_and(|response| response.status == 200);
                let counter = if is_answered { &answered } else { &rejected };
                counter.fetch_add(1, Ordering::Relaxed);
                sleep(Duration::from_millis(50)).await;
            }
        });
    }
    while started.elapsed() < Duration::from_secs(3) {
        let used = gateway.gw.sockets.descriptors.in_use();
        assert!(used.clients <= 30, "{used:?}");
        assert!(used.clients + used.endpoints <= 40, "{used:?}");
        sleep(Duration::from_millis(1)).await;
    }
    while clients.join_next().await.is_some() {}
    let (answered, rejected) = (
        answered.load(Ordering::Relaxed),
        rejected.load(Ordering::Relaxed),
    );
    assert!(answered > 200, "{answered} answered, {rejected} rejected");
    assert!(rejected > 200, "{answered} answered, {rejected} rejected");
    sleep(Duration::from_millis(400)).await;
    let mut client = Client::connect(gateway.addr).await;
    assert_eq!(client.request("/once/x", "after", "").await.status, 200);
}

/// Guards against clients that are rejected while connections to endpoints are idle.
#[tokio::test]
async fn idle_endpoint_connections_are_closed_first() {
    let endpoint = TestEndpoint::start(|_, req| {
        vec![
            Step::Pause(Duration::from_millis(500)),
            Step::Send(response(req, "ran")),
        ]
    })
    .await;
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
    let endpoint = TestEndpoint::start(|_, req| {
        vec![
            Step::Pause(Duration::from_millis(500)),
            Step::Send(response(req, "ran")),
        ]
    })
    .await;
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
