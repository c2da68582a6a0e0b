//! Planned changes: endpoints that leave, and a stop of the gateway itself.

use std::sync::Arc;
use std::time::Duration;

use anvil_gateway::GatewaySettings;
use anvilreel::metrics::Metrics;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep, timeout};

use crate::client::{Client, ClientResponse};
use crate::endpoint::{
    ReceivedRequest, Step, TestEndpoint, chunk, event, refusal_with, response, response_with,
    stream_end, stream_head,
};
use crate::gateway::{TestGateway, listed, routes, settings, table};
use crate::returning::start_with_lagging_lists;

/// Time in which a load balancer notices that a gateway is stopping.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// All connections are closed this long before the end of the grace period.
pub const STOP_MARGIN: Duration = Duration::from_millis(350);
/// An answer that waits for nothing comes within this time.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Longer than the requests of a test take.
const LONG_GRACE: Duration = Duration::from_secs(20);
/// Deadline of a request after the end of any stop.
pub const LONG_WAIT: &str = "x-wait: 60000\r\n";
/// A prompt, so that the request takes a slot at an endpoint.
const PROMPT: &str = "x-tokens: 10,1\r\n";

/// Guards against requests to a leaving endpoint: it is listed as leaving, then no longer, and
/// then, by a list that lags, as ready again. It receives nothing once it was listed as leaving.
#[tokio::test]
async fn leaving_endpoint_receives_no_new_requests() {
    let leaving = TestEndpoint::answering().await;
    let staying = TestEndpoint::answering().await;
    let gateway = start_with_lagging_lists(&[("leaving", &leaving), ("staying", &staying)]).await;
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
        let gateway =
            start_with_lagging_lists(&[("leaving", &leaving), ("staying", &staying)]).await;
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
    let late = late.request("/once/x", "late", "x-wait: 2000\r\n").await;
    assert_eq!(late.status, 200);
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

/// A gateway with this grace period and routes whose requests may last longer.
pub async fn start_with_grace(grace_period: Duration, endpoint: &TestEndpoint) -> TestGateway {
    let cfg = GatewaySettings {
        grace_period,
        ..settings()
    };
    start_patient(cfg, endpoint).await
}

/// A gateway with these settings and routes whose requests may last longer than its grace period.
pub async fn start_patient(cfg: GatewaySettings, endpoint: &TestEndpoint) -> TestGateway {
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::disabled("gateway");
    let gateway = TestGateway::start_configured(cfg, &[("a", endpoint)], log, metrics).await;
    let mut routes = routes();
    for route in &mut routes {
        route.timeout = Duration::from_mins(1);
        route.target_latency = Duration::from_secs(10);
    }
    gateway.gw.table.store(Some(Arc::new(table(1, routes))));
    gateway
}

/// An endpoint whose streams take as long as the request's `x-take-ms` says, and whose other
/// responses are delayed by that time.
async fn taking_as_told() -> TestEndpoint {
    TestEndpoint::start(|_, req| {
        let time = req.header("x-take-ms").and_then(|ms| ms.parse().ok());
        let pause = Step::Pause(Duration::from_millis(time.unwrap_or(0)));
        if !req.head.contains("/stream/") {
            return vec![pause, Step::Send(response(req, "ran"))];
        }
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            pause,
            Step::Send(chunk(&event(2))),
            Step::Send(stream_end()),
        ]
    })
    .await
}

/// The header that has [`taking_as_told`] take this long.
fn take(time: Duration) -> String {
    format!("x-take-ms: {}\r\n", time.as_millis())
}

/// Sends a request that may last longer than the planned stop, on a connection of its own.
async fn request_without_hurry(
    gateway: &TestGateway,
    path: &str,
    time: Duration,
) -> ClientResponse {
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("{LONG_WAIT}{}", take(time));
    client.request(path, "id", &headers).await
}

/// Sends a request that keeps the gateway from ending for this time.
async fn keep_busy(gateway: &TestGateway, endpoint: &TestEndpoint, time: Duration) -> Client {
    let received = endpoint.received().len();
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("content-length: 0\r\n{PROMPT}{LONG_WAIT}{}", take(time));
    client.send("/idempotent/x", "busy", &headers).await;
    until(|| endpoint.received().len() > received).await;
    client
}

async fn until(reached: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !reached() {
        assert!(started_at.elapsed() < Duration::from_secs(5));
        sleep(Duration::from_millis(5)).await;
    }
}

/// Asserts that the client is sent elsewhere at once.
pub fn assert_refused_as_leaving(refused: &ClientResponse) {
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.body.contains("leaving"), "{refused:?}");
    assert!(refused.head.contains("connection: close"), "{refused:?}");
    let retry_after = refused.retry_after().expect("a retry-after time");
    assert!(retry_after <= Duration::from_millis(100), "{retry_after:?}");
}

