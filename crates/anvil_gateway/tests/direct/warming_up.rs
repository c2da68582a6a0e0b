//! Endpoints that are slow and crash easily for some time after a start.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::endpoint::{ReceivedRequest, Step, TestEndpoint, response_with};
use crate::gateway::{TestGateway, WARM_UP, listed, table_with_warm_up};
use crate::processes::{GATEWAYS, Processes};

/// Requests that an endpoint may receive within a second during its warm-up: one and a half times
/// its rate, plus five.
const MAX_IN_A_SECOND: usize = 20;
/// Time between two requests, over all clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

fn most_in_a_second(arrivals: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let in_span = arrivals
            .iter()
            .filter(|at| **at >= *from && **at < *from + Duration::from_secs(1));
        in_span.count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// A gateway whose only endpoint is listed as warming up or not.
async fn start_gateway(endpoint: &TestEndpoint, warming_up: bool) -> TestGateway {
    let gateway = TestGateway::start_empty().await;
    let table = Arc::new(table_with_warm_up(1));
    gateway.gw.table.store(Some(table));
    list(&gateway, endpoint, warming_up);
    gateway
}

fn list(gateway: &TestGateway, endpoint: &TestEndpoint, warming_up: bool) {
    let mut listed = [listed("a", endpoint.addr)];
    listed[0].warming_up = warming_up;
    gateway.gw.directory.apply_list(&listed);
    let now = gateway.gw.lifecycle.now();
    gateway.gw.apply_listed_warm_up(&listed, now);
}

async fn send(gateway: &TestGateway) -> u16 {
    let mut client = Client::connect(gateway.addr).await;
    client.request("/once/x", "id", "").await.status
}

/// Guards against an endpoint that crashes again as soon as it is back, because every gateway sends
/// to it, and against one that stays idle until it is warm.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_receives_what_it_tolerates_during_its_warm_up() {
    let warm = TestEndpoint::answering().await;
    let warming_up = TestEndpoint::answering().await;
    // The one that is warming up is in the gateways' zone, so it is preferred.
    let text = format!(
        "new {} local-a warming-up\nold {} local-b\n",
        warming_up.addr, warm.addr
    );
    let processes = Processes::start_with_warm_up(move || text.clone()).await;
    let started_at = Instant::now();
    for number in (0..GATEWAYS).cycle() {
        if started_at.elapsed() > Duration::from_secs(6) {
            break;
        }
        assert_eq!(
            processes.send_request(number, "/once/x", "").await.status,
            200
        );
        sleep(REQUEST_INTERVAL).await;
    }
    let arrivals = warming_up.arrivals();
    let most = most_in_a_second(&arrivals);
    assert!(most <= MAX_IN_A_SECOND, "{most} requests in a second");
    assert!(arrivals.len() >= 20, "{} requests in all", arrivals.len());
}

/// Guards against a gateway that uses the whole rate for itself because it does not know the others
/// yet, and against requests that wait for a warm endpoint.
#[tokio::test]
async fn gateway_that_the_others_do_not_count_sends_nothing() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_gateway(&endpoint, true).await;
    let sent_at = Instant::now();
    assert_eq!(send(&gateway).await, 503);
    assert!(sent_at.elapsed() < Duration::from_millis(200));
    assert!(endpoint.received().is_empty());
    gateway.gw.is_counted.store(true, Ordering::Relaxed);
    gateway.gw.gateway_count.store(1, Ordering::Relaxed);
    gateway.gw.gateway_rank.store(0, Ordering::Relaxed);
    send(&gateway).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(send(&gateway).await, 200);
}

/// Guards against a flood at an endpoint that crashed and returned under the same id, which the list
/// still states to be warm.
#[tokio::test]
async fn endpoint_that_was_unreachable_may_be_warming_up() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_gateway(&endpoint, false).await;
    assert_eq!(send(&gateway).await, 200);
    let listed = gateway.gw.directory.find(&"a".into()).expect("listed");
    gateway.gw.record_unreachable(&listed);
    list(&gateway, &endpoint, false);
    assert_eq!(send(&gateway).await, 503);
    assert_eq!(gateway.gw.count_warming_up(), 1);
}

