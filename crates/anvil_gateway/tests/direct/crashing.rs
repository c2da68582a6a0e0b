//! A ledger and several gateways before endpoints that crash under one request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use anvil_gateway::request_digest::digest;
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use tokio::time::{Instant, sleep};

use crate::client::{Client, Got};
use crate::endpoint::{
    Endpoint, Received, Step, answer, chunk, event, not_run, stream_end, stream_head,
};
use crate::fleet::{Fleet, listed};
use crate::processes::{GATEWAYS, Processes, listing};

/// Endpoints that run at once.
const ENDPOINTS: usize = 6;
/// Body of the request that crashes each endpoint which begins to run it.
const POISON: &str = "crash";
/// A crashed endpoint stays on the list for so long.
const LISTED_FOR: Duration = Duration::from_millis(500);
/// A crashed endpoint is back, in another life, after this time.
const BACK_AFTER: Duration = Duration::from_millis(700);
/// Endpoints that may crash under a request before it must be kept from them.
const CRASHES: usize = 3;
/// Time in which all gateways know of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Arrivals later than that which are borne.
const STRAYS: usize = 3;

/// The endpoints of one test, and when each of them crashed.
#[derive(Clone, Default)]
struct Endpoints {
    listed: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
    crashes: Arc<Mutex<Vec<Instant>>>,
    begun: Arc<Mutex<usize>>,
}

impl Endpoints {
    async fn start(&self) {
        let own = self.clone();
        let number = {
            let mut begun = self.begun.lock().expect("a number");
            *begun += 1;
            *begun
        };
        let id = format!("life-{number}");
        let name = id.clone();
        let endpoint = Endpoint::start(move |_, req| own.behave(&name, req)).await;
        let mut listed = self.listed.lock().expect("a list");
        listed.insert(id, endpoint.addr);
    }

    fn behave(&self, id: &str, req: &Received) -> Vec<Step> {
        if req.body != POISON.as_bytes() {
            return vec![Step::Send(answer(req, "ran"))];
        }
        self.crashes.lock().expect("times").push(Instant::now());
        let (own, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move {
            sleep(LISTED_FOR).await;
            own.listed.lock().expect("a list").remove(&id);
            sleep(BACK_AFTER.saturating_sub(LISTED_FOR)).await;
            own.start().await;
        });
        vec![Step::Crash]
    }

    fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().expect("times").clone()
    }

    fn text(&self) -> String {
        let listed = self.listed.lock().expect("a list");
        let lines = listed.iter().map(|(id, addr)| format!("{id} {addr}\n"));
        lines.collect()
    }

    /// A ledger and gateways before them.
    async fn served(&self) -> Processes {
        for _ in 0..ENDPOINTS {
            self.start().await;
        }
        let own = self.clone();
        Processes::start(move || own.text()).await
    }
}

/// The same request again and again, at one gateway after the other.
async fn repeat(processes: &Processes, path: &str, lasts: Duration) {
    let begun = Instant::now();
    for number in (0..GATEWAYS).cycle() {
        if begun.elapsed() > lasts {
            break;
        }
        processes.ask(number, path, POISON).await;
        sleep(Duration::from_millis(100)).await;
    }
}

/// Arrivals that are too many: later than all gateways know of the crashes before.
fn strays(endpoints: &Endpoints) -> usize {
    let crashes = endpoints.crashes();
    let Some(last) = crashes.get(CRASHES - 1) else {
        return 0;
    };
    let late = |at: &&Instant| **at > *last + KNOWN_WITHIN;
    crashes.iter().filter(late).count()
}

/// Guards against a request that crashes one endpoint after the other as its callers come again, at any gateway.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_is_kept_from_them() {
    let endpoints = Endpoints::default();
    let processes = endpoints.served().await;
    for path in ["/once/x", "/idempotent/x"] {
        endpoints.crashes.lock().expect("times").clear();
        repeat(&processes, path, KNOWN_WITHIN + KNOWN_WITHIN).await;
        let strays = strays(&endpoints);
        assert!(strays <= STRAYS, "{path}: {strays} more endpoints crashed");
        let got = processes.ask(0, path, POISON).await;
        assert_eq!(got.status, 503, "{got:?}");
        let got = processes.ask(0, path, "fine").await;
        assert_eq!((got.status, &*got.body), (200, "ran"));
    }
}

/// Guards against a fleet that forgets, as it loses power, which request crashes endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_is_known_after_all_processes_lost_power() {
    let endpoints = Endpoints::default();
    let mut processes = endpoints.served().await;
    repeat(&processes, "/once/x", KNOWN_WITHIN).await;
    processes.lose_power().await;
    repeat(&processes, "/once/x", KNOWN_WITHIN).await;
    let strays = strays(&endpoints);
    assert!(strays <= STRAYS, "{strays} more endpoints crashed");
}

