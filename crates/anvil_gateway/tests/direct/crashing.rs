//! A ledger and several gateways in front of endpoints that crash under one request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use anvil_gateway::request_digest::digest;
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use tokio::time::{Instant, sleep};

use crate::client::{Client, ClientResponse};
use crate::crashing_endpoints::{CrashingEndpoints, KNOWN_WITHIN, TOLERATED_LATE_ARRIVALS};
use crate::endpoint::{
    ReceivedRequest, Step, TestEndpoint, chunk, event, not_run, response, stream_end, stream_head,
};
use crate::gateway::{TestGateway, listed};
use crate::processes::{GATEWAYS, Processes, serve_list};

/// Body of the request that crashes each endpoint that begins to run it.
const CRASHING_BODY: &str = "crash";
/// Endpoints that may crash under a request before it must be quarantined.
const QUARANTINE_CRASHES: usize = 3;

fn behave(req: &ReceivedRequest) -> Vec<Step> {
    if req.body == CRASHING_BODY.as_bytes() {
        vec![Step::Crash]
    } else {
        vec![Step::Send(response(req, "ran"))]
    }
}

/// Sends the same request repeatedly, to the gateways in turn.
async fn send_repeatedly(processes: &Processes, path: &str, duration: Duration) {
    let started_at = Instant::now();
    for number in (0..GATEWAYS).cycle() {
        if started_at.elapsed() > duration {
            break;
        }
        processes.send_request(number, path, CRASHING_BODY).await;
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a request crashing one endpoint after the other as its clients retry at any
/// gateway.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_endpoints_is_quarantined_at_all_gateways() {
    let endpoints = CrashingEndpoints::new(behave);
    let processes = endpoints.start_processes().await;
    for path in ["/once/x", "/idempotent/x"] {
        endpoints.forget_arrivals();
        send_repeatedly(&processes, path, KNOWN_WITHIN + KNOWN_WITHIN).await;
        let late = endpoints.late_arrivals(QUARANTINE_CRASHES);
        assert!(
            late <= TOLERATED_LATE_ARRIVALS,
            "{path}: {late} more endpoints crashed"
        );
        let response = processes.send_request(0, path, CRASHING_BODY).await;
        assert_eq!(response.status, 503, "{response:?}");
        let response = processes.send_request(0, path, "fine").await;
        assert_eq!((response.status, &*response.body), (200, "ran"));
    }
}

/// Guards against a power failure erasing which requests crash endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_survives_a_power_failure() {
    let endpoints = CrashingEndpoints::new(behave);
    let mut processes = endpoints.start_processes().await;
    send_repeatedly(&processes, "/once/x", KNOWN_WITHIN).await;
    processes.lose_power().await;
    send_repeatedly(&processes, "/once/x", KNOWN_WITHIN).await;
    let late = endpoints.late_arrivals(QUARANTINE_CRASHES);
    assert!(
        late <= TOLERATED_LATE_ARRIVALS,
        "{late} more endpoints crashed"
    );
}

/// Sends one request while only this endpoint is listed, and waits until a crash would be detected.
async fn request_with_only(
    gateway: &TestGateway,
    id: &str,
    endpoint: &TestEndpoint,
    path: &str,
) -> ClientResponse {
    gateway
        .gw
        .directory
        .apply_list(&[listed(id, endpoint.addr)]);
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request(path, "id", "").await;
    sleep(Duration::from_millis(50)).await;
    response
}

/// Guards against a quarantine for lost responses without a crash.
#[tokio::test]
async fn lost_responses_without_a_crash_cause_no_quarantine() {
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[]).await;
    for number in 0..2 * QUARANTINE_CRASHES {
        let resetting = TestEndpoint::start(|_, _| vec![Step::Reset]).await;
        let response =
            request_with_only(&gateway, &format!("lossy-{number}"), &resetting, "/once/x").await;
        assert_eq!(response.status, 502);
    }
    assert_eq!(
        request_with_only(&gateway, "well", &working, "/once/x")
            .await
            .status,
        200
    );
}

/// Guards against a stream being quarantined for three crashes that came after its output had
/// begun.
#[tokio::test]
async fn stream_with_output_is_not_quarantined_after_three_crashes() {
    let working = TestEndpoint::start(|_, req| {
        let answer = [stream_head(req), chunk(&event(1)), stream_end()];
        vec![Step::Send(answer.concat())]
    })
    .await;
    let gateway = TestGateway::start(&[]).await;
    for number in 0..QUARANTINE_CRASHES {
        let crashing = TestEndpoint::start(|_, req| {
            vec![
                Step::Send(stream_head(req)),
                Step::Send(chunk(&event(1))),
                Step::Pause(Duration::from_millis(30)),
                Step::Crash,
            ]
        })
        .await;
        let id = format!("crashing-{number}");
        assert!(
            !request_with_only(&gateway, &id, &crashing, "/stream/x")
                .await
                .complete
        );
    }
    assert_eq!(
        request_with_only(&gateway, "well", &working, "/stream/x")
            .await
            .status,
        200
    );
}

