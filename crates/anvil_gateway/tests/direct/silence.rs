//! Endpoints that send nothing for a while and go on: their answers are not given up unless another
//! endpoint takes over.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_gateway::GatewaySettings;
use anvil_gateway::accept::resource_limits::ResourceLimits;
use anvil_policy::rate_share::RouterRank;
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvilreel::metrics::Metrics;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep};

use crate::client::{Client, ClientResponse};
use crate::endpoint::{
    ReceivedRequest, Step, TestEndpoint, chunk, event, not_run, response, response_with,
    stream_end, stream_head,
};
use crate::gateway::{SERVICE, TestGateway, listed, routes, settings, table};

/// A silence after which sound endpoints go on.
const HARMLESS: Duration = Duration::from_millis(1_400);
/// A silence after which a stream is moved if another endpoint takes it, and which ends before the
/// deadline.
const LONG: Duration = Duration::from_millis(2_200);
/// Two endpoints may work on one request for this long.
const BOTH_MAY_WORK: Duration = Duration::from_millis(400);
/// Gap after which clients abandon a stream on the routes of the tests.
const CLIENT_GAP: Duration = Duration::from_secs(2);
/// Events of a whole stream.
const EVENTS: u64 = 4;
/// Event before which an endpoint falls silent.
const SILENT_BEFORE: u64 = 3;

fn first_event(req: &ReceivedRequest) -> u64 {
    let after = req.header("x-after").and_then(|id| id.parse().ok());
    after.map_or(1, |after: u64| after + 1)
}

fn events(range: std::ops::RangeInclusive<u64>) -> impl Iterator<Item = Step> {
    range.map(|id| Step::Send(chunk(&event(id))))
}

fn whole_text() -> String {
    (1..=EVENTS).map(event).collect()
}

