//! Streams of a service whose endpoints run several software versions: each goes on only at the version
//! that began it, within one response and over a client's attempts.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvil_gateway::dialect::AvailabilityNotice;
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvilreel::moment::Moment;
use anvilreel::retry_after::RetryAfter;
use futures::future::join_all;
use http::StatusCode;
use tokio::time::{Instant, sleep, timeout};

use crate::client::{Client, ClientResponse};
use crate::endpoint::{
    ReceivedRequest, Step, TestEndpoint, chunk, response, stream_end, stream_head,
};
use crate::gateway::{TestGateway, listed, routes, table};
use crate::processes::{GATEWAYS, Processes};

/// Last event of each stream.
const LAST_EVENT: u64 = 60;
/// Time between two events of a stream that is not taken up.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Longest duration of a refusal, or until a stream without a version ends.
const AT_ONCE: Duration = Duration::from_millis(250);
/// Time in which gateways tell each other where streams began.
const TELLING_TIME: Duration = Duration::from_millis(500);
/// Time in which a version is new.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);
/// Time in which all gateways read a list.
const LISTING_TIME: Duration = Duration::from_millis(1_300);
/// Time after which a gateway has its first list.
const LIST_DELAY: Duration = Duration::from_millis(100);
/// A pause that an endpoint asks for.
const PAUSE: Duration = Duration::from_millis(400);
/// Streams that are open when their gateway is killed.
const STREAMS: usize = 16;

fn event_of(version: &str, id: u64) -> String {
    format!("id: {id}\ndata: {version}\n\n")
}

fn whole_stream(version: &str) -> String {
    (1..=LAST_EVENT).map(|id| event_of(version, id)).collect()
}

fn resumed_after(req: &ReceivedRequest) -> Option<u64> {
    req.header("x-after").and_then(|id| id.parse().ok())
}

/// An endpoint of this version. Streams take two seconds, the rest of one comes at once.
async fn streaming(version: &'static str) -> TestEndpoint {
    TestEndpoint::start(move |_, req| {
        if !req.head.starts_with("POST /resumed/") {
            return vec![Step::Send(response(req, "ran"))];
        }
        let after = resumed_after(req);
        let mut steps = vec![Step::Send(stream_head(req))];
        for id in after.map_or(1, |after| after + 1)..=LAST_EVENT {
            steps.push(Step::Send(chunk(&event_of(version, id))));
            if after.is_none() {
                steps.push(Step::Pause(EVENT_INTERVAL));
            }
        }
        steps.push(Step::Send(stream_end()));
        steps
    })
    .await
}

/// An endpoint of this version whose streams break off after three events.
async fn breaking_off(version: &'static str) -> TestEndpoint {
    TestEndpoint::start(move |_, req| {
        let mut steps = vec![Step::Send(stream_head(req))];
        steps.extend((1..=3).map(|id| Step::Send(chunk(&event_of(version, id)))));
        // Time for the events to be read: a reset discards unread data.
        steps.push(Step::Pause(Duration::from_millis(100)));
        steps.push(Step::Reset);
        steps
    })
    .await
}

/// An endpoint as listed in the gateway's zone, or else in another one.
fn listed_as(id: &str, version: &str, endpoint: &TestEndpoint, is_near: bool) -> ListedEndpoint {
    let mut listed = listed(id, endpoint.addr);
    listed.version = version.into();
    if !is_near {
        listed.zone = "local-b".into();
    }
    listed
}

/// A gateway with these endpoints, whose versions the ledger has recorded.
async fn start_gateway(endpoints: &[ListedEndpoint]) -> TestGateway {
    let gateway = TestGateway::start(&[]).await;
    gateway.gw.directory.apply_list(endpoints);
    gateway.record_versions(endpoints);
    gateway
}

/// A gateway with these endpoints that has heard nothing of the ledger.
async fn start_gateway_without_record(endpoints: &[ListedEndpoint]) -> TestGateway {
    let gateway = TestGateway::start_without_list().await;
    gateway.gw.directory.apply_list(endpoints);
    gateway.gw.record_listed_versions(endpoints);
    gateway
}

