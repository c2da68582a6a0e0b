//! Gateways in front of endpoints that limit the rate of requests from all gateways together.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use anvil_world::endpoint_limit::EndpointLimit;
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, response_with};
use crate::gateway::TestGateway;
use crate::processes::{GATEWAYS, Processes, serve_list};

/// Requests per thousand seconds that a limited endpoint accepts.
const LIMIT: u64 = 1_000;
/// The limit must hold from this time after an endpoint first announces it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Length of the time windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Tolerated arrivals in such a window: one and a half times the limit, plus five.
const MAX_IN_WINDOW: usize = 11;
/// Time in which the ledger informs all gateways.
const REPORTED_WITHIN: Duration = Duration::from_secs(1);
/// Time between two requests, over all clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// An endpoint that may announce a limit.
#[derive(Clone)]
struct LimitedEndpoint {
    endpoint: TestEndpoint,
    /// The limit that it announces; 0 for none.
    limit: Arc<AtomicU64>,
}

impl LimitedEndpoint {
    async fn start(limit: u64) -> Self {
        let limit = Arc::new(AtomicU64::new(limit));
        let announced = limit.clone();
        let endpoint = TestEndpoint::start(move |_, req| {
            let lines = match announced.load(Ordering::Relaxed) {
                0 => String::new(),
                limit => format!("x-limit: {limit}\r\n"),
            };
            vec![Step::Send(response_with(req, &lines, "ran"))]
        })
        .await;
        Self { endpoint, limit }
    }

    /// Maximum number of arrivals in any window since then.
    fn max_in_window(&self, since: Instant) -> usize {
        let arrivals = self.endpoint.arrivals();
        let in_range: Vec<_> = arrivals.iter().filter(|at| **at >= since).collect();
        let in_span = |from: &Instant| {
            let count = in_range
                .iter()
                .filter(|at| ***at >= *from && ***at < *from + WINDOW);
            count.count()
        };
        in_range.iter().map(|at| in_span(at)).max().unwrap_or(0)
    }
}

async fn start_processes(endpoints: &[&LimitedEndpoint]) -> Processes {
    let lines = endpoints.iter().enumerate();
    let lines = lines.map(|(number, e)| format!("e-{number} {}\n", e.endpoint.addr));
    let text: String = lines.collect();
    Processes::start(move || text.clone()).await
}

/// Gateways in front of an endpoint whose limit they learn through the ledger.
async fn start_with_limit_from_ledger(endpoint: &LimitedEndpoint) -> Processes {
    let limit = endpoint.limit.swap(0, Ordering::Relaxed);
    let processes = start_processes(&[endpoint]).await;
    endpoint.limit.store(limit, Ordering::Relaxed);
    // The gateway learns the limit with the first request, and uses up its share with the second.
    for status in [200, 200, 503] {
        assert_eq!(
            processes.send_request(0, "/once/x", "").await.status,
            status
        );
    }
    sleep(REPORTED_WITHIN).await;
    processes
}

/// Sends requests to the gateways in turn for this time; returns the statuses and the longest
/// duration of a request.
async fn send_for(processes: &Processes, duration: Duration) -> (Vec<u16>, Duration) {
    let started_at = Instant::now();
    let mut statuses = Vec::new();
    let mut longest = Duration::ZERO;
    for number in (0..GATEWAYS).cycle() {
        if started_at.elapsed() > duration {
            break;
        }
        let sent_at = Instant::now();
        statuses.push(processes.send_request(number, "/once/x", "").await.status);
        longest = longest.max(sent_at.elapsed());
        sleep(REQUEST_INTERVAL.saturating_sub(sent_at.elapsed())).await;
    }
    (statuses, longest)
}

/// Guards against an endpoint receiving its limit from each gateway, or its previous load.
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_for_all_gateways_together() {
    let (unlimited, limited) = (
        LimitedEndpoint::start(0).await,
        LimitedEndpoint::start(LIMIT).await,
    );
    let processes = start_processes(&[&unlimited, &limited]).await;
    let started_at = Instant::now();
    let (statuses, _) = send_for(&processes, KNOWN_WITHIN + 2 * WINDOW).await;
    assert!(statuses.iter().all(|status| *status == 200));
    let arrivals = limited.max_in_window(started_at + KNOWN_WITHIN);
    assert!(
        arrivals <= MAX_IN_WINDOW,
        "{arrivals} requests in {WINDOW:?}"
    );
    assert!(arrivals > 0, "no requests arrived");
}

