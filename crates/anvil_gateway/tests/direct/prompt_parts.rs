//! A ledger and several gateways in front of endpoints that crash under a part of prompts, whatever
//! else the request contains.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anvil_gateway::dialect::PartId;
use anvil_gateway::shared_content::{ContentScope, SharedContent};
use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use tokio::time::{Instant, sleep};

use crate::client::{Client, ClientResponse};
use crate::crashing_endpoints::{
    CRASHING_PAUSE, CrashingEndpoints, KNOWN_WITHIN, MIN_SOUND_SHARE, PROMPT_TIME, SOUND_PAUSE,
    assert_kept_from_endpoints, send_requests, share_complete, write_two_events,
};
use crate::endpoint::{ReceivedRequest, Step, TestEndpoint, chunk, event, stream_head};
use crate::gateway::{SERVICE, TestGateway, listed};
use crate::processes::TestRequest;

/// The part that all prompts begin with.
const FIRST_PART: u64 = 1;
/// The part that crashes endpoints.
const CRASHING_PART: u64 = 66;
/// Parts that sound prompts have in its place, and crashing prompts after it.
const SOUND_PARTS: std::ops::Range<u64> = 10..14;
fn has_part(req: &ReceivedRequest, part: u64) -> bool {
    let parts = req.header("x-parts").unwrap_or_default();
    parts
        .split(',')
        .any(|text| text.starts_with(&format!("{part}:")))
}

fn crash_under_part(req: &ReceivedRequest) -> Vec<Step> {
    if has_part(req, CRASHING_PART) {
        vec![Step::Pause(PROMPT_TIME), Step::Crash]
    } else {
        write_two_events(req)
    }
}

fn draw_sound_part() -> u64 {
    rand::random_range(SOUND_PARTS)
}

/// A prompt of its own that no endpoint survives.
fn crashing_prompt(route: &str) -> TestRequest {
    let (sound, own) = (draw_sound_part(), rand::random::<u64>());
    let parts = format!("{FIRST_PART}:100,{CRASHING_PART}:40,{sound}:40,{own}:20");
    TestRequest::prompt(route, &parts)
}

/// A prompt of its own that shares its other parts with the crashing ones.
fn sound_prompt(route: &str) -> TestRequest {
    let (sound, own) = (draw_sound_part(), rand::random::<u64>());
    TestRequest::prompt(route, &format!("{FIRST_PART}:100,{sound}:80,{own}:20"))
}

/// Guards against a part of prompts crashing one endpoint after the other in requests that are no two
/// alike, and against sound requests with its other parts being refused.
#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashes_endpoints_is_quarantined_at_all_gateways() {
    for route in ["/stream/", "/resumed/"] {
        let (crashing, sound) = (|| crashing_prompt(route), || sound_prompt(route));
        assert_kept_from_endpoints(crash_under_part, crashing, sound).await;
    }
}

/// Guards against a power failure of all processes erasing which part crashes endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_of_a_part_survives_a_power_failure() {
    let endpoints = CrashingEndpoints::new(crash_under_part);
    let processes = Arc::new(endpoints.start_processes().await);
    let crashing = || crashing_prompt("/stream/");
    send_requests(&processes, crashing, CRASHING_PAUSE, KNOWN_WITHIN).await;
    let mut processes = Arc::into_inner(processes).expect("no request in flight");
    processes.lose_power().await;
    let processes = Arc::new(processes);
    send_requests(&processes, crashing, CRASHING_PAUSE, KNOWN_WITHIN).await;
    endpoints.assert_few_late_arrivals();
}

/// Guards against a part that crashes endpoints being tried again with each new software version.
#[tokio::test(flavor = "multi_thread")]
async fn part_stays_quarantined_on_a_new_software_version() {
    let endpoints = CrashingEndpoints::new(crash_under_part);
    let processes = Arc::new(endpoints.start_processes().await);
    let crashing = || crashing_prompt("/stream/");
    send_requests(&processes, crashing, CRASHING_PAUSE, KNOWN_WITHIN).await;
    endpoints.replace_all("v2").await;
    let time = 2 * KNOWN_WITHIN;
    let sound = || sound_prompt("/stream/");
    let crashing = send_requests(&processes, crashing, CRASHING_PAUSE, time);
    let sound = send_requests(&processes, sound, SOUND_PAUSE, time);
    let (_, sound) = tokio::join!(crashing, sound);
    endpoints.assert_few_late_arrivals();
    let share = share_complete(&sound);
    assert!(share >= MIN_SOUND_SHARE, "{share} of sound prompts");
}