/// Guards against a stream that changes versions within one response: its endpoint is lost, and one of
/// another version would be the best to go on.
#[tokio::test]
async fn broken_stream_goes_on_at_its_version() {
    let broken = breaking_off("v1").await;
    let (other, same) = (streaming("v2").await, streaming("v1").await);
    let gateway = start_gateway(&[
        listed_as("broken", "v1", &broken, true),
        listed_as("other", "v2", &other, true),
        listed_as("same", "v1", &same, false),
    ])
    .await;
    let mut resumed = 0;
    for number in 0..8 {
        let mut client = Client::connect(gateway.addr).await;
        let id = format!("id-{number}");
        let received = client.request("/resumed/x", &id, "").await;
        let version = first_version(&received.body);
        assert!(received.complete, "{received:?}");
        assert_eq!(received.body, whole_stream(version));
        resumed += same.received().len();
    }
    assert!(resumed > 0, "no stream broke off");
}

/// Guards against a stream that goes on at another version, or is held, when none of its own is left.
#[tokio::test]
async fn broken_stream_ends_at_once_without_its_version() {
    let broken = breaking_off("v1").await;
    let other = streaming("v2").await;
    let gateway = start_gateway(&[
        listed_as("broken", "v1", &broken, true),
        listed_as("other", "v2", &other, false),
    ])
    .await;
    let mut client = Client::connect(gateway.addr).await;
    let started = Instant::now();
    let received = client.request("/resumed/x", "id", "").await;
    assert!(!received.complete, "{received:?}");
    assert_eq!(first_version(&received.body), "v1");
    assert!(other.received().is_empty(), "went on at another version");
    assert!(started.elapsed() < Duration::from_millis(100) + AT_ONCE);
}

