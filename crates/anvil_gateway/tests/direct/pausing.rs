//! Endpoints that turn requests away and ask for a pause.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anvil_gateway::Gateway;
use anvil_gateway::attempt::{
    AttemptOutcome, NotRun, OutgoingRequest, WholeRequest, send as send_attempt,
};
use anvil_gateway::attempt_counter::AttemptCounter;
use anvil_gateway::choose::{PlacementTerms, Selection, Unplaced};
use anvil_gateway::dialect::AvailabilityNotice;
use anvil_gateway::regions::{AllowedRegions, Constraints};
use anvil_gateway::stage_times::StageTimes;
use anvil_gateway::suspects::RequestContents;
use anvil_policy::engine::Prompt;
use anvil_world::prelude::*;
use anvilreel::retry_after::RetryAfter;
use http::{StatusCode, Uri};
use tokio::time::{Instant, sleep};

use crate::client::{Client, ClientResponse};
use crate::endpoint::{Step, TestEndpoint, refusal_with, response};
use crate::gateway::{SERVICE, TestGateway, listed, routes, table, table_with_warm_up};

/// Longest duration of a request that is refused at once.
const AT_ONCE: Duration = Duration::from_millis(100);

/// An endpoint that turns requests away for as long as it is busy.
#[derive(Clone)]
struct PausingEndpoint {
    endpoint: TestEndpoint,
    busy: Arc<AtomicBool>,
}

impl PausingEndpoint {
    /// A busy endpoint whose refusals have these header lines.
    async fn start(lines: &'static str) -> Self {
        let busy = Arc::new(AtomicBool::new(true));
        let is_busy = busy.clone();
        let endpoint = TestEndpoint::start(move |_, req| {
            if is_busy.load(Ordering::Relaxed) {
                return vec![Step::Send(refusal_with(req, lines))];
            }
            vec![Step::Send(response(req, "ran"))]
        })
        .await;
        Self { endpoint, busy }
    }
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
    let ready = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("pausing", &pausing.endpoint), ("ready", &ready)]).await;
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(3) {
        assert_eq!(send(&gateway, "/once/x").await.0.status, 200);
        sleep(Duration::from_millis(10)).await;
    }
    let arrivals = pausing.endpoint.arrivals();
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
    assert_eq!(endpoint.endpoint.arrivals().len(), 1);
}

/// Guards against callers being told to return in the middle of a pause when their request was
/// turned away by all endpoints, or by as many as its route allows.
#[tokio::test]
async fn refusal_after_the_last_attempt_names_the_end_of_the_pause() {
    for max_attempts in [1, 3] {
        let short = PausingEndpoint::start("retry-after: 2.5\r\n").await;
        let long = PausingEndpoint::start("retry-after: 9\r\n").await;
        let gateway =
            TestGateway::start(&[("short", &short.endpoint), ("long", &long.endpoint)]).await;
        let mut routes = routes();
        for route in &mut routes {
            route.max_attempts = max_attempts;
        }
        gateway.gw.table.store(Some(Arc::new(table(2, routes))));
        let mut last = send(&gateway, "/once/x").await.0;
        if max_attempts == 1 {
            assert_eq!(last.retry_after(), Some(Duration::from_millis(300)));
            last = send(&gateway, "/once/x").await.0;
        }
        assert_eq!(last.status, 503);
        let retry_after = last.retry_after().expect("a time");
        assert!(retry_after > Duration::from_secs(2), "{retry_after:?}");
        assert!(retry_after < Duration::from_secs(4), "{retry_after:?}");
        assert_eq!(
            (
                short.endpoint.arrivals().len(),
                long.endpoint.arrivals().len()
            ),
            (1, 1)
        );
    }
}

/// Applies a request for a pause of an endpoint, as if it had answered a request.
fn request_pause(gw: &Gateway, id: &str, length: Duration) {
    let endpoint = gw.directory.find(&id.into()).expect("listed");
    let notice = AvailabilityNotice {
        retry_after: RetryAfter::Time(length),
        leaving: false,
    };
    gw.apply_notice(&endpoint, "r", StatusCode::SERVICE_UNAVAILABLE, notice);
}

fn select(gw: &Gateway, parts: &[(u64, Tokens)]) -> Result<Selection, Unplaced> {
    let constraints = Constraints {
        contents: None,
        tried: &[],
        regions: &AllowedRegions::default(),
        version: None,
        avoided: &[],
    };
    let prompt = Prompt {
        parts,
        max_output: 0,
    };
    let terms = PlacementTerms {
        within: Duration::MAX,
        with_room_within: None,
        is_replacement: false,
    };
    gw.select_endpoint(SERVICE, &prompt, constraints, terms)
}