/// Sends a prompt with these parts, at a path of its own.
async fn send_prompt(gateway: &TestGateway, parts: &str) -> ClientResponse {
    let mut client = Client::connect(gateway.addr).await;
    let id = format!("id-{:x}", rand::random::<u64>());
    let headers = format!("x-tokens: 200,30\r\nx-parts: {parts}\r\n");
    client
        .request(&format!("/stream/{id}"), &id, &headers)
        .await
}

/// Sends one prompt while only one endpoint is listed, which crashes under it, and waits until the
/// crash would be detected.
async fn crash_one(gateway: &TestGateway, id: &str, parts: &str) {
    let crashing = TestEndpoint::start(|_, _| vec![Step::Crash]).await;
    let only = [listed(id, crashing.addr)];
    gateway.gw.directory.apply_list(&only);
    assert_eq!(send_prompt(gateway, parts).await.status, 502);
    sleep(Duration::from_millis(50)).await;
}

/// A crash of one endpoint after the other, over a second and more.
async fn crash_three(gateway: &TestGateway, parts: &[&str; 3]) {
    for (number, parts) in parts.iter().enumerate() {
        crash_one(gateway, &format!("crashing-{number}"), parts).await;
        sleep(Duration::from_millis(600)).await;
    }
}

/// Lists only endpoints that answer, each of a software version.
async fn list_answering(gateway: &TestGateway, versions: &[&str]) -> Vec<TestEndpoint> {
    let mut endpoints = Vec::new();
    let mut list: Vec<ListedEndpoint> = Vec::new();
    for version in versions {
        let endpoint = TestEndpoint::start(|_, req| write_two_events(req)).await;
        let mut entry = listed(&format!("well-{version}"), endpoint.addr);
        entry.version = (*version).into();
        list.push(entry);
        endpoints.push(endpoint);
    }
    gateway.gw.directory.apply_list(&list);
    endpoints
}

/// Guards against a gateway without a ledger sending on prompts with a part under which endpoints
/// crashed, and against refusing prompts with other parts only.
#[tokio::test]
async fn gateway_without_a_ledger_quarantines_a_part() {
    let gateway = TestGateway::start(&[]).await;
    crash_three(
        &gateway,
        &["1:9,66:9,2:9", "1:9,66:9,3:9", "1:9,7:9,66:9,4:9"],
    )
    .await;
    let well = list_answering(&gateway, &["v1"]).await;
    let refused = send_prompt(&gateway, "1:9,66:9,5:9").await;
    assert_eq!(refused.status, 503);
    assert!(refused.body.contains("crashes_endpoints"), "{refused:?}");
    assert!(refused.retry_after() > Some(Duration::from_secs(50)));
    assert!(well[0].received().is_empty());
    assert_eq!(send_prompt(&gateway, "1:9,7:9,6:9").await.status, 200);
}

/// Guards against blaming the last part, which is the request's or its session's own.
#[tokio::test]
async fn last_part_is_not_blamed() {
    let gateway = TestGateway::start(&[]).await;
    // The sender and the size of these prompts are sound.
    list_answering(&gateway, &["v1"]).await;
    assert_eq!(send_prompt(&gateway, "9:9,8:9").await.status, 200);
    crash_three(&gateway, &["1:9,66:9", "2:9,66:9", "3:9,66:9"]).await;
    list_answering(&gateway, &["v1"]).await;
    assert_eq!(send_prompt(&gateway, "4:9,66:9").await.status, 200);
}

/// Guards against blaming a new part that many prompts have, when several endpoints lose power at once.
#[tokio::test]
async fn part_in_flight_at_a_common_power_failure_is_not_blamed() {
    let gateway = TestGateway::start(&[]).await;
    let mut list = Vec::new();
    for number in 0..4 {
        let behave = |_, _: &ReceivedRequest| vec![Step::Pause(PROMPT_TIME), Step::Crash];
        let crashing = TestEndpoint::start(behave).await;
        list.push(listed(&format!("lost-{number}"), crashing.addr));
    }
    gateway.gw.directory.apply_list(&list);
    let prompts = ["5:9,1:9", "5:9,2:9", "5:9,3:9", "5:9,4:9"];
    let responses = prompts.map(|parts| send_prompt(&gateway, parts));
    futures::future::join_all(responses).await;
    sleep(Duration::from_millis(50)).await;
    list_answering(&gateway, &["v1"]).await;
    assert_eq!(send_prompt(&gateway, "5:9,6:9").await.status, 200);
}