/// Asks once while only this endpoint is listed, and waits until its crash would be known.
async fn ask_only(fleet: &Fleet, id: &str, endpoint: &Endpoint, path: &str) -> Got {
    fleet.gw.directory.apply_list(&[listed(id, endpoint.addr)]);
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask(path, "id", "").await;
    sleep(Duration::from_millis(50)).await;
    got
}

/// Guards against a request that is quarantined because its answers are lost, though no endpoint crashes.
#[tokio::test]
async fn a_request_whose_answers_are_lost_is_not_quarantined() {
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[]).await;
    for number in 0..2 * CRASHES {
        let lossy = Endpoint::start(|_, _| vec![Step::Reset]).await;
        let got = ask_only(&fleet, &format!("lossy-{number}"), &lossy, "/once/x").await;
        assert_eq!(got.status, 502);
    }
    assert_eq!(ask_only(&fleet, "well", &well, "/once/x").await.status, 200);
}

/// Guards against a stream being quarantined for crashes that came while it was being answered.
#[tokio::test]
async fn a_stream_that_had_output_is_not_quarantined_for_three_crashes() {
    let well = Endpoint::start(|_, req| {
        let answer = [stream_head(req), chunk(&event(1)), stream_end()];
        vec![Step::Send(answer.concat())]
    })
    .await;
    let fleet = Fleet::start(&[]).await;
    for number in 0..CRASHES {
        let crashing = Endpoint::start(|_, req| {
            vec![
                Step::Send(stream_head(req)),
                Step::Send(chunk(&event(1))),
                Step::Pause(Duration::from_millis(30)),
                Step::Crash,
            ]
        })
        .await;
        let id = format!("crashing-{number}");
        assert!(!ask_only(&fleet, &id, &crashing, "/stream/x").await.whole);
    }
    assert_eq!(
        ask_only(&fleet, "well", &well, "/stream/x").await.status,
        200
    );
}

/// Guards against a lookup that all callers share being quarantined, because many were under way as a zone lost power.
#[tokio::test]
async fn a_request_that_is_answered_all_the_time_is_not_quarantined() {
    let behave = |number, req: &Received| match number {
        0 => vec![Step::Send(answer(req, "ran"))],
        _ => vec![Step::Crash],
    };
    let mut lost = Vec::new();
    for _ in 0..4 {
        lost.push(Endpoint::start(behave).await);
    }
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[("well", &well)]).await;
    for (number, endpoint) in lost.iter().enumerate() {
        let id = format!("lost-{number}");
        for status in [200, 502] {
            let got = ask_only(&fleet, &id, endpoint, "/once/x").await;
            assert_eq!(got.status, status);
        }
    }
    assert_eq!(ask_only(&fleet, "well", &well, "/once/x").await.status, 200);
}

/// Guards against a request that is sent on by a gateway which is cut off from the ledger.
#[tokio::test]
async fn a_gateway_by_itself_quarantines_a_request_under_which_three_endpoints_crashed() {
    let mut crashing = Vec::new();
    for _ in 0..5 {
        crashing.push(Endpoint::start(|_, _| vec![Step::Crash]).await);
    }
    let names = ["a", "b", "c", "d", "e"];
    let listed: Vec<_> = names.into_iter().zip(&crashing).collect();
    let fleet = Fleet::start(&listed).await;
    for _ in 0..CRASHES {
        let mut client = Client::connect(fleet.addr).await;
        assert_eq!(client.ask("/once/x", "id", "").await.status, 502);
        sleep(Duration::from_millis(50)).await;
    }
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/once/x", "id", "").await;
    assert_eq!(got.status, 503);
    assert!(got.retry_after() > Some(Duration::from_mins(1)), "{got:?}");
    let received = crashing.iter().map(|endpoint| endpoint.received().len());
    assert_eq!(received.sum::<usize>(), CRASHES);
}

/// What the ledger tells of a request under which three endpoints crashed.
fn told(fleet: &Fleet, path: &str, key: Option<&str>) -> BTreeMap<RequestDigest, Suspect> {
    let table = fleet.gw.table.load_full().expect("a table");
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
    let mut suspect = Suspect::new(SystemTime::now());
    for endpoint in ["x", "y", "z"] {
        suspect.crashed(&endpoint.into(), CrashedRun::BeforeOutput, suspect.since);
    }
    BTreeMap::from([(content, suspect)])
}

/// Guards against a request that waits for money, although it is known to be refused.
#[tokio::test]
async fn a_quarantined_request_is_refused_before_money_is_asked_for() {
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[("well", &well)]).await;
    fleet
        .gw
        .apply_ledger_suspects(&told(&fleet, "/stream/x", Some("key")));
    let begun = Instant::now();
    let mut client = Client::connect(fleet.addr).await;
    let headers = "x-key: key\r\nx-tokens: 100,30\r\n";
    let got = client.ask("/stream/x", "id", headers).await;
    assert_eq!(got.status, 503);
    assert!(got.body.contains("crashes_endpoints"), "{got:?}");
    assert!(begun.elapsed() < Duration::from_millis(150));
}