/// A list of new endpoints of these versions.
async fn list_of(versions: &[&'static str]) -> String {
    let mut lines = Vec::new();
    for version in versions {
        let endpoint = streaming(version).await;
        let addr = endpoint.addr;
        lines.push(format!("endpoint-{} {addr} local-a {version}", addr.port()));
    }
    lines.join("\n")
}

/// The version of a stream's first event.
fn first_version(body: &str) -> &str {
    let data = body.lines().find_map(|line| line.strip_prefix("data: "));
    data.unwrap_or_default()
}

/// Takes a stream up after its first event.
async fn take_up(mut client: Client, id: &str, first_attempt: &str) -> ClientResponse {
    let headers = format!("x-after: 1\r\nx-first: {first_attempt}\r\n");
    client.request("/resumed/x", id, &headers).await
}

/// Gateways before endpoints whose list can change.
struct MixedService {
    processes: Processes,
    listed: Arc<Mutex<String>>,
}

impl MixedService {
    /// Two endpoints of each of two versions.
    async fn start() -> Self {
        Self::start_with(&["v1", "v2", "v1", "v2"]).await
    }

    async fn start_with(versions: &[&'static str]) -> Self {
        let listed = Arc::new(Mutex::new(list_of(versions).await));
        let served = listed.clone();
        let processes = Processes::start(move || served.lock().expect("a list").clone()).await;
        Self { processes, listed }
    }

    /// Lists endpoints of these versions besides the others.
    async fn add_endpoints(&self, versions: &[&'static str]) {
        let added = list_of(versions).await;
        let mut listed = self.listed.lock().expect("a list");
        *listed = format!("{listed}\n{added}");
    }

    /// Lists the endpoints of this version no more.
    fn remove_endpoints(&self, version: &str) {
        let mut listed = self.listed.lock().expect("a list");
        let left = listed.lines().filter(|line| !line.ends_with(version));
        *listed = left.collect::<Vec<_>>().join("\n");
    }

    /// Takes streams up at the second gateway. Returns how many go on, each at its version.
    async fn count_going_on(&self, begun: &[(String, Client, String)]) -> usize {
        let mut went_on = 0;
        for (id, _, version) in begun {
            let client = self.processes.connect(1).await;
            let received = take_up(client, &format!("next-{id}"), id).await;
            if received.status != 503 {
                assert_eq!(received.status, 200, "{received:?}");
                assert_eq!(first_version(&received.body), version, "{id}");
                went_on += 1;
            }
        }
        went_on
    }

    /// Opens several streams at the first gateway; each with its id, connection and version.
    async fn begin_all(&self) -> Vec<(String, Client, String)> {
        let begin = async |number| {
            let id = format!("first-{number}");
            let (client, version) = self.begin(&id).await;
            (id, client, version)
        };
        join_all((0..STREAMS).map(begin)).await
    }

    /// Opens a stream at the first gateway, and returns it with the version of its first event.
    async fn begin(&self, id: &str) -> (Client, String) {
        let mut client = self.processes.connect(0).await;
        let headers = "content-length: 0\r\nx-wait: 30000\r\n";
        client.send("/resumed/x", id, headers).await;
        let mut seen = String::new();
        while first_version(&seen).is_empty() || !seen.contains("\n\n") {
            seen = client.read_some().await;
        }
        let version = first_version(&seen).trim_end().to_owned();
        (client, version)
    }
}

/// Guards against a stream that changes versions over a client's attempts: its gateway is killed, and
/// another one, which has not seen the stream, is asked for the rest.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_killed_gateway_goes_on_at_its_version() {
    let mut service = MixedService::start().await;
    let begun = service.begin_all().await;
    sleep(TELLING_TIME).await;
    service.processes.kill_gateway(0).await;
    for (number, (id, _, version)) in begun.iter().enumerate() {
        let gateway = 1 + u8::try_from(number % 2).expect("a small number");
        let client = service.processes.connect(gateway).await;
        let received = take_up(client, &format!("next-{number}"), id).await;
        assert!(received.complete, "{received:?}");
        let rest: String = (2..=LAST_EVENT).map(|id| event_of(version, id)).collect();
        assert_eq!(received.body, rest, "{id} began at {version}");
    }
}

/// Guards against a gateway that started after a stream was told of and knows nothing of it.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_that_has_just_started_asks_the_others() {
    let mut service = MixedService::start().await;
    let begun = service.begin_all().await;
    sleep(TELLING_TIME).await;
    service.processes.kill_gateway(0).await;
    service.processes.add_gateway(GATEWAYS).await;
    for (id, _, version) in &begun {
        let client = service.processes.connect(GATEWAYS).await;
        let received = take_up(client, &format!("next-{id}"), id).await;
        assert_eq!(received.status, 200, "{received:?}");
        assert_eq!(first_version(&received.body), version);
    }
}

/// Guards against streams that can't be taken up any more because every gateway that knew their version
/// was restarted while they ran.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_told_again_to_restarted_gateways() {
    let mut service = MixedService::start().await;
    let begun = service.begin_all().await;
    sleep(TELLING_TIME).await;
    for gateway in 1..GATEWAYS {
        service.processes.restart_gateway(gateway).await;
    }
    sleep(TELLING_TIME).await;
    service.processes.kill_gateway(0).await;
    let mut went_on = 0;
    for (id, _, version) in &begun {
        let client = service.processes.connect(1).await;
        let received = take_up(client, &format!("next-{id}"), id).await;
        if received.status == 200 {
            assert_eq!(first_version(&received.body), version);
            went_on += 1;
        }
    }
    assert_eq!(went_on, STREAMS);
}

/// Guards against a stream that is held, or goes on elsewhere, when its version is known and gone.
#[tokio::test]
async fn known_stream_without_its_version_is_refused_at_once() {
    let (first, other) = (streaming("v1").await, streaming("v2").await);
    let gateway = start_gateway(&[listed_as("first", "v1", &first, true)]).await;
    let mut client = Client::connect(gateway.addr).await;
    client
        .send("/resumed/x", "begun", "content-length: 0\r\n")
        .await;
    while !client.read_some().await.contains("data: v1") {}
    let list = [listed_as("other", "v2", &other, true)];
    gateway.gw.directory.apply_list(&list);
    gateway.gw.record_listed_versions(&list);
    let started = Instant::now();
    let received = take_up(Client::connect(gateway.addr).await, "next", "begun").await;
    assert_eq!(received.status, 503, "{received:?}");
    assert!(received.retry_after().is_some(), "{received:?}");
    assert!(started.elapsed() < AT_ONCE);
    assert!(other.received().is_empty());
}