/// Guards against a part that crashes one software version being kept from another one that answers it.
#[tokio::test]
async fn part_stays_in_use_at_a_version_that_answers_it() {
    let gateway = TestGateway::start(&[]).await;
    list_answering(&gateway, &["v0"]).await;
    assert_eq!(send_prompt(&gateway, "1:9,66:9,2:9").await.status, 200);
    crash_three(&gateway, &["1:9,66:9,3:9", "1:9,66:9,4:9", "1:9,66:9,5:9"]).await;
    let well = list_answering(&gateway, &["v0", "v1", "v2"]).await;
    for _ in 0..6 {
        assert_eq!(send_prompt(&gateway, "1:9,66:9,6:9").await.status, 200);
    }
    let received: Vec<_> = well
        .iter()
        .map(|endpoint| endpoint.received().len())
        .collect();
    assert_eq!(received, [6, 0, 0]);
}

/// The ledger's report on a part under which three endpoints crashed, one after the other.
fn suspect_part(part: PartId) -> BTreeMap<ContentDigest, SuspectContent> {
    let now = SystemTime::now();
    let mut suspect = SuspectContent::new(now - Duration::from_secs(9));
    for (endpoint, ago) in [("x", 6), ("y", 4), ("z", 2)] {
        let at = now - Duration::from_secs(ago);
        suspect.record_crash(&endpoint.into(), CrashedRun::BeforeOutput, at);
    }
    BTreeMap::from([(
        ContentScope::new(SERVICE, "v1").digest(SharedContent::Part(part)),
        suspect,
    )])
}

/// Guards against a prompt waiting for grants although the quarantine of its part is known.
#[tokio::test]
async fn prompt_with_a_quarantined_part_is_refused_without_waiting_for_grants() {
    let gateway = TestGateway::start(&[]).await;
    list_answering(&gateway, &["v1"]).await;
    gateway.gw.apply_ledger_suspects(&suspect_part(66));
    let started_at = Instant::now();
    let mut client = Client::connect(gateway.addr).await;
    let headers = "x-key: key\r\nx-tokens: 100,30\r\nx-parts: 66:50,1:50\r\n";
    let response = client.request("/stream/x", "id", headers).await;
    assert!(response.body.contains("crashes_endpoints"), "{response:?}");
    assert!(started_at.elapsed() < Duration::from_millis(150));
}

/// Guards against another endpoint receiving a prompt whose part was quarantined while its first
/// endpoint worked on it.
#[tokio::test]
async fn prompt_whose_part_is_quarantined_meanwhile_is_not_resumed() {
    let breaking_off = TestEndpoint::start(|_, req| {
        vec![
            Step::Send([stream_head(req), chunk(&event(1))].concat()),
            Step::Pause(Duration::from_millis(200)),
            Step::Reset,
        ]
    })
    .await;
    let well = TestEndpoint::start(|_, req| write_two_events(req)).await;
    let gateway = TestGateway::start(&[("first", &breaking_off), ("well", &well)]).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = "x-tokens: 100,30\r\nx-parts: 66:50,1:50\r\n";
    let sending = client.request("/resumed/x", "id", headers);
    let reporting = async {
        sleep(Duration::from_millis(100)).await;
        gateway.gw.apply_ledger_suspects(&suspect_part(66));
    };
    let (response, ()) = tokio::join!(sending, reporting);
    assert!(!response.complete, "{response:?}");
    assert!(well.received().is_empty());
}

/// Guards against refusing a part that was answered minutes ago, for crashes under another part of the
/// same prompts.
#[tokio::test]
async fn part_answered_here_before_is_not_blamed_by_the_ledger() {
    let gateway = TestGateway::start(&[]).await;
    list_answering(&gateway, &["v1"]).await;
    for (answered, status) in [(false, 503), (true, 200)] {
        gateway.gw.apply_ledger_suspects(&BTreeMap::new());
        if answered {
            assert_eq!(send_prompt(&gateway, "66:9,1:9").await.status, 200);
        }
        let mut two_crashes = suspect_part(66);
        for suspect in two_crashes.values_mut() {
            suspect.crashes.pop();
        }
        gateway.gw.apply_ledger_suspects(&two_crashes);
        gateway.gw.apply_ledger_suspects(&suspect_part(66));
        assert_eq!(send_prompt(&gateway, "66:9,2:9").await.status, status);
    }
}
