//! Endpoints that turn requests away and ask for a pause.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::client::{Client, ClientResponse};
use crate::endpoint::{ReceivedRequest, Step, TestEndpoint, refusal_with, response};
use crate::gateway::TestGateway;

/// Longest duration of a request that is refused at once.
const AT_ONCE: Duration = Duration::from_millis(100);

/// An endpoint that turns requests away for as long as it is busy, with the arrival times of all
/// requests.
#[derive(Clone)]
struct PausingEndpoint {
    endpoint: TestEndpoint,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    busy: Arc<AtomicBool>,
}

impl PausingEndpoint {
    /// A busy endpoint whose refusals have these header lines.
    async fn start(lines: &'static str) -> Self {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let busy = Arc::new(AtomicBool::new(true));
        let (arrived, is_busy) = (arrivals.clone(), busy.clone());
        let endpoint = TestEndpoint::start(move |_, req| {
            arrived.lock().expect("times").push(Instant::now());
            if is_busy.load(Ordering::Relaxed) {
                return vec![Step::Send(refusal_with(req, lines))];
            }
            vec![Step::Send(response(req, "ran"))]
        })
        .await;
        Self {
            endpoint,
            arrivals,
            busy,
        }
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("times").clone()
    }
}

async fn ready_endpoint() -> TestEndpoint {
    let ran = |_: usize, req: &ReceivedRequest| vec![Step::Send(response(req, "ran"))];
    TestEndpoint::start(ran).await
}

async fn send(gateway: &TestGateway, path: &str) -> (ClientResponse, Duration) {
    let sent_at = Instant::now();
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request(path, "id", "").await;
    (response, sent_at.elapsed())
}

/// Guards against an endpoint that asked for a pause receiving further requests in it.
#[tokio::test]
async fn endpoint_that_asked_for_a_pause_receives_nothing_until_its_end() {
    let pausing = PausingEndpoint::start("retry-after: 1.2\r\n").await;
    let ready = ready_endpoint().await;
    let gateway = TestGateway::start(&[("pausing", &pausing.endpoint), ("ready", &ready)]).await;
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(3) {
        assert_eq!(send(&gateway, "/once/x").await.0.status, 200);
        sleep(Duration::from_millis(10)).await;
    }
    let arrivals = pausing.arrivals();
    assert!((2..=3).contains(&arrivals.len()), "{arrivals:?}");
    for pair in arrivals.windows(2) {
        assert!(
            pair[1] - pair[0] >= Duration::from_millis(1_200),
            "{arrivals:?}"
        );
    }
}

/// Guards against requests that wait, or are sent anyway, or return too early, while all endpoints
/// have asked for a pause.
#[tokio::test]
async fn requests_are_refused_at_once_while_all_endpoints_pause() {
    let endpoint = PausingEndpoint::start("retry-after: 3.5\r\n").await;
    let gateway = TestGateway::start(&[("a", &endpoint.endpoint)]).await;
    for path in ["/once/x", "/idempotent/x", "/resumed/x", "/once/x"] {
        let (refused, took) = send(&gateway, path).await;
        assert_eq!(refused.status, 503);
        assert!(took < AT_ONCE, "{took:?}");
        let retry_after = refused.retry_after().expect("a time");
        assert!(retry_after > Duration::from_secs(3), "{retry_after:?}");
        assert!(retry_after < Duration::from_secs(5), "{retry_after:?}");
    }
    assert_eq!(endpoint.arrivals().len(), 1);
}