/// Has an endpoint ask for a pause, as if it had turned a request away.
fn request_pause(gateway: &TestGateway, id: &str, length: Duration) {
    let gw = &gateway.gw;
    let endpoint = gw.directory.find(&id.into()).expect("an endpoint");
    let notice = AvailabilityNotice {
        retry_after: RetryAfter::Time(length),
        leaving: false,
    };
    gw.apply_notice(&endpoint, "r", StatusCode::SERVICE_UNAVAILABLE, notice);
}

/// Guards against refusing streams whose version is back within a moment: their clients use up
/// their attempts meanwhile. New streams run at another version.
#[tokio::test]
async fn taken_up_stream_waits_for_the_pause_of_its_version() {
    let (first, other) = (streaming("v1").await, streaming("v2").await);
    let mut list = vec![listed_as("first", "v1", &first, true)];
    let gateway = start_gateway(&list).await;
    let mut client = Client::connect(gateway.addr).await;
    client
        .send("/resumed/x", "begun", "content-length: 0\r\n")
        .await;
    while !client.read_some().await.contains("data: v1") {}
    list.push(listed_as("other", "v2", &other, true));
    gateway.gw.directory.apply_list(&list);
    gateway.gw.record_listed_versions(&list);
    request_pause(&gateway, "first", PAUSE);
    let started = Instant::now();
    let client = Client::connect(gateway.addr).await;
    let received = take_up(client, "next-1", "begun").await;
    assert_eq!((received.status, received.complete), (200, true));
    assert_eq!(first_version(&received.body), "v1");
    assert!(started.elapsed() >= PAUSE, "{:?}", started.elapsed());
    assert!(other.received().is_empty(), "went on at another version");
    // Longer than half of the client's time.
    request_pause(&gateway, "first", 100 * PAUSE);
    let started = Instant::now();
    let client = Client::connect(gateway.addr).await;
    let received = take_up(client, "next-2", "begun").await;
    assert_eq!(received.status, 503, "{received:?}");
    assert!(started.elapsed() < AT_ONCE);
}

/// Guards against a gateway that holds streams while it stops, when their clients could go
/// elsewhere.
#[tokio::test]
async fn stopping_gateway_refuses_streams_that_wait() {
    let first = streaming("v1").await;
    let gateway = start_gateway(&[listed_as("first", "v1", &first, true)]).await;
    request_pause(&gateway, "first", 3 * PAUSE);
    let client = Client::connect(gateway.addr).await;
    let waiting = tokio::spawn(async move { take_up(client, "next", "begun").await });
    sleep(PAUSE).await;
    assert!(!waiting.is_finished());
    gateway.gw.lifecycle.begin_drain();
    let received = timeout(AT_ONCE, waiting).await.expect("an answer at once");
    assert_eq!(received.expect("no panic").status, 503);
}

/// Guards against streams that break for good because nobody knows them, in a service that has had one
/// version only.
#[tokio::test]
async fn unknown_stream_goes_on_at_the_only_version() {
    let endpoint = streaming("v1").await;
    let gateway = start_gateway(&[listed_as("a", "v1", &endpoint, true)]).await;
    for first_attempt in ["never-seen", ""] {
        let client = Client::connect(gateway.addr).await;
        let received = take_up(client, &format!("next-{first_attempt}"), first_attempt).await;
        assert_eq!((received.status, received.complete), (200, true));
    }
}

