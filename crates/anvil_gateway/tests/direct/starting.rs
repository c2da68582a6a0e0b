//! Gateways and endpoints that have just started.

use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anvil_gateway::serve;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, not_run};
use crate::gateway::{TestGateway, listed, routes, table};

/// Guards against a process that goes on and serves nobody if it can't take over its listener: the
/// failure is returned to `run`, which ends with it. A Unix socket has no address that it could
/// listen at again.
#[tokio::test]
async fn listener_without_an_address_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let listener = UnixListener::bind(folder.path().join("socket")).expect("a listener");
    listener.set_nonblocking(true).expect("a mode");
    let listener = std::net::TcpListener::from(OwnedFd::from(listener));
    let listener = TcpListener::from_std(listener).expect("a listener");
    let gateway = TestGateway::start_empty().await;
    assert!(serve::client_listener(&gateway.gw, listener).is_err());
}

/// Guards against a lost request after a power failure: a client with no retry left arrives before
/// the ledger has a leader, and the routing table follows a tenth of a second later.
#[tokio::test]
async fn request_waits_for_the_first_routing_table() {
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start_empty().await;
    gateway
        .gw
        .directory
        .apply_list(&[listed("well", working.addr)]);
    let gw = gateway.gw.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(100)).await;
        gw.table.store(Some(Arc::new(table(1, routes()))));
        gw.state_changed.notify_waiters();
    });
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "id-1", "").await;
    assert_eq!((response.status, &*response.body), (200, "ran"));
}

/// Guards against a request waiting for a routing table that is not expected soon: after the
/// startup time the gateway refuses at once, so that the client can go elsewhere.
#[tokio::test]
async fn request_is_refused_at_once_when_no_table_is_expected() {
    let gateway = TestGateway::start_empty().await;
    sleep(Duration::from_millis(1_050)).await;
    let requested_at = Instant::now();
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "id-1", "").await;
    assert_eq!(response.status, 503);
    assert!(requested_at.elapsed() < Duration::from_millis(200));
}

/// Guards against a refusal while the list still names the previous incarnations after a power
/// failure. The request has not run anywhere, so it waits for the updated list.
#[tokio::test]
async fn request_waits_for_new_incarnations_of_endpoints() {
    let replacement =
        TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))])
            .await;
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("before", &replacement)]).await;
    let gw = gateway.gw.clone();
    let addr = working.addr;
    tokio::spawn(async move {
        sleep(Duration::from_millis(200)).await;
        gw.directory.apply_list(&[listed("after", addr)]);
        gw.state_changed.notify_waiters();
    });
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "id-1", "").await;
    assert_eq!((response.status, &*response.body), (200, "ran"));
    assert_eq!(working.received().len(), 1);
}

/// Guards against a long wait when no endpoint appears: the request is refused within about a
/// second, with most of the client's time left.
#[tokio::test]
async fn wait_for_endpoints_is_short() {
    let replacement =
        TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))])
            .await;
    let gateway = TestGateway::start(&[("before", &replacement)]).await;
    let requested_at = Instant::now();
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "id-1", "").await;
    assert_eq!(response.status, 503);
    assert!(requested_at.elapsed() < Duration::from_millis(1_200));
}

/// Guards against the retry budget being used up on replaced endpoints: after two in a row the list
/// counts as stale, and the following requests wait for a new one without an attempt.
#[tokio::test]
async fn stale_list_uses_up_few_attempts() {
    let replacement =
        TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))])
            .await;
    let working = TestEndpoint::answering().await;
    let ids = ["b1", "b2", "b3", "b4", "b5", "b6"];
    let gateway = TestGateway::start(&ids.map(|id| (id, &replacement))).await;
    let gw = gateway.gw.clone();
    let addr = working.addr;
    tokio::spawn(async move {
        sleep(Duration::from_millis(300)).await;
        gw.directory.apply_list(&[listed("after", addr)]);
        gw.state_changed.notify_waiters();
    });
    for number in 0..4 {
        let mut client = Client::connect(gateway.addr).await;
        let response = client.request("/once/x", &format!("id-{number}"), "").await;
        assert_eq!((response.status, &*response.body), (200, "ran"));
    }
    assert_eq!(replacement.received().len(), 2);
}

/// Guards against a single crashed endpoint making the list count as stale: the other two keep
/// serving and no request waits.
#[tokio::test]
async fn one_replaced_endpoint_does_not_make_the_list_stale() {
    let replacement =
        TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))])
            .await;
    let working = TestEndpoint::answering().await;
    let gateway =
        TestGateway::start(&[("gone", &replacement), ("w1", &working), ("w2", &working)]).await;
    let requested_at = Instant::now();
    for number in 0..4 {
        let mut client = Client::connect(gateway.addr).await;
        let response = client.request("/once/x", &format!("id-{number}"), "").await;
        assert_eq!((response.status, &*response.body), (200, "ran"));
    }
    assert!(requested_at.elapsed() < Duration::from_millis(300));
}
