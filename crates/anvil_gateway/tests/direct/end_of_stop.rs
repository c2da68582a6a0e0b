//! The last moments of a planned stop, before all connections are closed.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_gateway::GatewaySettings;
use tokio::time::sleep;

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, chunk, event, response, stream_end, stream_head};
use crate::gateway::{TestGateway, settings};
use crate::leaving::{
    LONG_WAIT, STOP_MARGIN, assert_refused_as_leaving, start_patient, start_with_grace,
};

const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(12);
/// Time until a request that was sent is known to wait.
const BEGUN_WITHIN: Duration = Duration::from_millis(300);

/// Begins the planned stop and returns this long before all connections are closed.
async fn stop_until(gateway: &TestGateway, before_end: Duration) {
    gateway.gw.lifecycle.begin_drain();
    sleep(GRACE_PERIOD.saturating_sub(STOP_MARGIN + before_end)).await;
}

/// Guards against a short request that is cut because its endpoint, which is sound, is silent for
/// 1.5 s across the end.
#[tokio::test]
async fn short_request_is_not_begun_if_a_silent_endpoint_would_be_cut() {
    let known: u32 = 100;
    let endpoint = TestEndpoint::start(move |number, req| {
        let ms = if number < known as usize { 30 } else { 1_500 };
        vec![
            Step::Pause(Duration::from_millis(ms)),
            Step::Send(response(req, "ran")),
        ]
    })
    .await;
    let gateway = start_with_grace(GRACE_PERIOD, &endpoint).await;
    for _ in 0..known {
        let mut client = Client::connect(gateway.addr).await;
        let response = client.request("/once/x", "id", LONG_WAIT).await;
        assert_eq!(response.status, 200);
    }
    stop_until(&gateway, Duration::from_millis(1_250)).await;
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "late", LONG_WAIT).await;
    assert_refused_as_leaving(&response);
    assert_eq!(endpoint.received().len(), known as usize);
}

/// An endpoint whose streams have as many events as the request's `x-events` says.
async fn streaming_as_told() -> TestEndpoint {
    TestEndpoint::start(|_, req| {
        let events = req.header("x-events").and_then(|n| n.parse().ok());
        let mut steps = vec![Step::Send(stream_head(req))];
        for id in 1..=events.unwrap_or(1) {
            steps.push(Step::Send(chunk(&event(id))));
            steps.push(Step::Pause(EVENT_INTERVAL));
        }
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await
}

/// Guards against a stream that is begun and cut: it has as many tokens as its request allows, and
/// those before it had a small part of them.
#[tokio::test]
async fn stream_is_not_begun_if_the_tokens_that_it_allows_would_be_cut() {
    let endpoint = streaming_as_told().await;
    let gateway = start_with_grace(GRACE_PERIOD, &endpoint).await;
    let ask = async |events: u64| {
        let mut client = Client::connect(gateway.addr).await;
        let headers = format!("{LONG_WAIT}x-tokens: 10,600\r\nx-events: {events}\r\n");
        client.request("/stream/x", "id", &headers).await
    };
    for _ in 0..20 {
        assert!(ask(8).await.complete);
    }
    stop_until(&gateway, Duration::from_millis(2_250)).await;
    assert_refused_as_leaving(&ask(200).await);
}

/// Guards against a request without an answer: its body is still arriving when all connections are
/// closed.
#[tokio::test]
async fn request_whose_body_is_late_is_refused_before_the_end() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_with_grace(GRACE_PERIOD, &endpoint).await;
    stop_until(&gateway, Duration::from_secs(2)).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("content-length: 100\r\n{LONG_WAIT}");
    client.send("/once/x", "late", &headers).await;
    client.send_bytes(b"a part of the body").await;
    assert_refused_as_leaving(&client.read_response().await);
    assert!(endpoint.received().is_empty());
}

/// Guards against a request without an answer: it waits for new endpoints when all connections are
/// closed.
#[tokio::test]
async fn request_that_waits_for_endpoints_is_refused_before_the_end() {
    let gone = TestEndpoint::start(|_, _| vec![Step::Crash]).await;
    gone.crash();
    let mut cfg = GatewaySettings {
        grace_period: GRACE_PERIOD,
        ..settings()
    };
    cfg.list.max_lag = Duration::from_mins(1);
    let gateway = start_patient(cfg, &gone).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("content-length: 0\r\n{LONG_WAIT}");
    client.send("/once/x", "waiting", &headers).await;
    sleep(BEGUN_WITHIN).await;
    gateway.gw.lifecycle.begin_drain();
    assert_refused_as_leaving(&client.read_response().await);
}

/// Guards against a request without an answer: it waits for tokens when all connections are closed.
#[tokio::test]
async fn request_that_needs_tokens_is_refused_before_the_end() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_with_grace(GRACE_PERIOD, &endpoint).await;
    for _ in 0..10 {
        let mut client = Client::connect(gateway.addr).await;
        assert_eq!(client.request("/once/x", "id", "").await.status, 200);
    }
    let mut busy = Client::connect(gateway.addr).await;
    gateway.gw.lifecycle.begin_drain();
    sleep(Duration::from_millis(2_450)).await;
    let headers = format!("content-length: 5\r\n{LONG_WAIT}");
    busy.send("/once/x", "busy", &headers).await;
    sleep(Duration::from_millis(900)).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!(
        "content-length: 0\r\n{LONG_WAIT}authorization: Bearer key\r\nx-key: key\r\nx-tokens: 10,1\r\n"
    );
    client.send("/once/x", "tokens", &headers).await;
    assert_refused_as_leaving(&client.read_response().await);
}

/// Guards against clients that are refused together and return together.
#[tokio::test]
async fn refused_clients_are_told_to_return_at_different_times() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_with_grace(GRACE_PERIOD, &endpoint).await;
    gateway.gw.lifecycle.begin_drain();
    let mut times = BTreeSet::new();
    for _ in 0..40 {
        let mut client = Client::connect(gateway.addr).await;
        let refused = client.request("/once/x", "id", LONG_WAIT).await;
        assert_refused_as_leaving(&refused);
        times.extend(refused.retry_after());
    }
    assert!(times.len() > 10, "{times:?}");
    let (first, last) = (times.first().copied(), times.last().copied());
    let spread = last.zip(first).map(|(last, first)| last.abs_diff(first));
    let spread = spread.expect("retry-after times");
    assert!(spread >= Duration::from_millis(40), "{times:?}");
}
