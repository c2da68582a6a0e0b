//! Prepaid budgets: never more than granted, and what a request cost.

use std::time::Duration;

use anvil_world::command::GrantBatchAnswer;
use anvil_world::prelude::*;

use crate::client::Client;
use crate::endpoint::{Endpoint, Step, chunk, event, stream_end, stream_head};
use crate::fleet::Fleet;

const KEY: &str = "x-key: key\r\n";

/// Grants the co-op so much, as the ledger would.
fn grant(fleet: &Fleet, id: GrantId, amount: Tokens) {
    let purse = &fleet.gw.grant_account;
    let batch = purse.batch(fleet.gw.lifecycle.now()).expect("an ask");
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
    purse
        .answered(fleet.gw.lifecycle.now(), &answer)
        .expect("a grant");
}

async fn with_money(endpoint: &Endpoint, amount: Tokens) -> Fleet {
    let fleet = Fleet::start(&[("a", endpoint)]).await;
    let mut client = Client::connect(fleet.addr).await;
    let headers = format!("{KEY}x-tokens: 10,10\r\n");
    // The first request finds nothing and makes the gateway ask.
    assert!(client.ask("/stream/x", "first", &headers).await.status >= 400);
    grant(&fleet, 1, amount);
    fleet
}

fn three_events() -> impl std::future::Future<Output = Endpoint> {
    Endpoint::start(|_, req| {
        let mut steps = vec![Step::Send(stream_head(req))];
        steps.extend((1..=3).map(|id| Step::Send(chunk(&event(id)))));
        steps.push(Step::Send(stream_end()));
        steps
    })
}

/// Requests come for more tokens than were granted. What runs never costs more than the grant; the
/// others are refused without having run.
#[tokio::test]
async fn no_more_runs_than_was_granted() {
    let endpoint = three_events().await;
    let fleet = with_money(&endpoint, 500).await;
    let mut served = 0;
    for number in 0..20 {
        let mut client = Client::connect(fleet.addr).await;
        let headers = format!("{KEY}x-tokens: 100,30\r\n");
        let got = client
            .ask("/stream/x", &format!("id-{number}"), &headers)
            .await;
        served += u64::from(got.status == 200);
        assert!(matches!(got.status, 200 | 429 | 402 | 503), "{got:?}");
    }
    // Each costs 100 for its prompt and 9 for three events.
    assert_eq!(served, endpoint.received().len() as u64);
    assert!(
        (1..=4).contains(&served),
        "{served} served out of 500 tokens"
    );
    let view = fleet.gw.grant_account.view("co-op");
    assert_eq!(view.free + view.reserved, 500 - served * 109);
}

/// The client leaves before its answer begins, and the endpoint had not begun: nothing is billed.
/// Billed, an organisation whose callers are impatient runs dry for nothing.
#[tokio::test]
async fn a_request_left_before_it_began_costs_nothing() {
    let silent = Endpoint::start(|_, _| vec![Step::Hang]).await;
    let fleet = with_money(&silent, 500).await;
    let mut client = Client::connect(fleet.addr).await;
    let headers = format!("content-length: 0\r\n{KEY}x-tokens: 100,30\r\n");
    client.send("/stream/x", "id", &headers).await;
    while silent.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(client);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let view = fleet.gw.grant_account.view("co-op");
    assert_eq!((view.free, view.reserved), (500, 0));
}

/// The client leaves in the middle of its answer: the prompt and what it was sent are billed, and
/// the rest of the reservation comes back.
#[tokio::test]
async fn a_request_left_in_its_middle_costs_what_was_delivered() {
    let endless = Endpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            Step::Hang,
        ]
    })
    .await;
    let fleet = with_money(&endless, 500).await;
    let mut client = Client::connect(fleet.addr).await;
    let headers = format!("content-length: 0\r\n{KEY}x-tokens: 100,30\r\n");
    client.send("/stream/x", "id", &headers).await;
    while !client.some().await.contains("piece 1") {}
    drop(client);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let view = fleet.gw.grant_account.view("co-op");
    assert_eq!((view.free, view.reserved), (500 - 103, 0));
}

/// The endpoint says that it did not run the request: nothing is billed.
#[tokio::test]
async fn a_request_that_was_not_run_costs_nothing() {
    let full =
        Endpoint::start(|_, req| vec![Step::Send(crate::endpoint::not_run(req, "503 Full"))]).await;
    let fleet = with_money(&full, 500).await;
    let mut client = Client::connect(fleet.addr).await;
    let headers = format!("{KEY}x-tokens: 100,30\r\n");
    assert_eq!(client.ask("/stream/x", "id", &headers).await.status, 503);
    let view = fleet.gw.grant_account.view("co-op");
    assert_eq!((view.free, view.reserved), (500, 0));
}

/// No way leads to the ledger. The gateway asks the balancer for no more clients and sends the one
/// it has elsewhere at once; when the ledger answers again it is ready again.
#[tokio::test]
async fn a_gateway_that_cannot_pay_sends_its_clients_elsewhere() {
    let endpoint = three_events().await;
    let fleet = Fleet::start(&[("a", &endpoint)]).await;
    fleet.gw.mark_starved();
    assert!(!fleet.gw.is_ready());
    let mut client = Client::connect(fleet.addr).await;
    let got = client.ask("/idempotent/x", "id", "").await;
    assert!(got.head.contains("connection: close"));
    fleet.gw.clear_starved();
    assert!(fleet.gw.is_ready());
}

/// Guards against clients that are sent from gateway to gateway while the ledger elects a leader, and give
/// up: for a second they are told to come back a moment later, and then to go elsewhere.
#[tokio::test]
async fn clients_are_sent_elsewhere_only_after_an_election() {
    let endpoint = three_events().await;
    let fleet = with_money(&endpoint, 10).await;
    let headers = format!("{KEY}x-tokens: 100,30\r\n");
    let again = async |id: &str| {
        let mut client = Client::connect(fleet.addr).await;
        let got = client.ask("/stream/x", id, &headers).await;
        assert_eq!(got.status, 503);
        let again = got.head.lines();
        let mut again = again.filter_map(|line| line.strip_prefix("retry-after: "));
        again
            .next()
            .expect("a time")
            .parse::<f64>()
            .expect("seconds")
    };
    fleet
        .gw
        .grant_account
        .batch(fleet.gw.lifecycle.now() + Duration::from_secs(1));
    let asked = fleet.gw.lifecycle.now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let first = again("early").await;
    if fleet.gw.lifecycle.now() < asked + Duration::from_secs(1) {
        assert!(first >= 0.2, "{first}");
        assert!(!fleet.gw.is_starved());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(again("late").await < 0.1);
    assert!(fleet.gw.is_starved());
}
