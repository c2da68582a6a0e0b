//! Prepaid budgets: never more than granted, and correct costs.

use std::time::Duration;

use anvil_gateway::GatewaySettings;
use anvil_world::command::GrantBatchAnswer;
use anvil_world::prelude::*;
use anvilreel::metrics::Metrics;
use slog::{Discard, Logger, o};

use crate::client::Client;
use crate::endpoint::{Step, TestEndpoint, chunk, event, refusal_with, stream_end, stream_head};
use crate::gateway::{TestGateway, listed, settings};

/// Header line with the key of the prepaid organisation.
pub const KEY: &str = "x-key: key\r\n";

/// Grants this amount to the co-op, as the ledger would.
pub fn add_grant(gateway: &TestGateway, id: GrantId, amount: Tokens) {
    let grant_account = &gateway.gw.grant_account;
    let batch = grant_account
        .next_batch(gateway.gw.lifecycle.now())
        .expect("a batch");
    let grant = Grant {
        id,
        budget: "co-op".into(),
        router: batch.router.clone(),
        incarnation: batch.incarnation,
        amount,
        settled: 0,
        returned: 0,
        state: GrantState::Open,
    };
    let answer = GrantBatchAnswer {
        seq: batch.seq,
        opened: vec![grant],
        ..GrantBatchAnswer::default()
    };
    grant_account
        .apply_answer(gateway.gw.lifecycle.now(), &answer)
        .expect("a grant");
}

async fn start_with_grant(endpoint: &TestEndpoint, amount: Tokens) -> TestGateway {
    start_configured_with_grant(settings(), endpoint, amount).await
}

async fn start_configured_with_grant(
    cfg: GatewaySettings,
    endpoint: &TestEndpoint,
    amount: Tokens,
) -> TestGateway {
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::disabled("gateway");
    let gateway = TestGateway::start_configured(cfg, &[("a", endpoint)], log, metrics).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("{KEY}x-tokens: 10,10\r\n");
    // The first request finds no grant and makes the gateway ask for one.
    assert!(client.request("/stream/x", "first", &headers).await.status >= 400);
    add_grant(&gateway, 1, amount);
    gateway
}

fn endpoint_with_three_events() -> impl std::future::Future<Output = TestEndpoint> {
    TestEndpoint::start(|_, req| {
        let mut steps = vec![Step::Send(stream_head(req))];
        steps.extend((1..=3).map(|id| Step::Send(chunk(&event(id)))));
        steps.push(Step::Send(stream_end()));
        steps
    })
}

/// Guards against more tokens being spent than granted: requests beyond the grant are refused
/// without having run.
#[tokio::test]
async fn spending_never_exceeds_the_grant() {
    let endpoint = endpoint_with_three_events().await;
    let gateway = start_with_grant(&endpoint, 500).await;
    let mut served = 0;
    for number in 0..20 {
        let mut client = Client::connect(gateway.addr).await;
        let headers = format!("{KEY}x-tokens: 100,30\r\n");
        let response = client
            .request("/stream/x", &format!("id-{number}"), &headers)
            .await;
        served += u64::from(response.status == 200);
        assert!(
            matches!(response.status, 200 | 429 | 402 | 503),
            "{response:?}"
        );
    }
    // Each costs 100 for its prompt and 9 for three events.
    assert_eq!(served, endpoint.received().len() as u64);
    assert!(
        (1..=4).contains(&served),
        "{served} served out of 500 tokens"
    );
    let view = gateway.gw.grant_account.budget_status("co-op");
    assert_eq!(view.free + view.reserved, 500 - served * 109);
}

/// Guards against a stream being charged twice, or not at all, when another endpoint takes over from a
/// silent one.
#[tokio::test]
async fn stream_that_is_taken_over_is_charged_once() {
    let silent = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let other = endpoint_with_three_events().await;
    let gateway = start_with_grant(&silent, 500).await;
    let mut away = listed("b", other.addr);
    away.zone = "local-b".into();
    let endpoints = [listed("a", silent.addr), away];
    gateway.gw.directory.apply_list(&endpoints);
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("{KEY}x-tokens: 100,30\r\n");
    let response = client.request("/resumed/x", "id", &headers).await;
    assert!(response.status == 200 && response.complete, "{response:?}");
    assert_eq!((silent.received().len(), other.received().len()), (1, 1));
    // 100 for its prompt and 9 for three events.
    let view = gateway.gw.grant_account.budget_status("co-op");
    assert_eq!((view.free, view.reserved), (500 - 109, 0));
}

/// Guards against a charge for a request whose client left before the endpoint began: otherwise an
/// organisation with impatient clients exhausts its budget for nothing.
#[tokio::test]
async fn request_abandoned_before_it_began_is_not_charged() {
    let unresponsive = TestEndpoint::start(|_, _| vec![Step::Hang]).await;
    let gateway = start_with_grant(&unresponsive, 500).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("content-length: 0\r\n{KEY}x-tokens: 100,30\r\n");
    client.send("/stream/x", "id", &headers).await;
    while unresponsive.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(client);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let view = gateway.gw.grant_account.budget_status("co-op");
    assert_eq!((view.free, view.reserved), (500, 0));
}

