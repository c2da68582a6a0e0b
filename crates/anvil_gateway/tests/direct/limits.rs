//! Gateways before endpoints that take so many requests a second from all of them together.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use anvil_world::endpoint_limit::EndpointLimit;
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::endpoint::{Endpoint, Step, answer_with};
use crate::fleet::Fleet;
use crate::processes::{GATEWAYS, Processes, listing};

/// Requests in a thousand seconds that a limited endpoint takes.
const LIMIT: u64 = 1_000;
/// Time after an endpoint first names its limit from which on it must be kept.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Any span of this length counts.
const SPAN: Duration = Duration::from_secs(4);
/// Arrivals in such a span that are borne: one and a half times the limit, and five.
const MOST_IN_A_SPAN: usize = 11;
/// Time within which the ledger tells all gateways.
const TOLD_WITHIN: Duration = Duration::from_secs(1);
/// Time between two requests of all callers together.
const EVERY: Duration = Duration::from_millis(25);

/// An endpoint that may announce a limit, and when requests came to it.
#[derive(Clone)]
struct Limited {
    endpoint: Endpoint,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    /// What it announces; 0 for nothing.
    limit: Arc<AtomicU64>,
}

impl Limited {
    async fn start(limit: u64) -> Self {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let limit = Arc::new(AtomicU64::new(limit));
        let (came, announced) = (arrivals.clone(), limit.clone());
        let endpoint = Endpoint::start(move |_, req| {
            came.lock().expect("times").push(Instant::now());
            let lines = match announced.load(Ordering::Relaxed) {
                0 => String::new(),
                limit => format!("x-limit: {limit}\r\n"),
            };
            vec![Step::Send(answer_with(req, &lines, "ran"))]
        })
        .await;
        Self {
            endpoint,
            arrivals,
            limit,
        }
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("times").clone()
    }

    /// Most arrivals in any span since then.
    fn most_in_a_span(&self, since: Instant) -> usize {
        let arrivals = self.arrivals();
        let later: Vec<_> = arrivals.iter().filter(|at| **at >= since).collect();
        let in_span = |from: &Instant| {
            let span = later
                .iter()
                .filter(|at| ***at >= *from && ***at < *from + SPAN);
            span.count()
        };
        later.iter().map(|at| in_span(at)).max().unwrap_or(0)
    }
}

async fn serve(endpoints: &[&Limited]) -> Processes {
    let lines = endpoints.iter().enumerate();
    let lines = lines.map(|(number, e)| format!("e-{number} {}\n", e.endpoint.addr));
    let text: String = lines.collect();
    Processes::start(move || text.clone()).await
}

/// Before an endpoint with a limit that gateways hear of from each other.
async fn serve_slowly(endpoint: &Limited) -> Processes {
    let limit = endpoint.limit.swap(0, Ordering::Relaxed);
    let processes = serve(&[endpoint]).await;
    endpoint.limit.store(limit, Ordering::Relaxed);
    // It hears of the limit with the first one, and uses up its turn with the second.
    for status in [200, 200, 503] {
        assert_eq!(processes.ask(0, "/once/x", "").await.status, status);
    }
    sleep(TOLD_WITHIN).await;
    processes
}

/// Requests at all gateways in turn, for so long; returns their statuses and the longest time one took.
async fn load(processes: &Processes, lasts: Duration) -> (Vec<u16>, Duration) {
    let begun = Instant::now();
    let mut statuses = Vec::new();
    let mut longest = Duration::ZERO;
    for number in (0..GATEWAYS).cycle() {
        if begun.elapsed() > lasts {
            break;
        }
        let asked = Instant::now();
        statuses.push(processes.ask(number, "/once/x", "").await.status);
        longest = longest.max(asked.elapsed());
        sleep(EVERY.saturating_sub(asked.elapsed())).await;
    }
    (statuses, longest)
}

/// Guards against a limited endpoint that gets its limit from each gateway, or the load it had before.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_gets_its_limit_from_all_gateways_together() {
    let (well, limited) = (Limited::start(0).await, Limited::start(LIMIT).await);
    let processes = serve(&[&well, &limited]).await;
    let begun = Instant::now();
    let (statuses, _) = load(&processes, KNOWN_WITHIN + 2 * SPAN).await;
    assert!(statuses.iter().all(|status| *status == 200));
    let most = limited.most_in_a_span(begun + KNOWN_WITHIN);
    assert!(most <= MOST_IN_A_SPAN, "{most} requests in {SPAN:?}");
    assert!(most > 0, "it gets some");
}

