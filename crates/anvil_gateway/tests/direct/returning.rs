//! Endpoints that start again under the id that they had.

use std::time::Duration;

use anvil_gateway::GatewaySettings;
use anvil_wire::msg::ListedEndpoint;
use anvilreel::metrics::Metrics;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, not_run, response, response_with};
use crate::gateway::{TestGateway, listed, settings};

/// How long an endpoint is listed as leaving before it starts again.
const DRAIN_TIME: Duration = Duration::from_millis(800);
/// Requests that reach each of three endpoints, as one that has just started is as likely as the others.
const REQUESTS: usize = 30;

async fn status(gateway: &TestGateway, id: &str) -> u16 {
    let mut client = Client::connect(gateway.addr).await;
    client.request("/once/x", id, "").await.status
}

/// Applies a list as it would be read now.
fn apply(gateway: &TestGateway, list: &[ListedEndpoint]) {
    gateway.gw.directory.apply_list(list);
}

/// Guards against a service without endpoints for good: each of them was listed as leaving, ended and
/// started again under its id, and was listed all the while.
#[tokio::test]
async fn endpoints_restarted_in_turn_under_their_ids_receive_requests() {
    let endpoints = [
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
    ];
    let ids = ["a", "b", "c"];
    let ready: Vec<_> = std::iter::zip(ids, &endpoints)
        .map(|(id, endpoint)| listed(id, endpoint.addr))
        .collect();
    let named: Vec<_> = std::iter::zip(ids, &endpoints).collect();
    let gateway = TestGateway::start(&named).await;
    for at in 0..endpoints.len() {
        let mut draining = ready.clone();
        draining[at].leaving = true;
        apply(&gateway, &draining);
        let received = endpoints[at].received().len();
        sleep(DRAIN_TIME).await;
        assert_eq!(status(&gateway, &format!("draining-{at}")).await, 200);
        assert_eq!(endpoints[at].received().len(), received);
        apply(&gateway, &ready);
        assert_eq!(status(&gateway, &format!("returned-{at}")).await, 200);
    }
    let received: Vec<_> = endpoints.iter().map(|e| e.received().len()).collect();
    for number in 0..REQUESTS {
        assert_eq!(status(&gateway, &format!("id-{number}")).await, 200);
    }
    let last = endpoints.iter().zip(received);
    assert!(last.clone().any(|(e, before)| e.received().len() > before));
}

/// Guards against an endpoint without requests for good after it stated in an answer that it is leaving,
/// if no list of this gateway ever showed it so: it missed the list between.
#[tokio::test]
async fn endpoint_that_stated_it_left_receives_requests_after_a_restart() {
    let endpoint = TestEndpoint::start(|at, req| {
        let headers = if at == 0 { "x-leaving: 1\r\n" } else { "" };
        vec![Step::Send(response_with(req, headers, "ran"))]
    })
    .await;
    let gateway = TestGateway::start(&[("a", &endpoint)]).await;
    let ready = [listed("a", endpoint.addr)];
    assert_eq!(status(&gateway, "first").await, 200);
    apply(&gateway, &ready);
    assert_eq!(status(&gateway, "second").await, 503);
    sleep(DRAIN_TIME).await;
    apply(&gateway, &ready);
    assert_eq!(status(&gateway, "third").await, 200);
}

/// Guards against an endpoint that left the list and started again under the same id staying without
/// requests for longer than a list may lag, and against one that receives some because of a list that
/// lags.
#[tokio::test]
async fn endpoint_that_returns_to_the_list_receives_requests_again() {
    let endpoint = TestEndpoint::answering().await;
    let gateway = TestGateway::start(&[("a", &endpoint)]).await;
    let lag = gateway.gw.cfg.list.max_lag;
    let ready = [listed("a", endpoint.addr)];
    let mut leaving = ready.clone();
    leaving[0].leaving = true;
    apply(&gateway, &leaving);
    let removed_at = Instant::now();
    apply(&gateway, &[]);
    let mut served_after = None;
    while served_after.is_none() && removed_at.elapsed() < Duration::from_secs(8) {
        apply(&gateway, &ready);
        if status(&gateway, "id").await == 200 {
            served_after = Some(removed_at.elapsed());
        }
        sleep(Duration::from_millis(20)).await;
    }
    let served_after = served_after.expect("served again");
    assert!(served_after > lag, "{served_after:?}");
    assert!(served_after < 4 * lag, "{served_after:?}");
}

/// Guards against requests to an endpoint whose address another incarnation has, each time that a list
/// still names the one before.
#[tokio::test]
async fn replaced_endpoint_is_not_tried_again_while_the_list_names_it() {
    let replaced =
        TestEndpoint::start(|_, req| vec![Step::Send(not_run(req, "421 Misdirected Request"))])
            .await;
    let other = TestEndpoint::start(|_, req| vec![Step::Send(response(req, "ran"))]).await;
    let gateway = TestGateway::start(&[("replaced", &replaced), ("other", &other)]).await;
    let ready = [
        listed("replaced", replaced.addr),
        listed("other", other.addr),
    ];
    for number in 0..3 {
        assert_eq!(status(&gateway, &format!("id-{number}")).await, 200);
        sleep(DRAIN_TIME).await;
        apply(&gateway, &ready);
    }
    assert_eq!(replaced.received().len(), 1);
}

/// A gateway whose lists may lag for longer than the test takes.
pub async fn start_with_lagging_lists(endpoints: &[(&str, &TestEndpoint)]) -> TestGateway {
    let mut cfg: GatewaySettings = settings();
    cfg.list.max_lag = Duration::from_mins(1);
    let log = Logger::root(Discard, o!());
    TestGateway::start_configured(cfg, endpoints, log, Metrics::disabled("gateway")).await
}