/// Guards against a wrong charge when the client leaves during the response: the prompt and the
/// delivered output are charged, the rest of the reservation is released.
#[tokio::test]
async fn request_abandoned_midway_is_charged_for_delivered_output() {
    let endless = TestEndpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            Step::Hang,
        ]
    })
    .await;
    let gateway = start_with_grant(&endless, 500).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("content-length: 0\r\n{KEY}x-tokens: 100,30\r\n");
    client.send("/stream/x", "id", &headers).await;
    while !client.read_some().await.contains("piece 1") {}
    drop(client);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let view = gateway.gw.grant_account.budget_status("co-op");
    assert_eq!((view.free, view.reserved), (500 - 103, 0));
}

/// Guards against a charge for a request that the endpoint states it did not run.
#[tokio::test]
async fn request_that_was_not_run_is_not_charged() {
    let full =
        TestEndpoint::start(|_, req| vec![Step::Send(crate::endpoint::not_run(req, "503 Full"))])
            .await;
    let gateway = start_with_grant(&full, 500).await;
    let mut client = Client::connect(gateway.addr).await;
    let headers = format!("{KEY}x-tokens: 100,30\r\n");
    assert_eq!(
        client.request("/stream/x", "id", &headers).await.status,
        503
    );
    let view = gateway.gw.grant_account.budget_status("co-op");
    assert_eq!((view.free, view.reserved), (500, 0));
}

/// Guards against clients staying at a gateway that can't reach the ledger: it reports that it is
/// not ready and closes connections until the ledger answers again.
#[tokio::test]
async fn gateway_without_a_ledger_is_not_ready() {
    let endpoint = endpoint_with_three_events().await;
    let gateway = TestGateway::start(&[("a", &endpoint)]).await;
    gateway.gw.mark_starved();
    assert!(!gateway.gw.is_ready());
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request("/idempotent/x", "id", "").await;
    assert!(response.head.contains("connection: close"));
    gateway.gw.clear_starved();
    assert!(gateway.gw.is_ready());
}

/// Guards against clients being sent from gateway to gateway during a leader election until they
/// give up: for one second the refusals say to retry shortly, afterwards to go elsewhere.
#[tokio::test]
async fn clients_are_sent_elsewhere_only_after_election_time() {
    let endpoint = endpoint_with_three_events().await;
    let gateway = start_with_grant(&endpoint, 10).await;
    let headers = format!("{KEY}x-tokens: 100,30\r\n");
    let retry_after = async |id: &str| {
        let mut client = Client::connect(gateway.addr).await;
        let response = client.request("/stream/x", id, &headers).await;
        assert_eq!(response.status, 503);
        let retry_after = response.head.lines();
        let mut retry_after = retry_after.filter_map(|line| line.strip_prefix("retry-after: "));
        retry_after
            .next()
            .expect("a time")
            .parse::<f64>()
            .expect("seconds")
    };
    gateway
        .gw
        .grant_account
        .next_batch(gateway.gw.lifecycle.now() + Duration::from_secs(1));
    let batch_sent_at = gateway.gw.lifecycle.now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let first = retry_after("early").await;
    if gateway.gw.lifecycle.now() < batch_sent_at + Duration::from_secs(1) {
        assert!(first >= 0.2, "{first}");
        assert!(!gateway.gw.is_starved());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(retry_after("late").await < 0.1);
    assert!(gateway.gw.is_starved());
}

/// Guards against tokens that stay reserved for a request that an endpoint turned away, or that was
/// refused because of a pause.
#[tokio::test]
async fn tokens_of_requests_refused_in_a_pause_are_released() {
    let pausing =
        TestEndpoint::start(|_, req| vec![Step::Send(refusal_with(req, "retry-after: 60\r\n"))])
            .await;
    let gateway = start_with_grant(&pausing, 500).await;
    for number in 0..5 {
        let mut client = Client::connect(gateway.addr).await;
        let headers = format!("{KEY}x-tokens: 300,100\r\n");
        let id = format!("id-{number}");
        let refused = client.request("/stream/x", &id, &headers).await;
        assert_eq!(refused.status, 503);
        assert!(!refused.body.contains("budget"), "{refused:?}");
    }
    assert_eq!(pausing.received().len(), 1);
}

/// Guards against the cost of a request being kept when its client left just before the endpoint
/// turned it away.
#[tokio::test]
async fn request_turned_away_after_its_client_has_left_costs_nothing() {
    let full = TestEndpoint::start(|_, req| {
        vec![
            Step::Pause(Duration::from_millis(30)),
            Step::Send(refusal_with(req, "")),
        ]
    })
    .await;
    let gateway = start_with_grant(&full, 500).await;
    let headers = format!("{KEY}x-tokens: 300,100\r\ncontent-length: 0\r\n");
    for number in 1..=3 {
        let mut client = Client::connect(gateway.addr).await;
        client
            .send("/stream/x", &format!("id-{number}"), &headers)
            .await;
        // A request whose client leaves earlier is not sent at all.
        let sent = async {
            while full.received().len() < number {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let sent = tokio::time::timeout(Duration::from_secs(2), sent).await;
        assert!(sent.is_ok(), "request {number} was not sent");
        drop(client);
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert_eq!(full.received().len(), number);
    }
}