/// Guards against requests that wait, or are sent nevertheless, where no endpoint has room.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_where_all_endpoints_are_at_their_limits() {
    let (one, other) = (Limited::start(LIMIT).await, Limited::start(LIMIT).await);
    let processes = serve(&[&one, &other]).await;
    let begun = Instant::now();
    load(&processes, KNOWN_WITHIN).await;
    let (statuses, longest) = load(&processes, 2 * SPAN).await;
    for endpoint in [&one, &other] {
        let most = endpoint.most_in_a_span(begun + KNOWN_WITHIN);
        assert!(most <= MOST_IN_A_SPAN, "{most} requests in {SPAN:?}");
    }
    assert!(statuses.contains(&200) && statuses.contains(&503));
    assert!(longest < Duration::from_secs(1), "{longest:?}");
}

/// Guards against an endpoint that stays without work after its limit is over.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_announces_no_limit_any_more_gets_its_share_again() {
    let (well, limited) = (Limited::start(0).await, Limited::start(LIMIT).await);
    let processes = serve(&[&well, &limited]).await;
    load(&processes, KNOWN_WITHIN).await;
    limited.limit.store(0, Ordering::Relaxed);
    // Each gateway hears of it with its next request there.
    load(&processes, 2 * SPAN).await;
    let since = Instant::now();
    load(&processes, SPAN).await;
    let arrivals = limited.arrivals();
    let again = arrivals.iter().filter(|at| **at >= since).count();
    assert!(again > MOST_IN_A_SPAN, "{again} requests in {SPAN:?}");
}

/// Guards against a gateway that learns of a limit, and of its end, only by requests of its own.
#[tokio::test]
async fn what_other_gateways_heard_holds_here() {
    let endpoint = Limited::start(LIMIT).await;
    let fleet = Fleet::start(&[("a", &endpoint.endpoint)]).await;
    let mut told = BTreeMap::new();
    let limit = EndpointLimit {
        limit: LIMIT,
        at: SystemTime::now(),
    };
    told.insert("a".into(), limit);
    let ask = async |count| {
        let mut served = 0;
        for _ in 0..count {
            let mut client = Client::connect(fleet.addr).await;
            served += usize::from(client.ask("/once/x", "id", "").await.status == 200);
        }
        served
    };
    fleet.gw.apply_ledger_limits(&told);
    let served = ask(10).await;
    assert!(served <= 1, "{served} at the limit");
    endpoint.limit.store(0, Ordering::Relaxed);
    fleet.gw.apply_ledger_limits(&BTreeMap::new());
    assert_eq!(ask(10).await, 10, "after its end");
}

/// Guards against the end of a limit that each gateway hears of only with its next turn.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_limit_is_known_to_all_gateways() {
    // A gateway's turn comes once in a minute.
    let endpoint = Limited::start(50).await;
    let processes = serve_slowly(&endpoint).await;
    endpoint.limit.store(0, Ordering::Relaxed);
    let heard = processes.ask(2, "/once/x", "").await;
    assert_eq!(heard.status, 200);
    sleep(TOLD_WITHIN).await;
    for _ in 0..5 {
        assert_eq!(processes.ask(0, "/once/x", "").await.status, 200);
    }
}

/// Guards against an endpoint that is listed after the ledger told of its limit, and gets requests as if it had none.
#[tokio::test]
async fn an_endpoint_that_is_listed_later_has_its_limit() {
    let endpoint = Limited::start(LIMIT).await;
    let line = format!("later {}\n", endpoint.endpoint.addr);
    let text = Arc::new(Mutex::new(String::new()));
    let told = text.clone();
    let list = listing(move || told.lock().expect("a text").clone()).await;
    let fleet = Fleet::reading(list, Duration::from_millis(200)).await;
    let limit = EndpointLimit {
        limit: LIMIT,
        at: SystemTime::now(),
    };
    fleet
        .gw
        .apply_ledger_limits(&BTreeMap::from([("later".into(), limit)]));
    *text.lock().expect("a text") = line;
    let id = "later".into();
    while fleet.gw.directory.find(&id).is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    let listed = fleet.gw.directory.find(&id).expect("an endpoint");
    sleep(Duration::from_millis(50)).await;
    assert_eq!(listed.limit(), Some(LIMIT));
}