/// Guards against a request that many clients share being quarantined because several copies were
/// in flight when a zone lost power.
#[tokio::test]
async fn frequently_answered_request_is_not_quarantined() {
    let behave = |number, req: &ReceivedRequest| match number {
        0 => vec![Step::Send(response(req, "ran"))],
        _ => vec![Step::Crash],
    };
    let mut crashing = Vec::new();
    for _ in 0..4 {
        crashing.push(TestEndpoint::start(behave).await);
    }
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("well", &working)]).await;
    for (number, endpoint) in crashing.iter().enumerate() {
        let id = format!("lost-{number}");
        for status in [200, 502] {
            let response = request_with_only(&gateway, &id, endpoint, "/once/x").await;
            assert_eq!(response.status, status);
        }
    }
    assert_eq!(
        request_with_only(&gateway, "well", &working, "/once/x")
            .await
            .status,
        200
    );
}

/// Guards against a gateway without a ledger sending on a request under which endpoints crashed.
#[tokio::test]
async fn gateway_without_a_ledger_quarantines_after_three_crashes() {
    let mut crashing = Vec::new();
    for _ in 0..5 {
        crashing.push(TestEndpoint::start(|_, _| vec![Step::Crash]).await);
    }
    let names = ["a", "b", "c", "d", "e"];
    let listed: Vec<_> = names.into_iter().zip(&crashing).collect();
    let gateway = TestGateway::start(&listed).await;
    for _ in 0..QUARANTINE_CRASHES {
        let mut client = Client::connect(gateway.addr).await;
        assert_eq!(client.request("/once/x", "id", "").await.status, 502);
        sleep(Duration::from_millis(50)).await;
    }
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/once/x", "id", "").await;
    assert_eq!(response.status, 503);
    assert!(
        response.retry_after() > Some(Duration::from_mins(1)),
        "{response:?}"
    );
    let received = crashing.iter().map(|endpoint| endpoint.received().len());
    assert_eq!(received.sum::<usize>(), QUARANTINE_CRASHES);
}

/// The ledger's report on a request under which three endpoints crashed.
fn ledger_suspects(
    gateway: &TestGateway,
    path: &str,
    key: Option<&str>,
) -> BTreeMap<ContentDigest, SuspectContent> {
    let table = gateway.gw.table.load_full().expect("a table");
    let route = table.route("shop", path).expect("a route").clone();
    let organisation = key.and_then(|key| table.organisation(key).cloned());
    let uri = path.parse().expect("a path");
    let body = bytes::Bytes::new();
    let content = digest(
        organisation.as_deref(),
        &route,
        &http::Method::POST,
        &uri,
        &body,
    );
    let mut suspect = SuspectContent::new(SystemTime::now());
    for endpoint in ["x", "y", "z"] {
        suspect.record_crash(&endpoint.into(), CrashedRun::BeforeOutput, suspect.since);
    }
    BTreeMap::from([(content, suspect)])
}

/// Guards against a request waiting for grants although its quarantine is known.
#[tokio::test]
async fn quarantined_request_is_refused_without_waiting_for_grants() {
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("well", &working)]).await;
    gateway
        .gw
        .apply_ledger_suspects(&ledger_suspects(&gateway, "/stream/x", Some("key")));
    let started_at = Instant::now();
    let mut client = Client::connect(gateway.addr).await;
    let headers = "x-key: key\r\nx-tokens: 100,30\r\n";
    let response = client.request("/stream/x", "id", headers).await;
    assert_eq!(response.status, 503);
    assert!(response.body.contains("crashes_endpoints"), "{response:?}");
    assert!(started_at.elapsed() < Duration::from_millis(150));
}

/// Guards against another attempt for a request that was quarantined while its first endpoint
/// worked on it.
#[tokio::test]
async fn request_quarantined_while_in_flight_is_not_retried() {
    let failing = TestEndpoint::start(|_, req| {
        let id = req.header("x-id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 500 Failed\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nwhy."
        );
        let after = Duration::from_millis(200);
        vec![Step::Pause(after), Step::Send(text.into_bytes())]
    })
    .await;
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("failing", &failing), ("well", &working)]).await;
    let suspects = ledger_suspects(&gateway, "/idempotent/x", None);
    let mut client = Client::connect(gateway.addr).await;
    let sending = client.request("/idempotent/x", "id", "");
    let reporting = async {
        sleep(Duration::from_millis(100)).await;
        gateway.gw.apply_ledger_suspects(&suspects);
    };
    let (response, ()) = tokio::join!(sending, reporting);
    assert_eq!((response.status, &*response.body), (500, "why."));
    assert!(working.received().is_empty());
}