/// Guards against requests waiting, or being sent anyway, when all endpoints are at their limits.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_when_all_endpoints_are_at_their_limits() {
    let (first, second) = (
        LimitedEndpoint::start(LIMIT).await,
        LimitedEndpoint::start(LIMIT).await,
    );
    let processes = start_processes(&[&first, &second]).await;
    let started_at = Instant::now();
    send_for(&processes, KNOWN_WITHIN).await;
    let (statuses, longest) = send_for(&processes, 2 * WINDOW).await;
    for endpoint in [&first, &second] {
        let arrivals = endpoint.max_in_window(started_at + KNOWN_WITHIN);
        assert!(
            arrivals <= MAX_IN_WINDOW,
            "{arrivals} requests in {WINDOW:?}"
        );
    }
    assert!(statuses.contains(&200) && statuses.contains(&503));
    assert!(longest < Duration::from_secs(1), "{longest:?}");
}

/// Guards against an endpoint staying without requests after its limit has ended.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_receives_its_share_again_after_its_limit_ends() {
    let (unlimited, limited) = (
        LimitedEndpoint::start(0).await,
        LimitedEndpoint::start(LIMIT).await,
    );
    let processes = start_processes(&[&unlimited, &limited]).await;
    send_for(&processes, KNOWN_WITHIN).await;
    limited.limit.store(0, Ordering::Relaxed);
    // Each gateway learns of the end with its next request to the endpoint.
    send_for(&processes, 2 * WINDOW).await;
    let since = Instant::now();
    send_for(&processes, WINDOW).await;
    let arrivals = limited.endpoint.arrivals();
    let requests = arrivals.iter().filter(|at| **at >= since).count();
    assert!(
        requests > MAX_IN_WINDOW,
        "{requests} requests in {WINDOW:?}"
    );
}

/// Guards against a gateway learning of a limit and its end only from its own requests.
#[tokio::test]
async fn limit_learned_by_another_gateway_is_applied() {
    let endpoint = LimitedEndpoint::start(LIMIT).await;
    let gateway = TestGateway::start(&[("a", &endpoint.endpoint)]).await;
    let mut ledger_limits = BTreeMap::new();
    let limit = EndpointLimit {
        limit: LIMIT,
        at: SystemTime::now(),
    };
    ledger_limits.insert("a".into(), limit);
    let count_served = async |count| {
        let mut served = 0;
        for _ in 0..count {
            let mut client = Client::connect(gateway.addr).await;
            served += usize::from(client.request("/once/x", "id", "").await.status == 200);
        }
        served
    };
    gateway.gw.apply_ledger_limits(&ledger_limits);
    let served = count_served(10).await;
    assert!(served <= 1, "{served} at the limit");
    endpoint.limit.store(0, Ordering::Relaxed);
    gateway.gw.apply_ledger_limits(&BTreeMap::new());
    assert_eq!(count_served(10).await, 10, "after its end");
}

/// Guards against the end of a limit reaching a gateway only when its share allows the next
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn end_of_a_limit_reaches_all_gateways() {
    // A gateway's share is one request per minute.
    let endpoint = LimitedEndpoint::start(50).await;
    let processes = start_with_limit_from_ledger(&endpoint).await;
    endpoint.limit.store(0, Ordering::Relaxed);
    let response = processes.send_request(2, "/once/x", "").await;
    assert_eq!(response.status, 200);
    sleep(REPORTED_WITHIN).await;
    for _ in 0..5 {
        assert_eq!(processes.send_request(0, "/once/x", "").await.status, 200);
    }
}

/// Guards against an endpoint being used without a limit because it was listed after the ledger
/// reported its limit.
#[tokio::test]
async fn limit_is_applied_to_an_endpoint_listed_later() {
    let endpoint = LimitedEndpoint::start(LIMIT).await;
    let line = format!("later {}\n", endpoint.endpoint.addr);
    let text = Arc::new(Mutex::new(String::new()));
    let list_text = text.clone();
    let list = serve_list(move || list_text.lock().expect("the list text").clone()).await;
    let gateway = TestGateway::start_reading_list(list, Duration::from_millis(200)).await;
    let limit = EndpointLimit {
        limit: LIMIT,
        at: SystemTime::now(),
    };
    gateway
        .gw
        .apply_ledger_limits(&BTreeMap::from([("later".into(), limit)]));
    *text.lock().expect("the list text") = line;
    let id = "later".into();
    while gateway.gw.directory.find(&id).is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    let listed = gateway.gw.directory.find(&id).expect("an endpoint");
    sleep(Duration::from_millis(50)).await;
    assert_eq!(listed.limit(), Some(LIMIT));
}
