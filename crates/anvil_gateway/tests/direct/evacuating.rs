//! Availability zones that operators evacuate and take back.

use std::sync::Arc;
use std::time::Duration;

use anvilreel::operator;
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, chunk, event, stream_end, stream_head};
use crate::gateway::{TestGateway, listed, routes, table};
use crate::processes::{GATEWAYS, Processes};

/// An order is in force at all gateways within this time after its acknowledgement.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
/// Longest duration of a refusal.
const AT_ONCE: Duration = Duration::from_millis(200);

/// Gateways in `local-a`, with one endpoint in their zone and one in `local-b`.
async fn start_processes(near: &TestEndpoint, far: &TestEndpoint) -> Processes {
    let text = format!("near {} local-a\nfar {} local-b\n", near.addr, far.addr);
    Processes::start(move || text.clone()).await
}

/// Statuses of one request through each gateway.
async fn send_to_all(processes: &Processes, path: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..GATEWAYS {
        statuses.push(processes.send_request(number, path, "").await.status);
    }
    statuses
}

/// Sends requests through each gateway: all are served, and this endpoint in the evacuated zone has
/// received none beyond those `before`.
async fn assert_served_outside(processes: &Processes, evacuated: &TestEndpoint, before: usize) {
    for _ in 0..5 {
        assert_eq!(send_to_all(processes, "/once/x").await, [200; 3]);
    }
    assert_eq!(
        evacuated.received().len(),
        before,
        "requests to the evacuated zone"
    );
}

/// Guards against requests to a zone whose evacuation was acknowledged, and against a zone that
/// stays without requests after its evacuation has ended.
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_zone_receives_no_requests_until_it_is_taken_back() {
    let (near, far) = (
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
    );
    let processes = start_processes(&near, &far).await;
    // Orders are idempotent, and may be given in any order.
    processes.order_evacuation("local-a", false).await;
    for _ in 0..2 {
        processes.order_evacuation("local-a", true).await;
    }
    sleep(IN_FORCE_WITHIN).await;
    let before = near.received().len();
    assert_served_outside(&processes, &near, before).await;
    processes.order_evacuation("local-a", false).await;
    sleep(IN_FORCE_WITHIN).await;
    assert_eq!(send_to_all(&processes, "/once/x").await, [200; 3]);
    assert!(near.received().len() > before, "no requests after its end");
}

/// Guards against an operator who is never told that an order is in force, or is told too early.
#[tokio::test(flavor = "multi_thread")]
async fn operator_is_told_when_an_order_is_in_force() {
    let (near, far) = (
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
    );
    let processes = start_processes(&near, &far).await;
    let client = processes.operator();
    let rollout = operator::evacuate(&client, "local-a".into(), true).await;
    assert!(rollout.expect("acknowledged").is_rolled_out());
    let before = near.received().len();
    assert_eq!(send_to_all(&processes, "/once/x").await, [200; 3]);
    assert_eq!(near.received().len(), before);
}

/// Guards against an acknowledged evacuation that is lost when all processes lose power, and
/// against a gateway that serves before it knows the evacuated zones.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_is_in_force_after_a_power_failure() {
    let (near, far) = (
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
    );
    let mut processes = start_processes(&near, &far).await;
    processes.order_evacuation("local-a", true).await;
    let before = near.received().len();
    processes.lose_power().await;
    assert_served_outside(&processes, &near, before).await;
}

/// Guards against requests that wait for endpoints while all of them are in evacuated zones.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_when_all_zones_are_evacuated() {
    let (near, far) = (
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
    );
    let processes = start_processes(&near, &far).await;
    for zone in ["local-a", "local-b", "local-c"] {
        processes.order_evacuation(zone, true).await;
    }
    sleep(IN_FORCE_WITHIN).await;
    let sent_at = Instant::now();
    let response = processes.send_request(0, "/idempotent/x", "").await;
    assert_eq!(response.status, 503);
    assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
    let retry_after = response.retry_after().expect("a time to come back");
    assert!(retry_after >= Duration::from_secs(1), "{retry_after:?}");
}

/// Guards against an evacuation that cuts running requests off, and against a stream that is
/// resumed in an evacuated zone.
#[tokio::test]
async fn running_requests_end_and_streams_are_resumed_outside_the_zone() {
    let breaking = TestEndpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            Step::Pause(Duration::from_millis(300)),
            Step::Send(chunk(&event(2))),
            Step::Reset,
        ]
    })
    .await;
    let resuming = TestEndpoint::start(|_, req| {
        let rest = [stream_head(req), chunk(&event(3)), stream_end()];
        vec![Step::Send(rest.concat())]
    })
    .await;
    let idle = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let mut list = vec![listed("a", breaking.addr), listed("b", resuming.addr)];
    list[1].zone = "local-b".into();
    let gateway = TestGateway::start_empty().await;
    gateway.gw.directory.apply_list(&list);
    gateway.gw.table.store(Some(Arc::new(table(1, routes()))));
    let mut client = Client::connect(gateway.addr).await;
    client
        .send("/resumed/x", "id", "content-length: 0\r\n")
        .await;
    while breaking.received().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    list.push(listed("c", idle.addr));
    gateway.gw.directory.apply_list(&list);
    let evacuated = Arc::new(["local-a".into()].into());
    gateway.gw.directory.set_evacuated_zones(evacuated);
    let response = client.read_response().await;
    assert!(response.complete, "{response:?}");
    for number in 1..=3 {
        assert!(
            response.body.contains(&format!("id: {number}")),
            "{response:?}"
        );
    }
    assert!(idle.received().is_empty(), "resumed in the evacuated zone");
}