/// Guards against a request that was on its way to an endpoint being sent after the endpoint asked
/// for a pause.
#[tokio::test]
async fn request_selected_before_a_pause_is_not_sent_in_it() {
    let ready = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("a", &ready)]).await;
    let selection = select(&gateway.gw, &[]).expect("an endpoint");
    request_pause(&gateway.gw, "a", Duration::from_secs(1));
    let mut request = WholeRequest::default();
    *request.uri_mut() = Uri::from_static("/once/x");
    let outgoing = OutgoingRequest {
        contents: RequestContents {
            request: 0,
            shared: &[],
        },
        request,
        id: "id",
        connection: None,
        on_new_connection: false,
        connect_deadline: Instant::now() + Duration::from_secs(1),
        deadline: Instant::now() + Duration::from_secs(1),
        client: None,
        watch: &mut None,
        stages: &mut StageTimes::new(Instant::now()),
    };
    let sent = send_attempt(&gateway.gw, selection.slot, outgoing).await;
    assert!(matches!(sent, Err(NotRun::NotAccepting)));
    assert!(ready.received().is_empty());
}

/// Guards against a request using up an attempt, and an endpoint that it may still be sent to, when
/// nothing was sent.
#[test]
fn request_that_was_not_sent_uses_no_attempt() {
    let mut counter = AttemptCounter::default();
    let outcome = AttemptOutcome::NotRun(NotRun::NotAccepting);
    counter.record("a".into(), &outcome, false);
    assert!(counter.may_continue(1) && counter.reached_none());
    assert!(counter.endpoints().is_empty() && !counter.was_received());
}

/// Guards against a new incarnation, or the new owner of an address, being held to a pause that
/// another one asked for.
#[tokio::test]
async fn pause_does_not_bind_a_new_incarnation() {
    let endpoint = PausingEndpoint::start("retry-after: 60\r\n").await;
    let gateway = TestGateway::start(&[("old", &endpoint.endpoint)]).await;
    assert_eq!(send(&gateway, "/once/x").await.0.status, 503);
    endpoint.busy.store(false, Ordering::Relaxed);
    assert_eq!(send(&gateway, "/once/x").await.0.status, 503);
    let new = listed("new", endpoint.endpoint.addr);
    gateway.gw.directory.apply_list(&[new]);
    assert_eq!(send(&gateway, "/once/x").await.0.status, 200);
}

/// Guards against all requests of a gateway returning at once when a pause ends.
#[tokio::test]
async fn sending_begins_slowly_after_a_pause() {
    let slow = TestEndpoint::start(move |number, req| {
        if number == 0 {
            return vec![Step::Send(refusal_with(req, "retry-after: 0.5\r\n"))];
        }
        let answer = response(req, "ran");
        vec![Step::Pause(Duration::from_millis(150)), Step::Send(answer)]
    })
    .await;
    let ready = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("slow", &slow), ("ready", &ready)]).await;
    assert_eq!(send(&gateway, "/once/x").await.0.status, 200);
    sleep(Duration::from_millis(600)).await;
    let all = (0..20).map(|_| send(&gateway, "/once/x"));
    let all = futures::future::join_all(all).await;
    assert!(all.iter().all(|(response, _)| response.status == 200));
    assert_eq!(slow.received().len(), 2);
}

/// Guards against a stream being resumed at an endpoint that asked for a pause.
#[tokio::test]
async fn broken_stream_is_not_resumed_in_a_pause() {
    let breaking = TestEndpoint::breaking_off().await;
    let pausing = PausingEndpoint::start("retry-after: 60\r\n").await;
    let gateway =
        TestGateway::start(&[("breaking", &breaking), ("pausing", &pausing.endpoint)]).await;
    request_pause(&gateway.gw, "pausing", Duration::from_mins(1));
    let (broken, _) = send(&gateway, "/resumed/x").await;
    assert!(!broken.complete, "{broken:?}");
    assert!(pausing.endpoint.arrivals().is_empty());
}

/// Guards against another engine being taken for the home of a prompt while its home pauses, and
/// against a request that has an engine copy from a paused one.
#[tokio::test]
async fn home_of_a_prompt_stays_its_home_in_a_pause() {
    let (first, second) = (
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
    );
    let gateway = TestGateway::start(&[]).await;
    let list = [listed("a", first.addr), listed("b", second.addr)];
    gateway.gw.directory.apply_list(&list);
    let parts = [(7, 6_000), (8, 100)];
    let home = select(&gateway.gw, &parts).expect("an endpoint");
    assert_eq!(home.missing_tokens, 100);
    request_pause(&gateway.gw, &home.slot.endpoint.id, Duration::from_mins(1));
    let other = select(&gateway.gw, &parts).expect("an endpoint");
    assert_ne!(other.slot.endpoint.id, home.slot.endpoint.id);
    assert_eq!((other.missing_tokens, other.copy_from), (6_100, None));
}

