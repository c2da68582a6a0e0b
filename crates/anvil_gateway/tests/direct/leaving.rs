//! Planned changes: endpoints that leave, and a stop of the gateway itself.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::endpoint::{ReceivedRequest, Step, TestEndpoint, refusal_with, response, response_with};
use crate::gateway::{TestGateway, listed};

/// Guards against requests to a leaving endpoint: it is listed as leaving, then no longer, and
/// then, by a list that lags, as ready again. It receives nothing once it was listed as leaving.
#[tokio::test]
async fn leaving_endpoint_receives_no_new_requests() {
    let leaving = TestEndpoint::answering().await;
    let staying = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("leaving", &leaving), ("staying", &staying)]).await;
    let ready = [
        listed("leaving", leaving.addr),
        listed("staying", staying.addr),
    ];
    let mut marked = ready.clone();
    marked[0].leaving = true;
    for (list, may_be_used) in [
        (&ready[..], true),
        (&marked[..], false),
        (&ready[1..], false),
        (&ready[..], false),
    ] {
        gateway.gw.directory.apply_list(list);
        let before = leaving.received().len();
        for number in 0..10 {
            let mut client = Client::connect(gateway.addr).await;
            let response = client.request("/once/x", &format!("id-{number}"), "").await;
            assert_eq!(response.status, 200);
        }
        assert!(may_be_used || leaving.received().len() == before);
    }
}

/// Guards against an endpoint that left and started again under the same id staying without
/// requests for good.
#[tokio::test]
async fn endpoint_that_returns_under_its_id_receives_requests_again() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("a", &endpoint)]).await;
    let ready = [listed("a", endpoint.addr)];
    let mut leaving = ready.clone();
    leaving[0].leaving = true;
    gateway.gw.directory.apply_list(&leaving);
    gateway.gw.directory.apply_list(&[]);
    let removed_at = Instant::now();
    let mut served_after = None;
    while served_after.is_none() && removed_at.elapsed() < Duration::from_secs(8) {
        gateway.gw.directory.apply_list(&ready);
        let mut client = Client::connect(gateway.addr).await;
        if client.request("/once/x", "id", "").await.status == 200 {
            served_after = Some(removed_at.elapsed());
        }
        sleep(Duration::from_millis(100)).await;
    }
    let served_after = served_after.expect("served again");
    assert!(served_after > Duration::from_secs(4), "{served_after:?}");
}

/// Guards against an endpoint receiving new requests after it stated in an answer that it is
/// leaving, while no list shows it yet.
#[tokio::test]
async fn endpoint_that_states_it_leaves_receives_no_new_requests() {
    let answers: [fn(&ReceivedRequest) -> Vec<Step>; 5] = [
        |req| vec![Step::Send(response_with(req, "x-leaving: 1\r\n", "ran"))],
        |req| vec![Step::Send(refusal_with(req, "x-leaving: 1\r\n"))],
        |req| {
            let failed = "HTTP/1.1 500 Failed\r\nx-id: ID\r\nx-seal: s\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n";
            let id = req.header("x-id").unwrap_or_default();
            vec![Step::Send(failed.replace("ID", id).into_bytes())]
        },
        |_| {
            let other = "HTTP/1.1 200 OK\r\nx-id: other\r\nx-seal: s\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n";
            vec![Step::Send(other.into())]
        },
        |req| {
            let mut cut = response_with(req, "x-leaving: 1\r\n", "ran");
            cut.pop();
            vec![Step::Send(cut), Step::Close]
        },
    ];
    for answer in answers {
        let leaving = TestEndpoint::start(move |_, req| answer(req)).await;
        let staying = TestEndpoint::answering().await;
        let gateway = TestGateway::start(&[("leaving", &leaving), ("staying", &staying)]).await;
        let mut client = Client::connect(gateway.addr).await;
        client.request("/idempotent/x", "first", "").await;
        // Past the cooldown after a failure.
        sleep(Duration::from_millis(400)).await;
        let ready = [
            listed("leaving", leaving.addr),
            listed("staying", staying.addr),
        ];
        for list in [&ready[..], &ready[1..], &ready[..]] {
            gateway.gw.directory.apply_list(list);
            for number in 0..5 {
                let mut client = Client::connect(gateway.addr).await;
                let response = client.request("/once/x", &format!("id-{number}"), "").await;
                assert_eq!(response.status, 200);
            }
        }
        assert_eq!(leaving.received().len(), 1);
    }
}

/// Guards against a planned stop that cuts requests off: a running request is answered completely,
/// the client is asked to reconnect elsewhere, the readiness check fails, and the process ends.
#[tokio::test]
async fn planned_stop_completes_running_requests() {
    let slow = TestEndpoint::start(|_, req| {
        vec![
            Step::Pause(Duration::from_millis(800)),
            Step::Send(response(req, "ran")),
        ]
    })
    .await;
    let gateway = TestGateway::start(&[("a", &slow)]).await;
    let mut client = Client::connect(gateway.addr).await;
    client.send("/once/x", "id", "content-length: 0\r\n").await;
    while slow.received().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    assert!(gateway.gw.is_ready());
    gateway.gw.lifecycle.begin_drain();
    assert!(!gateway.gw.is_ready());
    let response = client.read_response().await;
    assert_eq!((response.status, &*response.body), (200, "ran"));
    assert!(response.head.contains("connection: close"));
    // The load balancer may still send a few clients; they are served.
    let mut late = Client::connect(gateway.addr).await;
    assert_eq!(late.request("/once/x", "late", "").await.status, 200);
    let ended = tokio::time::timeout(Duration::from_secs(4), gateway.serving).await;
    assert!(ended.is_ok(), "still running after the grace period");
}

/// Guards against a stream that looks complete when it is cut at the end of the grace period.
#[tokio::test]
async fn stream_cut_at_the_end_of_the_grace_period_looks_incomplete() {
    let endless = TestEndpoint::start(|_, req| {
        vec![
            Step::Send(crate::endpoint::stream_head(req)),
            Step::Send(crate::endpoint::chunk(&crate::endpoint::event(1))),
            Step::Hang,
        ]
    })
    .await;
    let gateway = TestGateway::start(&[("a", &endless)]).await;
    let mut client = Client::connect(gateway.addr).await;
    client
        .send("/stream/x", "id", "content-length: 0\r\nx-wait: 20000\r\n")
        .await;
    while !client.read_some().await.contains("piece 1") {}
    gateway.gw.lifecycle.begin_drain();
    let response = client.read_response().await;
    assert!(!response.complete, "{response:?}");
}
