//! Endpoints that no longer exist and are still listed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvil_gateway::dialect::{ListPage, ListSource};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, not_run, own_ip};
use crate::gateway::{TestGateway, listed, routes, table};

/// An address at which nothing listens, in this test or in others.
fn unused_addr() -> SocketAddr {
    (own_ip(), 8_000).into()
}

/// Guards against requests to an endpoint that no longer exists reaching the endpoint of another
/// test: its address refuses connections at once and belongs to no endpoint that starts later.
#[tokio::test]
async fn address_of_a_crashed_endpoint_is_not_used_again() {
    let crashed = TestEndpoint::start(|_, _| vec![Step::Crash]).await;
    let gateway = TestGateway::start(&[("gone", &crashed)]).await;
    let mut client = Client::connect(gateway.addr).await;
    assert_eq!(client.request("/once/x", "id-1", "").await.status, 502);
    let mut later = Vec::new();
    for _ in 0..200 {
        later.push(TestEndpoint::answering().await);
    }
    for addr in [crashed.addr, unused_addr()] {
        let connecting = timeout(Duration::from_millis(200), TcpStream::connect(addr)).await;
        let refused = connecting.expect("an answer at once").map(drop);
        let refused = refused.expect_err("nothing listens");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        assert!(later.iter().all(|endpoint| endpoint.addr.ip() != addr.ip()));
    }
}

/// A gateway with these endpoints in its own zone and a working one in another zone; each request
/// may be sent to one endpoint only.
async fn start_with_one_attempt(
    same_zone: &[(&str, SocketAddr)],
    working: &TestEndpoint,
) -> TestGateway {
    let gateway = TestGateway::start(&[]).await;
    let mut list: Vec<_> = same_zone
        .iter()
        .map(|(id, addr)| listed(id, *addr))
        .collect();
    let mut other_zone = listed("well", working.addr);
    other_zone.zone = "local-b".into();
    list.push(other_zone);
    gateway.gw.directory.apply_list(&list);
    let mut routes = routes();
    for route in &mut routes {
        route.max_attempts = 1;
    }
    gateway.gw.table.store(Some(Arc::new(table(2, routes))));
    gateway
}

/// Guards against refusals while dead endpoints are still listed. Nothing was sent to them, so they
/// do not count as attempts, and the request goes on until it reaches a live one.
#[tokio::test]
async fn unreachable_endpoint_does_not_count_as_an_attempt() {
    let working = TestEndpoint::answering().await;
    let dead = [
        ("d1", unused_addr()),
        ("d2", unused_addr()),
        ("d3", unused_addr()),
    ];
    let gateway = start_with_one_attempt(&dead, &working).await;
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "id-1", "").await;
    assert_eq!((response.status, &*response.body), (200, "ran"));
    assert_eq!(working.received().len(), 1);
}

/// Guards against a refusal when another incarnation has the endpoint's address: it runs nothing,
/// so it does not count as an attempt.
#[tokio::test]
async fn replaced_endpoint_does_not_count_as_an_attempt() {
    let replacement =
        TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))])
            .await;
    let working = TestEndpoint::answering().await;
    let gateway = start_with_one_attempt(&[("was-here", replacement.addr)], &working).await;
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "id-1", "").await;
    assert_eq!((response.status, &*response.body), (200, "ran"));
}

/// Guards against more endpoints receiving a request than the route allows: a full endpoint counts
/// as an attempt.
#[tokio::test]
async fn full_endpoint_counts_as_an_attempt() {
    let full =
        TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "503 Service Unavailable"))])
            .await;
    let working = TestEndpoint::answering().await;
    let gateway = start_with_one_attempt(&[("full", full.addr)], &working).await;
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "id-1", "").await;
    assert_eq!(response.status, 503);
    assert!(working.received().is_empty());
}

/// Guards against a request that may have run being sent elsewhere because other endpoints are
/// gone.
#[tokio::test]
async fn request_in_doubt_is_not_retried_when_other_endpoints_are_gone() {
    let resetting = TestEndpoint::start(|_, _| vec![Step::Reset]).await;
    let working = TestEndpoint::answering().await;
    let gateway = start_with_one_attempt(
        &[("gone", unused_addr()), ("lost", resetting.addr)],
        &working,
    )
    .await;
    for number in 0..6 {
        let mut client = Client::connect(gateway.addr).await;
        let response = client.request("/once/x", &format!("id-{number}"), "").await;
        assert!(
            response.status == 502 || response.status == 200,
            "{response:?}"
        );
        let runs = resetting.received().len() + working.received().len();
        assert_eq!(runs, number + 1);
    }
    assert!(!resetting.received().is_empty());
}

/// Parses the tests' list: one endpoint, its id and address.
fn parse_page(bytes: &Bytes) -> Result<ListPage, String> {
    let text = String::from_utf8_lossy(bytes);
    let (id, addr) = text.split_once(' ').ok_or("no endpoint")?;
    let addr = addr.parse().map_err(|e| format!("{e}"))?;
    Ok(ListPage {
        listed: vec![listed(id, addr)],
        ..ListPage::default()
    })
}

/// Guards against refusals until the list is due again, after all endpoints returned as new
/// incarnations just after it was read.
#[tokio::test]
async fn wrong_list_is_read_again_soon() {
    let replacement =
        TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))])
            .await;
    let working = TestEndpoint::answering().await;
    let listed = Arc::new(Mutex::new(format!("before {}", replacement.addr)));
    let list_text = listed.clone();
    let list = TestEndpoint::start(move |_, _| {
        let body = list_text.lock().expect("the list text").clone();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        vec![Step::Send((head + &body).into_bytes())]
    })
    .await;
    let source = ListSource {
        addr: list.addr,
        first_page_path: "/".into(),
        max_lag: Duration::from_millis(300),
        calls_per_second: 50.0,
        parse_page,
    };
    let gateway = TestGateway::start_reading_list(source, Duration::from_mins(10)).await;
    while gateway.gw.directory.is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    *listed.lock().expect("the list text") = format!("after {}", working.addr);
    let until_served = async {
        for number in 0.. {
            let mut client = Client::connect(gateway.addr).await;
            let response = client.request("/once/x", &format!("id-{number}"), "").await;
            if response.status == 200 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(3), until_served)
        .await
        .expect("served soon");
}