/// Guards against a request that succeeds here being quarantined because copies at other gateways
/// were in flight when a zone lost power.
#[tokio::test]
async fn request_answered_here_is_not_quarantined_by_the_ledger() {
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("well", &working)]).await;
    let suspects = ledger_suspects(&gateway, "/once/x", None);
    for (answered, status) in [(false, 503), (true, 200)] {
        gateway.gw.apply_ledger_suspects(&BTreeMap::new());
        let mut client = Client::connect(gateway.addr).await;
        if answered {
            assert_eq!(client.request("/once/x", "id", "").await.status, 200);
        }
        gateway.gw.apply_ledger_suspects(&suspects);
        assert_eq!(client.request("/once/x", "id", "").await.status, status);
    }
}

/// Guards against a quarantine because leaving endpoints stopped while the request ran.
#[tokio::test]
async fn leaving_endpoint_that_stops_causes_no_quarantine() {
    let ends = |_, _: &ReceivedRequest| vec![Step::Pause(Duration::from_millis(300)), Step::Crash];
    let working = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[]).await;
    for number in 0..QUARANTINE_CRASHES {
        let leaving = TestEndpoint::start(ends).await;
        let mut listed = listed(&format!("leaving-{number}"), leaving.addr);
        gateway
            .gw
            .directory
            .apply_list(std::slice::from_ref(&listed));
        let mut client = Client::connect(gateway.addr).await;
        let sending = client.request("/once/x", "id", "");
        let leave = async {
            while leaving.received().is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
            listed.leaving = true;
            gateway
                .gw
                .directory
                .apply_list(std::slice::from_ref(&listed));
        };
        let (response, ()) = tokio::join!(sending, leave);
        assert_eq!(response.status, 502, "{response:?}");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        request_with_only(&gateway, "well", &working, "/once/x")
            .await
            .status,
        200
    );
}

/// A gateway that reads a list, and the text of that list.
async fn start_reading_list() -> (TestGateway, Arc<Mutex<String>>) {
    let text = Arc::new(Mutex::new(String::new()));
    let list_text = text.clone();
    let list = serve_list(move || list_text.lock().expect("the list text").clone()).await;
    (
        TestGateway::start_reading_list(list, Duration::from_millis(200)).await,
        text,
    )
}

/// Lists only this endpoint, and waits until the gateway has read the list.
async fn list_only(gateway: &TestGateway, text: &Mutex<String>, id: &str, addr: SocketAddr) {
    *text.lock().expect("the list text") = format!("{id} {addr}\n");
    while gateway.gw.directory.find(&id.into()).is_none() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against crashes not being counted if the whole machine is gone, so that no connection is
/// refused.
#[tokio::test]
async fn endpoint_missing_from_the_list_counts_as_crashed() {
    let (gateway, text) = start_reading_list().await;
    let mut client = Client::connect(gateway.addr).await;
    for number in 0..QUARANTINE_CRASHES {
        let resetting = TestEndpoint::start(|_, _| vec![Step::Reset]).await;
        list_only(&gateway, &text, &format!("lost-{number}"), resetting.addr).await;
        assert_eq!(client.request("/once/x", "id", "").await.status, 502);
    }
    let working = TestEndpoint::answering().await;
    list_only(&gateway, &text, "well", working.addr).await;
    let response = client.request("/once/x", "id", "").await;
    assert!(response.body.contains("crashes_endpoints"), "{response:?}");
}

/// Guards against crashes not being counted if another endpoint takes over the address at once.
#[tokio::test]
async fn replaced_endpoint_counts_as_crashed() {
    let gateway = TestGateway::start(&[]).await;
    for number in 0..QUARANTINE_CRASHES {
        let replaced = TestEndpoint::start(|number, req| match number {
            0 => vec![Step::Reset],
            _ => vec![Step::Send(not_run(req, "421 Misdirected Request"))],
        })
        .await;
        let id = format!("replaced-{number}");
        for (path, status) in [("/once/x", 502), ("/once/y", 503)] {
            let response = request_with_only(&gateway, &id, &replaced, path).await;
            assert_eq!(response.status, status);
        }
    }
    let working = TestEndpoint::answering().await;
    let response = request_with_only(&gateway, "well", &working, "/once/x").await;
    assert!(response.body.contains("crashes_endpoints"), "{response:?}");
}