/// Guards against a pause being forgotten where other bars apply too: evacuations, limits, warm-ups.
#[tokio::test]
async fn longest_bar_of_each_endpoint_counts() {
    let (first, second) = (
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
    );
    let gateway = TestGateway::start(&[("a", &first), ("b", &second)]).await;
    let gw = &gateway.gw;
    gw.gateway_count.store(1, Ordering::Relaxed);
    request_pause(gw, "a", Duration::from_secs(20));
    // The other one is in a zone that is evacuated.
    let zones = Arc::new(["local-b".into()].into());
    gw.directory.set_evacuated_zones(zones);
    assert!(matches!(select(gw, &[]), Err(Unplaced::Paused(time)) if time.as_secs() >= 20));
    gw.directory.set_evacuated_zones(Arc::default());
    assert!(select(gw, &[]).is_ok());
    // It is at its limit, one request in ten seconds, which ends before the pause.
    let limited = gw.directory.find(&"b".into()).expect("listed");
    limited.apply_reported_limit(gw.lifecycle.now(), Some(100), &gw.log);
    select(gw, &[]).ok();
    assert!(matches!(select(gw, &[]), Err(Unplaced::AtLimit(time)) if time.as_secs() <= 10));
    request_pause(gw, "b", Duration::from_secs(15));
    assert!(matches!(select(gw, &[]), Err(Unplaced::Paused(time)) if time.as_secs() >= 15));
    // The first one is warming up, and this gateway may not take part.
    gw.table.store(Some(Arc::new(table_with_warm_up(2))));
    gw.record_unreachable(&limited);
    assert!(matches!(select(gw, &[]), Err(Unplaced::Paused(time)) if time.as_secs() >= 15));
}

/// Guards against statuses that speak of a request or its sender closing an endpoint.
#[tokio::test]
async fn only_status_503_asks_for_a_pause() {
    let ready = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("a", &ready)]).await;
    let endpoint = gateway.gw.directory.find(&"a".into()).expect("listed");
    let notice = AvailabilityNotice {
        retry_after: RetryAfter::Time(Duration::from_mins(1)),
        leaving: false,
    };
    for status in [200, 400, 421, 429, 500, 504] {
        let status = StatusCode::from_u16(status).expect("a status");
        gateway.gw.apply_notice(&endpoint, "r", status, notice);
    }
    assert_eq!(gateway.gw.count_paused(), 0);
    let unreadable = AvailabilityNotice {
        retry_after: RetryAfter::Unreadable,
        ..notice
    };
    let status = StatusCode::SERVICE_UNAVAILABLE;
    gateway.gw.apply_notice(&endpoint, "r", status, unreadable);
    assert_eq!(gateway.gw.count_paused(), 0);
    gateway.gw.apply_notice(&endpoint, "r", status, notice);
    assert_eq!(gateway.gw.count_paused(), 1);
}

/// Guards against a gateway that sends the load of a paused endpoint to the others until they ask for
/// pauses too, and against a bound on them when none pauses.
#[tokio::test]
async fn endpoints_beside_a_paused_one_get_what_they_bear() {
    let (first, second) = (
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
    );
    let gateway = TestGateway::start(&[("a", &first), ("b", &second)]).await;
    let gw = &gateway.gw;
    request_pause(gw, "a", Duration::from_millis(500));
    // Eight slots, and a quarter as many that wait.
    let mut selected: Vec<_> = (0..10).map(|_| select(gw, &[]).expect("room")).collect();
    assert!(matches!(select(gw, &[]), Err(Unplaced::Full)));
    selected.pop();
    selected.push(select(gw, &[]).expect("room"));
    sleep(Duration::from_millis(600)).await;
    assert!((0..20).all(|_| select(gw, &[]).is_ok()));
}

/// Guards against an answer that asks for a pause going unread because the client left before it came.
#[tokio::test]
async fn answer_that_comes_after_the_client_has_left_is_heard() {
    for delay in [Duration::ZERO, Duration::from_millis(30)] {
        let pausing = TestEndpoint::start(move |_, req| {
            let answer = refusal_with(req, "retry-after: 60\r\n");
            vec![Step::Pause(delay), Step::Send(answer)]
        })
        .await;
        let gateway = TestGateway::start(&[("pausing", &pausing)]).await;
        let mut client = Client::connect(gateway.addr).await;
        client.send("/once/x", "id", "content-length: 0\r\n").await;
        while pausing.received().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        drop(client);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(gateway.gw.count_paused(), 1, "{delay:?}");
    }
}

/// Guards against an answer that asks for a pause going unread because the request timed out just
/// before it came.
#[tokio::test]
async fn answer_that_comes_after_the_timeout_is_heard() {
    let pausing = TestEndpoint::start(|_, req| {
        let answer = refusal_with(req, "retry-after: 60\r\n");
        vec![Step::Pause(Duration::from_millis(130)), Step::Send(answer)]
    })
    .await;
    let gateway = TestGateway::start(&[("pausing", &pausing)]).await;
    let mut client = Client::connect(gateway.addr).await;
    let timed_out = client.request("/once/x", "id", "x-wait: 100\r\n").await;
    assert_eq!(timed_out.status, 504);
    sleep(Duration::from_millis(150)).await;
    assert_eq!(gateway.gw.count_paused(), 1);
}