/// Guards against streams that a stopping gateway begins and then cuts off: nothing shows that they
/// can be complete before its end, and another gateway could serve them.
#[tokio::test]
async fn stopping_gateway_refuses_streams_that_it_would_cut() {
    let grace_period = Duration::from_secs(4);
    // No stream was complete before; one was, and another one like it would take too long.
    for known in [None, Some(Duration::from_millis(1_500))] {
        let endpoint = taking_as_told().await;
        let gateway = start_with_grace(grace_period, &endpoint).await;
        if let Some(time) = known {
            assert!(
                request_without_hurry(&gateway, "/stream/x", time)
                    .await
                    .complete
            );
        }
        let received = endpoint.received().len();
        gateway.gw.lifecycle.begin_drain();
        let stopped_at = Instant::now();
        let mut client = Client::connect(gateway.addr).await;
        let body = "b".repeat(9_000);
        // Prepaid, while no ledger can be reached: it is refused before tokens are reserved.
        let head = format!(
            "POST /stream/x HTTP/1.1\r\nhost: shop\r\nx-id: id\r\nx-key: key\r\n{PROMPT}{LONG_WAIT}{}content-length: {}\r\n\r\n",
            take(grace_period),
            body.len()
        );
        client.send_bytes(head.as_bytes()).await;
        client.send_bytes(body.as_bytes()).await;
        assert_refused_as_leaving(&client.read_response().await);
        assert!(stopped_at.elapsed() < AT_ONCE, "{:?}", stopped_at.elapsed());
        assert_eq!(endpoint.received().len(), received);
    }
}

/// Guards against a stopping gateway that turns streams away although they are complete long before
/// its end.
#[tokio::test]
async fn stopping_gateway_serves_streams_that_are_short_enough() {
    let endpoint = taking_as_told().await;
    let gateway = start_with_grace(Duration::from_secs(4), &endpoint).await;
    let time = Duration::from_millis(300);
    assert!(
        request_without_hurry(&gateway, "/stream/x", time)
            .await
            .complete
    );
    gateway.gw.lifecycle.begin_drain();
    let response = request_without_hurry(&gateway, "/stream/x", time).await;
    assert_eq!((response.status, response.complete), (200, true));
}

/// Guards against clients that are turned away while the gateway still runs and could serve them:
/// a load balancer without enough ready gateways sends connections to all of them up to the end.
/// In the last two seconds only those requests are served whose deadline lies before the end.
#[tokio::test]
async fn stopping_gateway_serves_short_requests_up_to_its_end() {
    let endpoint = taking_as_told().await;
    let gateway = start_with_grace(Duration::from_millis(6_350), &endpoint).await;
    request_without_hurry(&gateway, "/once/x", Duration::ZERO).await;
    let mut busy = keep_busy(&gateway, &endpoint, Duration::from_millis(5_500)).await;
    gateway.gw.lifecycle.begin_drain();
    let stopped_at = Instant::now();
    let mut served = 0;
    while stopped_at.elapsed() < Duration::from_secs(4) {
        // Known to be short.
        let response = request_without_hurry(&gateway, "/once/x", Duration::ZERO).await;
        assert_eq!((response.status, &*response.body), (200, "ran"));
        assert!(response.head.contains("connection: close"));
        // Over in time whatever happens.
        let mut client = Client::connect(gateway.addr).await;
        sleep(Duration::from_millis(100)).await;
        let response = client
            .request("/idempotent/x", "id", "x-wait: 500\r\n")
            .await;
        assert_eq!((response.status, &*response.body), (200, "ran"));
        // Not known, and perhaps too long.
        let refused = request_without_hurry(&gateway, "/stream/x", LONG_GRACE).await;
        assert_refused_as_leaving(&refused);
        served += 1;
        sleep(Duration::from_millis(100)).await;
    }
    assert!(served > 5, "{served} rounds");
    while stopped_at.elapsed() < Duration::from_secs(5) {
        let mut client = Client::connect(gateway.addr).await;
        let response = client
            .request("/idempotent/x", "id", "x-wait: 500\r\n")
            .await;
        assert_eq!((response.status, &*response.body), (200, "ran"));
        sleep(Duration::from_millis(100)).await;
    }
    let refused = request_without_hurry(&gateway, "/once/x", Duration::ZERO).await;
    assert_refused_as_leaving(&refused);
    assert_eq!(busy.read_response().await.status, 200);
}

/// Guards against a connection that is closed without an answer because its first request arrives
/// just after the gateway has begun to close idle connections.
#[tokio::test]
async fn connection_accepted_before_idle_ones_are_closed_is_answered() {
    let endpoint = taking_as_told().await;
    let gateway = start_with_grace(Duration::from_secs(6), &endpoint).await;
    gateway.gw.lifecycle.begin_drain();
    sleep(NOTICE_TIME.saturating_sub(Duration::from_millis(150))).await;
    let mut client = Client::connect(gateway.addr).await;
    sleep(Duration::from_millis(300)).await;
    let response = client.request("/once/x", "id", "x-wait: 500\r\n").await;
    assert_eq!((response.status, &*response.body), (200, "ran"));
}