/// Streams that fall silent before [`SILENT_BEFORE`].
async fn silent_in_the_middle(silence: Step) -> TestEndpoint {
    TestEndpoint::start(move |_, req| {
        let mut steps = vec![Step::Send(stream_head(req))];
        steps.extend(events(first_event(req)..=SILENT_BEFORE - 1));
        steps.push(silence.clone());
        steps.extend(events(SILENT_BEFORE..=EVENTS));
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await
}

/// Streams that are silent between their head and their first event.
async fn silent_after_head(silence: Duration) -> TestEndpoint {
    TestEndpoint::start(move |_, req| {
        let mut steps = vec![Step::Send(stream_head(req)), Step::Pause(silence)];
        steps.extend(events(first_event(req)..=EVENTS));
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await
}

/// Streams that are silent before their head.
async fn silent_before_head(silence: Duration) -> TestEndpoint {
    TestEndpoint::start(move |_, req| {
        let mut steps = vec![Step::Pause(silence), Step::Send(stream_head(req))];
        steps.extend(events(first_event(req)..=EVENTS));
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await
}

/// Streams that are sent at once.
async fn working() -> TestEndpoint {
    silent_after_head(Duration::ZERO).await
}

/// Plain responses that come after this time.
async fn late(silence: Duration) -> TestEndpoint {
    TestEndpoint::start(move |_, req| vec![Step::Pause(silence), Step::Send(response(req, "late"))])
        .await
}

async fn start_with(cfg: GatewaySettings, endpoints: &[(&str, &TestEndpoint)]) -> TestGateway {
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::disabled("gateway");
    let gateway = TestGateway::start_configured(cfg, endpoints, log, metrics).await;
    // The whole retry budget is its own.
    gateway.gw.gateway_count.store(1, Ordering::Relaxed);
    gateway
}

/// Settings without any retries.
fn without_retries() -> GatewaySettings {
    GatewaySettings {
        retry_fraction: 0.0,
        retry_slack: 0.0,
        ..settings()
    }
}

/// Settings with a single retry.
fn with_one_retry() -> GatewaySettings {
    GatewaySettings {
        retry_fraction: 0.0,
        retry_slack: 2.5,
        ..settings()
    }
}

async fn request(gateway: &TestGateway, path: &str) -> ClientResponse {
    let mut client = Client::connect(gateway.addr).await;
    client.request(path, "id", "").await
}

fn assert_whole_stream(received: &ClientResponse) {
    assert!(received.complete, "{received:?}");
    assert_eq!((received.status, &received.body), (200, &whole_text()));
}

/// Guards against a stream being ended or moved while its endpoint is silent for a time that is
/// normal.
#[tokio::test]
async fn stream_goes_on_at_its_endpoint_after_a_harmless_silence() {
    let silent = silent_in_the_middle(Step::Pause(HARMLESS)).await;
    let other = working().await;
    let gateway = TestGateway::start(&[("silent", &silent), ("other", &other)]).await;
    assert_whole_stream(&request(&gateway, "/resumed/x").await);
    assert_eq!((silent.received().len(), other.received().len()), (1, 0));
}

/// Guards against a stream being moved or refused because its endpoint is silent for a normal time
/// before the first event, with or without its head.
#[tokio::test]
async fn stream_begins_at_its_endpoint_after_a_harmless_silence() {
    for silent in [
        silent_after_head(HARMLESS).await,
        silent_before_head(HARMLESS).await,
    ] {
        let other = working().await;
        let gateway = TestGateway::start(&[("silent", &silent), ("other", &other)]).await;
        assert_whole_stream(&request(&gateway, "/resumed/x").await);
        assert_eq!((silent.received().len(), other.received().len()), (1, 0));
    }
}

/// Guards against a silent endpoint being given up for an attempt that the retry budget then denies.
#[tokio::test]
async fn silent_endpoint_is_kept_while_the_retry_budget_is_used_up() {
    for silent in [
        silent_in_the_middle(Step::Pause(LONG)).await,
        silent_after_head(LONG).await,
        silent_before_head(LONG).await,
    ] {
        let other = working().await;
        let endpoints = [("silent", &silent), ("other", &other)];
        let gateway = start_with(without_retries(), &endpoints).await;
        assert_whole_stream(&request(&gateway, "/resumed/x").await);
        assert_eq!((silent.received().len(), other.received().len()), (1, 0));
    }
}

/// Guards against a silent endpoint being given up when there is no other, and against the looks for
/// another one using up the retry budget.
#[tokio::test]
async fn silent_endpoint_is_kept_while_there_is_no_other() {
    for silent in [
        silent_in_the_middle(Step::Pause(LONG)).await,
        silent_after_head(LONG).await,
        silent_before_head(LONG).await,
    ] {
        let gateway = start_with(with_one_retry(), &[("silent", &silent)]).await;
        assert_whole_stream(&request(&gateway, "/resumed/x").await);
        assert_eq!(silent.received().len(), 1);
        assert!(gateway.gw.try_count_retry(&SERVICE.into()));
    }
}

/// Guards against a silent endpoint being given up for one that turns out to be unreachable.
#[tokio::test]
async fn silent_endpoint_is_kept_while_the_other_is_unreachable() {
    let gone = TestEndpoint::answering().await;
    gone.crash();
    for silent in [
        silent_in_the_middle(Step::Pause(LONG)).await,
        silent_before_head(LONG).await,
    ] {
        let endpoints = [("silent", &silent), ("gone", &gone)];
        let gateway = start_with(with_one_retry(), &endpoints).await;
        assert_whole_stream(&request(&gateway, "/resumed/x").await);
        assert_eq!(silent.received().len(), 1);
        assert!(gateway.gw.try_count_retry(&SERVICE.into()));
    }
}

/// Guards against a silent endpoint being given up when all others are full, so that the stream lands
/// in a queue or is turned away.
#[tokio::test]
async fn silent_endpoint_is_kept_while_all_others_are_full() {
    let silent = silent_in_the_middle(Step::Pause(LONG)).await;
    let full = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let gateway = start_with_full(&silent, &full).await;
    let _occupying = occupy(&gateway).await;
    gateway.gw.directory.apply_list(&with_full(&silent, &full));
    assert_whole_stream(&request(&gateway, "/resumed/x").await);
    assert_eq!((silent.received().len(), full.received().len()), (1, 1));
}

/// Guards against a stream being kept at a silent endpoint although one that was full has room again.
#[tokio::test]
async fn stream_is_moved_once_another_endpoint_has_room() {
    let silent = silent_in_the_middle(Step::Hang).await;
    let full = TestEndpoint::start(|number, req| {
        if number == 0 {
            let until_room = Duration::from_millis(1_800);
            return vec![
                Step::Pause(until_room),
                Step::Send(response(req, "occupied")),
            ];
        }
        let mut steps = vec![Step::Send(stream_head(req))];
        steps.extend(events(first_event(req)..=EVENTS));
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await;
    let gateway = start_with_full(&silent, &full).await;
    let _occupying = occupy(&gateway).await;
    gateway.gw.directory.apply_list(&with_full(&silent, &full));
    assert_whole_stream(&request(&gateway, "/resumed/x").await);
    assert_eq!((silent.received().len(), full.received().len()), (1, 2));
}

/// A gateway that knows only the endpoint with a single slot.
async fn start_with_full(silent: &TestEndpoint, full: &TestEndpoint) -> TestGateway {
    let gateway = TestGateway::start_empty().await;
    let list = with_full(silent, full);
    gateway.gw.directory.apply_list(&list[1..]);
    let table = table(1, routes());
    gateway.gw.table.store(Some(Arc::new(table)));
    gateway
}

fn with_full(silent: &TestEndpoint, full: &TestEndpoint) -> [ListedEndpoint; 2] {
    let mut one_slot = listed("full", full.addr);
    one_slot.slots = 1;
    [listed("silent", silent.addr), one_slot]
}

/// Takes the only slot.
async fn occupy(gateway: &TestGateway) -> Client {
    let mut client = Client::connect(gateway.addr).await;
    let headers = "content-length: 0\r\n";
    client.send("/once/x", "occupying", headers).await;
    sleep(Duration::from_millis(100)).await;
    client
}

/// Guards against a silent endpoint being given up when all others are at their limits.
#[tokio::test]
async fn silent_endpoint_is_kept_while_all_others_are_at_their_limits() {
    let limited = TestEndpoint::start(|_, req| {
        // One request in a hundred seconds.
        vec![Step::Send(response_with(req, "x-limit: 10\r\n", "ran"))]
    })
    .await;
    let silent = silent_in_the_middle(Step::Pause(LONG)).await;
    let gateway = TestGateway::start(&[("limited", &limited)]).await;
    let mut sent = 0;
    while request(&gateway, "/once/x").await.status == 200 {
        sent += 1;
        assert!(sent < 20, "the limit is not applied");
    }
    let list = [
        listed("silent", silent.addr),
        listed("limited", limited.addr),
    ];
    gateway.gw.directory.apply_list(&list);
    assert_whole_stream(&request(&gateway, "/resumed/x").await);
    assert_eq!(
        (silent.received().len(), limited.received().len()),
        (1, sent)
    );
}

/// Guards against requests at a silent endpoint using up the limits of others while they may not be
/// sent there.
#[tokio::test]
async fn looks_for_another_endpoint_use_no_part_of_its_limit() {
    let limited = TestEndpoint::start(|_, req| {
        vec![Step::Send(response_with(req, "x-limit: 1000\r\n", "ran"))]
    })
    .await;
    let silent = silent_in_the_middle(Step::Pause(LONG)).await;
    let gateway = start_with(without_retries(), &[("limited", &limited)]).await;
    assert_eq!(request(&gateway, "/once/x").await.status, 200);
    let used = || {
        let known = gateway.gw.directory.find(&"limited".into());
        let alone = RouterRank {
            rank: 0,
            routers: 1,
            since: Duration::ZERO,
        };
        let known = known.expect("an endpoint");
        known.limit_used(gateway.gw.lifecycle.now(), alone).0
    };
    let before = used();
    let mut list = [
        listed("silent", silent.addr),
        listed("limited", limited.addr),
    ];
    list[1].zone = "local-b".into();
    gateway.gw.directory.apply_list(&list);
    assert_whole_stream(&request(&gateway, "/resumed/x").await);
    assert_eq!(used(), before);
}

/// Guards against a plain request that may be repeated being refused, while its response is on the way,
/// for an attempt that the retry budget then denies.
#[tokio::test]
async fn late_response_is_passed_on_while_the_retry_budget_is_used_up() {
    let slow = late(Duration::from_secs(1)).await;
    let other = TestEndpoint::answering().await;
    let endpoints = [("slow", &slow), ("other", &other)];
    let gateway = start_with(without_retries(), &endpoints).await;
    let received = request(&gateway, "/idempotent/x").await;
    assert_eq!((received.status, &*received.body), (200, "late"));
    assert_eq!((slow.received().len(), other.received().len()), (1, 0));
}

/// Guards against the same where no other endpoint exists.
#[tokio::test]
async fn late_response_is_passed_on_while_there_is_no_other_endpoint() {
    let slow = late(Duration::from_secs(1)).await;
    let gateway = start_with(with_one_retry(), &[("slow", &slow)]).await;
    let received = request(&gateway, "/idempotent/x").await;
    assert_eq!((received.status, &*received.body), (200, "late"));
    assert!(gateway.gw.try_count_retry(&SERVICE.into()));
}

/// Guards against a plain request waiting at a silent endpoint although another one is free.
#[tokio::test]
async fn plain_request_is_answered_elsewhere_soon() {
    let silent = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let other = TestEndpoint::answering().await;
    let gateway = start_with(with_one_retry(), &[("silent", &silent), ("other", &other)]).await;
    let started = Instant::now();
    let received = request(&gateway, "/idempotent/x").await;
    assert_eq!((received.status, &*received.body), (200, "ran"));
    assert!(started.elapsed() < Duration::from_millis(800));
    assert!(!gateway.gw.try_count_retry(&SERVICE.into()), "not counted");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(silent.abandoned(), 1);
}

/// Guards against a stream being kept at a lost endpoint until its client has left, in the middle and
/// before the first event, and against two endpoints that work on it.
#[tokio::test]
async fn stream_is_moved_before_its_client_leaves() {
    let before_first = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let after_head =
        TestEndpoint::start(|_, req| vec![Step::Send(stream_head(req)), Step::Hang]).await;
    for silent in [
        silent_in_the_middle(Step::Hang).await,
        before_first,
        after_head,
    ] {
        let other = working().await;
        let endpoints = [("silent", &silent), ("other", &other)];
        let gateway = start_with(with_one_retry(), &endpoints).await;
        let started = Instant::now();
        assert_whole_stream(&request(&gateway, "/resumed/x").await);
        assert!(started.elapsed() < CLIENT_GAP, "{:?}", started.elapsed());
        assert_eq!((silent.received().len(), other.received().len()), (1, 1));
        assert!(!gateway.gw.try_count_retry(&SERVICE.into()), "not counted");
        sleep(Duration::from_millis(100)).await;
        assert_eq!(silent.abandoned(), 1);
    }
}

/// Guards against a stream at a lost endpoint being kept so close to its deadline that no other endpoint
/// can complete it.
#[tokio::test]
async fn stream_is_moved_before_its_deadline() {
    let until_late = Duration::from_millis(600);
    let before_first = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let after_head =
        TestEndpoint::start(|_, req| vec![Step::Send(stream_head(req)), Step::Hang]).await;
    let late_in_the_middle = TestEndpoint::start(move |_, req| {
        let mut steps = vec![Step::Send(stream_head(req)), Step::Pause(until_late)];
        steps.extend(events(first_event(req)..=SILENT_BEFORE - 1));
        steps.push(Step::Hang);
        steps
    })
    .await;
    for silent in [before_first, after_head, late_in_the_middle] {
        let other = working().await;
        let endpoints = [("silent", &silent), ("other", &other)];
        let gateway = TestGateway::start(&endpoints).await;
        let mut slow_routes = routes();
        for route in &mut slow_routes {
            // Clients abandon a stream after 4.8 s here.
            route.timeout = Duration::from_secs(4);
            route.target_latency = Duration::from_millis(1_200);
            route.max_gap = Some(Duration::from_millis(300));
        }
        gateway
            .gw
            .table
            .store(Some(Arc::new(table(2, slow_routes))));
        let mut client = Client::connect(gateway.addr).await;
        let received = client.request("/resumed/x", "id", "x-wait: 4000\r\n").await;
        assert_whole_stream(&received);
        assert_eq!((silent.received().len(), other.received().len()), (1, 1));
    }
}

/// Guards against a stream being ended because the endpoint that takes over refuses it, although another
/// one is free.
#[tokio::test]
async fn stream_goes_on_when_the_first_replacement_refuses() {
    let silent = silent_in_the_middle(Step::Hang).await;
    let refusing = TestEndpoint::start(|_, req| {
        let until_listed = Duration::from_millis(200);
        let refusal = not_run(req, "503 Service Unavailable");
        vec![Step::Pause(until_listed), Step::Send(refusal)]
    })
    .await;
    let other = working().await;
    let endpoints = [("silent", &silent), ("refusing", &refusing)];
    let gateway = start_with(settings(), &endpoints).await;
    let list = [
        listed("silent", silent.addr),
        listed("refusing", refusing.addr),
        listed("other", other.addr),
    ];
    // The stream begins at the silent one and is moved to the only other one.
    gateway.gw.directory.apply_list(&list[..1]);
    let mut client = Client::connect(gateway.addr).await;
    client
        .send("/resumed/x", "id", "content-length: 0\r\n")
        .await;
    sleep(Duration::from_millis(500)).await;
    gateway.gw.directory.apply_list(&list[..2]);
    while refusing.received().is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    gateway.gw.directory.apply_list(&list);
    assert_whole_stream(&client.read_response().await);
    assert_eq!((refusing.received().len(), other.received().len()), (1, 1));
}

/// Guards against a stream being ended because the only endpoint that could take over refuses it, while
/// its own one goes on.
#[tokio::test]
async fn silent_endpoint_is_kept_when_the_only_replacement_refuses() {
    let silent = silent_in_the_middle(Step::Pause(Duration::from_millis(1_700))).await;
    let refusing = TestEndpoint::start(|_, req| {
        let refusal = not_run(req, "503 Service Unavailable");
        vec![Step::Send(refusal)]
    })
    .await;
    let endpoints = [("silent", &silent), ("refusing", &refusing)];
    let gateway = start_with(settings(), &endpoints).await;
    assert_whole_stream(&request(&gateway, "/resumed/x").await);
}

/// Guards against two endpoints that work on one stream for longer than a moment, since the one that
/// takes over accepts it late.
#[tokio::test]
async fn silent_endpoint_is_given_up_soon_after_the_stream_was_sent_to_another_one() {
    let silent = silent_in_the_middle(Step::Hang).await;
    let slow = silent_before_head(Duration::from_millis(900)).await;
    let endpoints = [("silent", &silent), ("slow", &slow)];
    let gateway = start_with(settings(), &endpoints).await;
    let answer = tokio::spawn(async move { request(&gateway, "/resumed/x").await });
    while slow.received().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    let sent_at = Instant::now();
    while silent.abandoned() == 0 {
        sleep(Duration::from_millis(5)).await;
        assert!(sent_at.elapsed() < BOTH_MAY_WORK, "{:?}", sent_at.elapsed());
    }
    assert_whole_stream(&answer.await.expect("an answer"));
}

/// Streams that can't be moved at the same time.
const SILENT_STREAMS: usize = 40;
/// The body of each request on a narrow link.
const PROMPT_BYTES: usize = 9_000;

/// Streams that fall silent for good, and plain responses.
async fn silent_at_streams() -> TestEndpoint {
    TestEndpoint::start(|_, req| {
        if req.head.contains("/once/") {
            let work = Duration::from_millis(5);
            return vec![Step::Pause(work), Step::Send(response(req, "ran"))];
        }
        let mut steps = vec![Step::Send(stream_head(req))];
        steps.extend(events(first_event(req)..=SILENT_BEFORE - 1));
        steps.push(Step::Hang);
        steps
    })
    .await
}

/// Opens streams with a prompt each, and keeps them open.
async fn open_silent_streams(gateway: &TestGateway) -> Vec<Client> {
    let mut streams = Vec::new();
    for number in 0..SILENT_STREAMS {
        let mut client = Client::connect(gateway.addr).await;
        let headers = format!("x-wait: 8000\r\ncontent-length: {PROMPT_BYTES}\r\n");
        client
            .send("/resumed/x", &format!("s{number}"), &headers)
            .await;
        client.send_bytes(&[b'b'; PROMPT_BYTES]).await;
        streams.push(client);
        sleep(Duration::from_millis(20)).await;
    }
    streams
}

/// Sends a plain request on a connection of its own.
async fn is_served(gateway: SocketAddr) -> bool {
    let Ok(mut client) = Client::try_connect(gateway).await else {
        return false;
    };
    let body = "b".repeat(PROMPT_BYTES);
    let response = client.try_request_with_body("/once/x", "p", &body).await;
    response.is_ok_and(|response| response.status == 200)
}

/// Sends bursts of plain requests for 3 s. The numbers of those that were sent and of those that
/// succeeded.
async fn send_bursts(gateway: &TestGateway) -> (u32, u32) {
    let (mut sent, mut succeeded) = (0, 0);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        let burst = [(); 5].map(|()| tokio::spawn(is_served(gateway.addr)));
        sleep(Duration::from_millis(100)).await;
        for request in burst {
            sent += 1;
            succeeded += u32::from(request.await.expect("a task"));
        }
    }
    (sent, succeeded)
}

/// Guards against requests being refused on a narrow link because streams that can't be moved occupy it
/// while they look for another endpoint.
#[tokio::test]
async fn looks_for_another_endpoint_do_not_occupy_the_link() {
    for retries in [without_retries(), with_one_retry()] {
        let silent = silent_at_streams().await;
        let mut cfg = retries;
        cfg.limits = ResourceLimits {
            link: Some(1_000_000),
            ..ResourceLimits::default()
        };
        let gateway = start_with(cfg, &[("silent", &silent)]).await;
        let mut with_slots = listed("silent", silent.addr);
        with_slots.slots = 500;
        gateway.gw.directory.apply_list(&[with_slots]);
        let mut long_routes = routes();
        for route in &mut long_routes {
            route.timeout = Duration::from_secs(8);
        }
        let table = table(2, long_routes);
        gateway.gw.table.store(Some(Arc::new(table)));
        let _streams = open_silent_streams(&gateway).await;
        sleep(Duration::from_millis(1_500)).await;
        // 56 % of what the link may carry.
        let (sent, succeeded) = send_bursts(&gateway).await;
        assert_eq!(succeeded, sent);
        assert!(sent >= 100, "{sent}");
    }
}

/// Guards against a stream being sent to more endpoints than its route allows when all are silent.
#[tokio::test]
async fn no_more_endpoints_are_asked_than_the_route_allows() {
    let silent = || TestEndpoint::start(|_, _| vec![Step::Hang]);
    let (one, two, three) = (silent().await, silent().await, silent().await);
    let gateway = TestGateway::start(&[("one", &one), ("two", &two), ("three", &three)]).await;
    let received = request(&gateway, "/resumed/x").await;
    assert_eq!(received.status, 504);
    let all = [&one, &two, &three];
    let total: usize = all.iter().map(|e| e.received().len()).sum();
    assert_eq!(total, 2);
}

/// Guards against a request that may run only once being given up, or sent to another endpoint, while
/// its endpoint is silent.
#[tokio::test]
async fn request_that_may_run_once_stays_at_its_silent_endpoint() {
    let plain = late(LONG).await;
    let streams = [
        silent_in_the_middle(Step::Pause(LONG)).await,
        silent_after_head(LONG).await,
        silent_before_head(LONG).await,
    ];
    let other = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("silent", &plain), ("other", &other)]).await;
    let received = request(&gateway, "/once/x").await;
    assert_eq!((received.status, &*received.body), (200, "late"));
    assert_eq!(plain.received().len(), 1);
    for silent in streams {
        let gateway = TestGateway::start(&[("silent", &silent), ("other", &other)]).await;
        assert_whole_stream(&request(&gateway, "/stream/x").await);
        assert_eq!(silent.received().len(), 1);
    }
    assert!(other.received().is_empty());
}

/// Guards against a plain response being given up because its endpoint is silent in the middle of it.
#[tokio::test]
async fn plain_response_is_complete_after_a_silence_in_its_body() {
    let silent = TestEndpoint::start(|_, req| {
        let whole = response(req, "whole");
        let (first, rest) = whole.split_at(whole.len() - 2);
        vec![
            Step::Send(first.to_vec()),
            Step::Pause(LONG),
            Step::Send(rest.to_vec()),
        ]
    })
    .await;
    let other = TestEndpoint::answering().await;
    for path in ["/once/x", "/idempotent/x"] {
        let gateway = TestGateway::start(&[("silent", &silent), ("other", &other)]).await;
        let received = request(&gateway, path).await;
        assert_eq!((received.status, &*received.body), (200, "whole"));
    }
    assert_eq!((silent.received().len(), other.received().len()), (2, 0));
}

/// Guards against an endpoint that was silent for a normal time being kept out afterwards.
#[tokio::test]
async fn endpoint_gets_requests_after_a_harmless_silence() {
    let silent = silent_in_the_middle(Step::Pause(HARMLESS)).await;
    let gateway = TestGateway::start(&[("silent", &silent)]).await;
    assert_whole_stream(&request(&gateway, "/resumed/x").await);
    let known = gateway.gw.directory.find(&"silent".into());
    let known = known.expect("an endpoint");
    let now: Now = gateway.gw.lifecycle.now();
    assert!(!known.load().is_on_cooldown(now));
    assert_eq!(known.load().failures(), 0);
}
