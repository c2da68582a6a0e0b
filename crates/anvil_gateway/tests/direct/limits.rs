//! Gateways before endpoints that take so many requests a second from all of them together.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use anvil_world::endpoint_limit::EndpointLimit;
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::endpoint::{Endpoint, Step, answer_with};
use crate::fleet::{Fleet, listed};
use crate::processes::{GATEWAYS, Processes};

/// Requests in a thousand seconds that an endpoint in need takes.
const LIMIT: u64 = 1_000;
/// Time after an endpoint first names its limit from which on it must be kept.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Any span of this length counts.
const SPAN: Duration = Duration::from_secs(4);
/// Arrivals in such a span that are borne: one and a half times the limit, and five.
const MOST_IN_A_SPAN: usize = 11;
/// Time between two requests of all callers together.
const EVERY: Duration = Duration::from_millis(25);

/// An endpoint that may be in need, and when requests came to it.
#[derive(Clone)]
struct InNeed {
    endpoint: Endpoint,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    names_limit: Arc<AtomicBool>,
}

impl InNeed {
    async fn start(names_limit: bool) -> Self {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let names_limit = Arc::new(AtomicBool::new(names_limit));
        let (came, names) = (arrivals.clone(), names_limit.clone());
        let endpoint = Endpoint::start(move |_, req| {
            came.lock().expect("times").push(Instant::now());
            let limit = names.load(Ordering::Relaxed);
            let limit = if limit {
                format!("x-limit: {LIMIT}\r\n")
            } else {
                String::new()
            };
            vec![Step::Send(answer_with(req, &limit, "ran"))]
        })
        .await;
        Self {
            endpoint,
            arrivals,
            names_limit,
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

async fn serve(endpoints: &[&InNeed]) -> Processes {
    let lines = endpoints.iter().enumerate();
    let lines = lines.map(|(number, e)| format!("e-{number} {}\n", e.endpoint.addr));
    let text: String = lines.collect();
    Processes::start(move || text.clone()).await
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

/// Guards against an endpoint in need that gets its limit from each gateway, or the load it had before.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_gets_its_limit_from_all_gateways_together() {
    let (well, in_need) = (InNeed::start(false).await, InNeed::start(true).await);
    let processes = serve(&[&well, &in_need]).await;
    let begun = Instant::now();
    let (statuses, _) = load(&processes, KNOWN_WITHIN + 2 * SPAN).await;
    assert!(statuses.iter().all(|status| *status == 200));
    let most = in_need.most_in_a_span(begun + KNOWN_WITHIN);
    assert!(most <= MOST_IN_A_SPAN, "{most} requests in {SPAN:?}");
    assert!(most > 0, "it gets some");
}

/// Guards against requests that wait, or are sent nevertheless, where no endpoint has room.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_where_all_endpoints_are_at_their_limits() {
    let (one, other) = (InNeed::start(true).await, InNeed::start(true).await);
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

/// Guards against an endpoint that stays without work after its need is over.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_names_no_limit_any_more_gets_its_share_again() {
    let (well, in_need) = (InNeed::start(false).await, InNeed::start(true).await);
    let processes = serve(&[&well, &in_need]).await;
    load(&processes, KNOWN_WITHIN).await;
    in_need.names_limit.store(false, Ordering::Relaxed);
    // Each gateway hears of it with its next request there.
    load(&processes, 2 * SPAN).await;
    let since = Instant::now();
    load(&processes, SPAN).await;
    let arrivals = in_need.arrivals();
    let again = arrivals.iter().filter(|at| **at >= since).count();
    assert!(again > MOST_IN_A_SPAN, "{again} requests in {SPAN:?}");
}

/// Guards against a gateway that learns of a limit, and of its end, only by requests of its own.
#[tokio::test]
async fn what_other_gateways_heard_holds_here() {
    let endpoint = InNeed::start(true).await;
    let fleet = Fleet::start(&[("a", &endpoint.endpoint)]).await;
    let mut told = BTreeMap::new();
    let limit = EndpointLimit {
        limit: LIMIT,
        at: SystemTime::now(),
    };
    told.insert("a".into(), limit);
    told.insert("b".into(), limit);
    let ask = async |count| {
        let mut served = 0;
        for _ in 0..count {
            let mut client = Client::connect(fleet.addr).await;
            served += usize::from(client.ask("/once/x", "id", "").await.status == 200);
        }
        served
    };
    fleet.gw.take_limits(&told);
    let served = ask(10).await;
    assert!(served <= 1, "{served} at the limit");
    endpoint.names_limit.store(false, Ordering::Relaxed);
    fleet.gw.take_limits(&BTreeMap::new());
    assert_eq!(ask(10).await, 10, "after its end");
    endpoint.names_limit.store(true, Ordering::Relaxed);
    fleet.gw.take_limits(&told);
    fleet
        .gw
        .directory
        .take(&[listed("b", endpoint.endpoint.addr)]);
    fleet.gw.limits_of_new(&["b".into()]);
    let served = ask(10).await;
    assert!(served <= 1, "{served} at the limit of one listed later");
}