/// Guards against a stopping gateway that waits for connections on which nothing happens, and
/// against one that accepts clients for good.
#[tokio::test]
async fn stopping_gateway_ends_once_nothing_is_left() {
    let endpoint = taking_as_told().await;
    let gateway = start_with_grace(LONG_GRACE, &endpoint).await;
    let mut kept = Client::connect(gateway.addr).await;
    assert_eq!(kept.request("/once/x", "id", "").await.status, 200);
    let _early = Client::connect(gateway.addr).await;
    let mut busy = keep_busy(&gateway, &endpoint, Duration::from_secs(3)).await;
    gateway.gw.lifecycle.begin_drain();
    sleep(NOTICE_TIME + Duration::from_millis(200)).await;
    let idle = Client::connect(gateway.addr).await;
    let mut partial = Client::connect(gateway.addr).await;
    partial.send_bytes(b"POST /once/x HTTP/1.1\r\n").await;
    assert_eq!(busy.read_response().await.status, 200);
    assert!(!gateway.serving.is_finished());
    let ended = timeout(Duration::from_millis(1_500), gateway.serving).await;
    assert!(ended.is_ok(), "waits for idle connections");
    drop((idle, partial));
}

/// Guards against a process that is killed because clients connect to it up to the end of its grace
/// period.
#[tokio::test]
async fn stopping_gateway_ends_in_time_while_clients_connect() {
    let endpoint = taking_as_told().await;
    let grace_period = Duration::from_secs(4);
    let gateway = start_with_grace(grace_period, &endpoint).await;
    gateway.gw.lifecycle.begin_drain();
    let stopped_at = Instant::now();
    let mut connected = Vec::new();
    while !gateway.serving.is_finished() && stopped_at.elapsed() < grace_period {
        connected.extend(Client::try_connect(gateway.addr).await);
        sleep(Duration::from_millis(50)).await;
    }
    let ended_after = stopped_at.elapsed();
    assert!(gateway.serving.is_finished(), "still running");
    let close_after = grace_period.saturating_sub(STOP_MARGIN);
    assert!(ended_after + AT_ONCE > close_after, "{ended_after:?}");
}

/// Guards against a request that waits for an endpoint when the stop begins: it would start too
/// late, be held up to its end, or be cut off.
#[tokio::test]
async fn waiting_request_that_would_be_cut_is_refused() {
    let endpoint = taking_as_told().await;
    let gateway = start_with_grace(Duration::from_secs(4), &endpoint).await;
    let mut engine = listed("one-slot", endpoint.addr);
    engine.slots = 1;
    gateway.gw.directory.apply_list(&[engine]);
    let mut busy = keep_busy(&gateway, &endpoint, Duration::from_secs(1)).await;
    let mut waiting = Client::connect(gateway.addr).await;
    let headers = format!(
        "content-length: 0\r\n{PROMPT}{LONG_WAIT}{}",
        take(LONG_GRACE)
    );
    waiting.send("/stream/x", "waiting", &headers).await;
    until(|| gateway.gw.directory.count_waiting() > 0).await;
    gateway.gw.lifecycle.begin_drain();
    let stopped_at = Instant::now();
    assert_refused_as_leaving(&waiting.read_response().await);
    assert!(stopped_at.elapsed() < AT_ONCE, "{:?}", stopped_at.elapsed());
    assert_eq!(busy.read_response().await.status, 200);
    assert_eq!(endpoint.received().len(), 1);
}

/// Guards against a request that a stopping gateway sends after a wait elsewhere than in the queue,
/// and then cuts off.
#[tokio::test]
async fn admitted_request_is_not_sent_if_it_would_be_cut() {
    let endpoint = taking_as_told().await;
    let gone = TestEndpoint::start(|_, _| vec![Step::Crash]).await;
    gone.crash();
    let gateway = start_with_grace(Duration::from_secs(4), &gone).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("content-length: 0\r\n{LONG_WAIT}{}", take(LONG_GRACE));
    client.send("/stream/x", "id", &headers).await;
    sleep(Duration::from_millis(300)).await;
    gateway.gw.lifecycle.begin_drain();
    let list = [listed("b", endpoint.addr)];
    gateway.gw.directory.apply_list(&list);
    gateway.gw.state_changed.notify_waiters();
    assert_refused_as_leaving(&client.read_response().await);
    assert!(endpoint.received().is_empty());
}

/// Guards against a stop that takes back what it has begun: a stream whose response was lost goes on
/// at another endpoint, as it may have run.
#[tokio::test]
async fn begun_stream_goes_on_during_a_planned_stop() {
    let breaking = TestEndpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            Step::Pause(Duration::from_millis(500)),
            Step::Close,
        ]
    })
    .await;
    let other = TestEndpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(2))),
            Step::Send(stream_end()),
        ]
    })
    .await;
    let gateway = start_with_grace(Duration::from_secs(4), &breaking).await;
    let mut list = [
        listed("breaking", breaking.addr),
        listed("other", other.addr),
    ];
    list[1].zone = "local-b".into();
    gateway.gw.directory.apply_list(&list);
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("content-length: 0\r\n{LONG_WAIT}");
    client.send("/resumed/x", "id", &headers).await;
    while !client.read_some().await.contains("piece 1") {}
    gateway.gw.lifecycle.begin_drain();
    let response = client.read_response().await;
    assert!(response.complete, "{response:?}");
    assert!(response.body.contains("piece 2"), "{response:?}");
}