/// Idle time that endpoints announce in these tests.
const IDLE_TIME: &str = "x-idle: 5000\r\n";

/// Waits until a gateway takes this number of endpoints for warming up.
async fn wait_until_warming_up(gateway: &TestGateway, count: u64) -> bool {
    let end = Instant::now() + Duration::from_secs(2);
    while gateway.gw.count_warming_up() != count && Instant::now() < end {
        sleep(Duration::from_millis(5)).await;
    }
    gateway.gw.count_warming_up() == count
}

/// Guards against a flood at an endpoint that crashed and returned under the same id between two
/// lists, while the gateway did not try to reach it.
#[tokio::test]
async fn endpoint_that_closed_idle_connections_may_be_warming_up() {
    // The connection of the first request stays open beyond its idle time.
    let answer = |number, req: &ReceivedRequest| {
        let idle_time = if number == 0 {
            "x-idle: 50\r\n"
        } else {
            IDLE_TIME
        };
        let answer = response_with(req, idle_time, "ran");
        vec![Step::Pause(Duration::from_millis(100)), Step::Send(answer)]
    };
    for down in [Duration::ZERO, Duration::from_millis(800)] {
        let endpoint = TestEndpoint::start(answer).await;
        let gateway = start_gateway(&endpoint, false).await;
        assert_eq!(tokio::join!(send(&gateway), send(&gateway)), (200, 200));
        sleep(Duration::from_millis(60)).await;
        endpoint.crash();
        sleep(down).await;
        // This list still names it as it was before.
        list(&gateway, &endpoint, false);
        let restarted = TestEndpoint::start_at(endpoint.addr, answer).await;
        assert!(wait_until_warming_up(&gateway, 1).await, "after {down:?}");
        assert_eq!(send(&gateway).await, 503);
        assert!(restarted.received().is_empty());
    }
}

/// Guards against endpoints that count as restarted because they close connections at their idle
/// time, or one of several.
#[tokio::test]
async fn endpoint_that_closes_some_connections_stays_warm() {
    let at_idle_time = |_, req: &ReceivedRequest| {
        let answer = response_with(req, "x-idle: 100\r\n", "ran");
        let idle_time = Duration::from_millis(100);
        vec![Step::Send(answer), Step::Pause(idle_time), Step::Close]
    };
    let one_of_two = |number, req: &ReceivedRequest| {
        let mut steps = vec![
            Step::Pause(Duration::from_millis(100)),
            Step::Send(response_with(req, IDLE_TIME, "ran")),
        ];
        if number == 0 {
            steps.extend([Step::Pause(Duration::from_millis(50)), Step::Close]);
        }
        steps
    };
    for endpoint in [
        TestEndpoint::start(at_idle_time).await,
        TestEndpoint::start(one_of_two).await,
    ] {
        let gateway = start_gateway(&endpoint, false).await;
        assert_eq!(tokio::join!(send(&gateway), send(&gateway)), (200, 200));
        sleep(Duration::from_millis(300)).await;
        assert_eq!(gateway.gw.count_warming_up(), 0);
        assert_eq!(send(&gateway).await, 200);
    }
}

/// Guards against a flood at endpoints that were restarted while their zone was evacuated.
#[tokio::test]
async fn endpoints_of_a_returned_zone_may_be_warming_up() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = start_gateway(&endpoint, false).await;
    let zones = ["local-a".into()].into();
    gateway.gw.record_zones_returned(&zones);
    assert_eq!(send(&gateway).await, 503);
    sleep(gateway.gw.cfg.list.max_lag).await;
    list(&gateway, &endpoint, false);
    assert_eq!(send(&gateway).await, 200);
    assert!(WARM_UP.duration > gateway.gw.cfg.list.max_lag);
}