/// Guards against a further endpoint for a request that is quarantined while its first one works on it.
#[tokio::test]
async fn a_request_quarantined_meanwhile_is_not_sent_on() {
    let failing = Endpoint::start(|_, req| {
        let id = req.header("x-id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 500 Failed\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nwhy."
        );
        let after = Duration::from_millis(200);
        vec![Step::Pause(after), Step::Send(text.into_bytes())]
    })
    .await;
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[("failing", &failing), ("well", &well)]).await;
    let told = told(&fleet, "/idempotent/x", None);
    let mut client = Client::connect(fleet.addr).await;
    let asking = client.ask("/idempotent/x", "id", "");
    let telling = async {
        sleep(Duration::from_millis(100)).await;
        fleet.gw.apply_ledger_suspects(&told);
    };
    let (got, ()) = tokio::join!(asking, telling);
    assert_eq!((got.status, &*got.body), (500, "why."));
    assert!(well.received().is_empty());
}

/// Guards against a lookup that is quarantined, because many were under way at other gateways as a zone lost power.
#[tokio::test]
async fn a_request_that_was_answered_here_is_not_quarantined_by_the_ledgers_word() {
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[("well", &well)]).await;
    let told = told(&fleet, "/once/x", None);
    for (answered, status) in [(false, 503), (true, 200)] {
        fleet.gw.apply_ledger_suspects(&BTreeMap::new());
        let mut client = Client::connect(fleet.addr).await;
        if answered {
            assert_eq!(client.ask("/once/x", "id", "").await.status, 200);
        }
        fleet.gw.apply_ledger_suspects(&told);
        assert_eq!(client.ask("/once/x", "id", "").await.status, status);
    }
}

/// Guards against a request being quarantined because endpoints that were leaving ended while it ran.
#[tokio::test]
async fn an_endpoint_that_leaves_and_ends_counts_against_no_request() {
    let ends = |_, _: &Received| vec![Step::Pause(Duration::from_millis(100)), Step::Crash];
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = Fleet::start(&[]).await;
    for number in 0..CRASHES {
        let leaving = Endpoint::start(ends).await;
        let mut listed = listed(&format!("leaving-{number}"), leaving.addr);
        fleet.gw.directory.apply_list(std::slice::from_ref(&listed));
        let mut client = Client::connect(fleet.addr).await;
        let asking = client.ask("/once/x", "id", "");
        let leaves = async {
            sleep(Duration::from_millis(50)).await;
            listed.leaving = true;
            fleet.gw.directory.apply_list(std::slice::from_ref(&listed));
        };
        let (got, ()) = tokio::join!(asking, leaves);
        assert_eq!(got.status, 502);
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(ask_only(&fleet, "well", &well, "/once/x").await.status, 200);
}

/// A gateway that reads a list, with the text that it consists of.
async fn reading() -> (Fleet, Arc<Mutex<String>>) {
    let text = Arc::new(Mutex::new(String::new()));
    let told = text.clone();
    let list = listing(move || told.lock().expect("a text").clone()).await;
    (Fleet::reading(list, Duration::from_millis(200)).await, text)
}

/// Lists only this endpoint, and waits until the gateway knows.
async fn list_only(fleet: &Fleet, text: &Mutex<String>, id: &str, addr: SocketAddr) {
    *text.lock().expect("a text") = format!("{id} {addr}\n");
    while fleet.gw.directory.find(&id.into()).is_none() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against crashes that aren't counted where the machine is gone as well, so that nobody refuses a connection.
#[tokio::test]
async fn an_endpoint_that_is_listed_no_more_has_crashed() {
    let (fleet, text) = reading().await;
    let mut client = Client::connect(fleet.addr).await;
    for number in 0..CRASHES {
        let lossy = Endpoint::start(|_, _| vec![Step::Reset]).await;
        list_only(&fleet, &text, &format!("lost-{number}"), lossy.addr).await;
        assert_eq!(client.ask("/once/x", "id", "").await.status, 502);
    }
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    list_only(&fleet, &text, "well", well.addr).await;
    let got = client.ask("/once/x", "id", "").await;
    assert!(got.body.contains("crashes_endpoints"), "{got:?}");
}

/// Guards against crashes that aren't counted where another endpoint has the address at once.
#[tokio::test]
async fn an_endpoint_at_whose_address_another_one_answers_has_crashed() {
    let fleet = Fleet::start(&[]).await;
    for number in 0..CRASHES {
        let replaced = Endpoint::start(|number, req| match number {
            0 => vec![Step::Reset],
            _ => vec![Step::Send(not_run(req, "421 Misdirected Request"))],
        })
        .await;
        let id = format!("replaced-{number}");
        for (path, status) in [("/once/x", 502), ("/once/y", 503)] {
            let got = ask_only(&fleet, &id, &replaced, path).await;
            assert_eq!(got.status, status);
        }
    }
    let well = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let got = ask_only(&fleet, "well", &well, "/once/x").await;
    assert!(got.body.contains("crashes_endpoints"), "{got:?}");
}