/// Guards against a guess by a gateway that has just started, alone, and has not heard of the ledger: its
/// one list says nothing of the time before.
#[tokio::test]
async fn unknown_stream_is_refused_while_the_past_is_not_known() {
    let endpoint = streaming("v2").await;
    let list = [listed_as("a", "v2", &endpoint, true)];
    let gateway = start_gateway_without_record(&list).await;
    let refused = take_up(Client::connect(gateway.addr).await, "next-1", "never-seen").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    let mut recorded = RecordedVersions::default();
    recorded.add(&list[0].service, &["v1".into(), "v2".into()].into());
    gateway.gw.apply_ledger_versions(Some(&recorded));
    let refused = take_up(Client::connect(gateway.addr).await, "next-2", "never-seen").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    recorded.remove(&list[0].service, &["v1".into()].into());
    gateway.gw.apply_ledger_versions(Some(&recorded));
    let went_on = take_up(Client::connect(gateway.addr).await, "next-3", "never-seen").await;
    assert_eq!(went_on.status, 200, "{went_on:?}");
}

/// Guards against a stream that is sent to any version by a gateway that has no list yet when its client
/// takes it up.
#[tokio::test]
async fn stream_that_waits_for_the_first_list_is_not_sent_to_any_version() {
    let endpoint = streaming("v2").await;
    let list = [listed_as("a", "v2", &endpoint, true)];
    let gateway = TestGateway::start_without_list().await;
    let client = Client::connect(gateway.addr).await;
    let waiting = tokio::spawn(async move { take_up(client, "next", "never-seen").await });
    sleep(LIST_DELAY).await;
    gateway.gw.record_listed_versions(&list);
    gateway.gw.directory.apply_list(&list);
    gateway.gw.state_changed.notify_waiters();
    assert_eq!(waiting.await.expect("no panic").status, 503);
    assert!(endpoint.received().is_empty());
}

/// Guards against requests that were meant for an endpoint's former version being sent to its successor
/// under the same id, and against its connections being used on.
#[tokio::test]
async fn endpoint_with_another_version_under_its_id_is_a_new_one() {
    let endpoint = streaming("v2").await;
    let gateway = start_gateway(&[listed_as("a", "v1", &endpoint, true)]).await;
    let before = gateway.gw.directory.find(&"a".into()).expect("an endpoint");
    gateway
        .gw
        .directory
        .apply_list(&[listed_as("a", "v2", &endpoint, true)]);
    let after = gateway.gw.directory.find(&"a".into()).expect("an endpoint");
    assert!(!before.accepts_requests(gateway.gw.lifecycle.now()));
    assert!(after.accepts_requests(gateway.gw.lifecycle.now()));
    assert_eq!((&*before.version, &*after.version), ("v1", "v2"));
}

/// Guards against a stream that goes on at another service of its route, drawn anew for each attempt.
#[tokio::test]
async fn stream_goes_on_at_its_service() {
    let (desk, annex) = (streaming("desk").await, streaming("annex").await);
    let mut listed = [
        listed_as("a", "v1", &desk, true),
        listed_as("b", "v1", &annex, true),
    ];
    listed[1].service = "annex".into();
    let gateway = start_gateway(&listed).await;
    let mut routes = routes();
    for route in &mut routes {
        route.services.push(("annex".into(), 1));
    }
    gateway.gw.table.store(Some(Arc::new(table(2, routes))));
    for number in 0..12 {
        let id = format!("first-{number}");
        let mut client = Client::connect(gateway.addr).await;
        client
            .send("/resumed/x", &id, "content-length: 0\r\n")
            .await;
        let mut seen = String::new();
        while !seen.contains("\n\n") || first_version(&seen).is_empty() {
            seen = client.read_some().await;
        }
        let next = Client::connect(gateway.addr).await;
        let received = take_up(next, &format!("next-{number}"), &id).await;
        let service = first_version(&seen).trim_end();
        assert_eq!(first_version(&received.body), service, "{received:?}");
    }
}

/// Guards against a guess of a gateway that is cut off: another version may serve that it has not heard
/// of.
#[tokio::test]
async fn unknown_stream_is_refused_by_a_gateway_with_an_old_list_and_silent_siblings() {
    let endpoint = streaming("v1").await;
    let list = [listed_as("a", "v1", &endpoint, true)];
    let gateway = start_gateway(&list).await;
    let sibling = Instance {
        id: "gateway-2".into(),
        incarnation: 1,
        ..gateway.gw.instance()
    };
    gateway.gw.siblings.update_members([&sibling].into_iter());
    let refused = take_up(Client::connect(gateway.addr).await, "next-1", "never-seen").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    gateway
        .gw
        .list_cache
        .store_reading(Moment::now(), list.to_vec());
    let went_on = take_up(Client::connect(gateway.addr).await, "next-2", "never-seen").await;
    assert_eq!(went_on.status, 200, "{went_on:?}");
}

/// Guards against refusing streams of a gateway that was killed before it listed a new version, and so told
/// nobody of them.
#[tokio::test(flavor = "multi_thread")]
async fn streams_from_before_a_new_version_go_on() {
    let mut service = MixedService::start_with(&["v1", "v1"]).await;
    sleep(SETTLING_TIME).await;
    let begun = service.begin_all().await;
    service.processes.kill_gateway(0).await;
    service.add_endpoints(&["v2", "v2"]).await;
    sleep(LISTING_TIME).await;
    for (id, ..) in &begun {
        let client = service.processes.connect(1).await;
        let received = take_up(client, &format!("next-{id}"), id).await;
        assert_eq!(received.status, 200, "{received:?}");
        assert_eq!(first_version(&received.body), "v1");
    }
}

/// Guards against streams that begin at a version that other gateways may not have listed: these would take
/// them for streams of the version before.
#[tokio::test]
async fn streams_begin_at_settled_versions() {
    let (settled, new) = (streaming("v1").await, streaming("v2").await);
    let before = [listed_as("a", "v1", &settled, false)];
    let gateway = start_gateway(&before).await;
    let after = [before[0].clone(), listed_as("b", "v2", &new, true)];
    gateway.gw.directory.apply_list(&after);
    gateway.gw.record_listed_versions(&after);
    let mut client = Client::connect(gateway.addr).await;
    client
        .send("/resumed/x", "id", "content-length: 0\r\n")
        .await;
    while first_version(&client.read_some().await).is_empty() {}
    assert_eq!((settled.received().len(), new.received().len()), (1, 0));
    // Without a settled version there is no choice.
    gateway.gw.directory.apply_list(&after[1..]);
    let mut client = Client::connect(gateway.addr).await;
    client
        .send("/resumed/x", "id-2", "content-length: 0\r\n")
        .await;
    while first_version(&client.read_some().await).is_empty() {}
    assert_eq!(new.received().len(), 1);
}

/// Guards against streams that change versions after all processes were killed: the lists that the new
/// ones have read name one version, and streams of the others go on there.
#[tokio::test(flavor = "multi_thread")]
async fn streams_keep_their_version_after_all_processes_were_killed() {
    let mut service = MixedService::start().await;
    let begun = service.begin_all().await;
    sleep(TELLING_TIME).await;
    service.remove_endpoints("v1");
    service.processes.lose_power().await;
    let of_the_version_left = begun.iter().filter(|(.., version)| version == "v2").count();
    assert!(of_the_version_left > 0);
    assert_eq!(service.count_going_on(&begun).await, of_the_version_left);
}

/// Guards against refusing every stream after all processes were killed, in a service that has had one
/// version only.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_after_all_processes_were_killed() {
    let mut service = MixedService::start_with(&["v1", "v1"]).await;
    let begun = service.begin_all().await;
    sleep(TELLING_TIME).await;
    service.processes.lose_power().await;
    assert_eq!(service.count_going_on(&begun).await, STREAMS);
}

/// Guards against a guess: a stream of which no gateway knows the version, in a service with two.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_stream_is_refused_at_once_while_versions_are_mixed() {
    let service = MixedService::start().await;
    for number in 0..GATEWAYS {
        for first_attempt in ["never-seen", ""] {
            let client = service.processes.connect(number).await;
            let started = Instant::now();
            let received = take_up(client, &format!("next-{number}"), first_attempt).await;
            assert_eq!(received.status, 503, "{received:?}");
            assert!(received.retry_after().is_some(), "{received:?}");
            assert!(started.elapsed() < AT_ONCE);
        }
    }
}
