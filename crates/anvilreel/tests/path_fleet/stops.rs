//! Planned stops, which let requests in flight finish.

use std::time::Duration;

use anvil_standins::engine;
use http_body_util::BodyExt;

use super::fleet::{Fleet, chat_body, eventually, expected, json, request, streamed_text};

const CHAT: &str = "/v1/chat/completions";

fn slow() -> engine::Config {
    engine::Config {
        token_time: Duration::from_millis(10),
        ..engine::Config::default()
    }
}

/// A router is stopped during a streamed response. The response must complete, and the router must
/// return its grants to the ledger.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_router_finishes_its_streams_and_returns_its_grants() {
    let mut fleet = Fleet::start_with(1, 1, slow()).await;
    let prompt = "tokens=100 stopping";
    let url = fleet.url(0, CHAT);
    let body = chat_body(prompt, true);
    let sent = fleet
        .client
        .send(&url, request(&url, &[], body.clone()))
        .await;
    let mut answer = sent.expect("an answer").into_body();
    let first = answer
        .frame()
        .await
        .expect("output")
        .expect("a valid frame");
    let mut read = first.into_data().expect("bytes").to_vec();
    let router = fleet.routers[0].take().expect("it is running");
    let stopping = tokio::spawn(router.stop());
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("a valid frame");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    assert_eq!(streamed_text(&read), (expected(prompt), true));
    stopping.await.expect("stopped");
    let budget = fleet.budget().await;
    assert!(budget.open.is_empty(), "{:?}", budget.open);
    assert!(budget.billed > 100);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_router_is_not_ready_and_accepts_no_requests() {
    let mut fleet = Fleet::start(1, 1).await;
    let url = fleet.url(0, "/readyz");
    let chat = fleet.url(0, CHAT);
    assert_eq!(fleet.client.get(&url).await.expect("ready").status, 200);
    let router = fleet.routers[0].take().expect("it is running");
    let stopping = tokio::spawn(router.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(fleet.client.get(&url).await.expect("not ready").status, 503);
    let body = chat_body("tokens=1 late", false);
    let refused = fleet.client.fetch(&chat, request(&chat, &[], body)).await;
    let refused = refused.expect("an answer");
    assert_eq!(json(&refused)["error"]["type"], "leaving");
    stopping.await.expect("stopped");
    assert_eq!(fleet.started_runs(), 0);
}

/// An endpoint is drained. Its responses must complete, and new work must go to other endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_sidecar_finishes_its_runs_and_receives_no_work() {
    let mut fleet = Fleet::start_with(1, 2, slow()).await;
    let prompt = "tokens=100 draining";
    let url = fleet.url(0, CHAT);
    let body = chat_body(prompt, true);
    let sent = fleet.client.send(&url, request(&url, &[], body)).await;
    let mut answer = sent.expect("an answer").into_body();
    let first = answer
        .frame()
        .await
        .expect("output")
        .expect("a valid frame");
    let mut read = first.into_data().expect("bytes").to_vec();
    let busy = usize::from(fleet.engines[0].engine.runs_started() == 0);
    let sidecar = fleet.engines[busy].sidecar.take().expect("it is running");
    let stopping = tokio::spawn(sidecar.stop());
    for number in 0..8 {
        let quick = format!("tokens=2 quick {number}");
        let other = fleet.chat(0, None, &quick).await;
        assert_eq!(other.status, 200, "{}", json(&other));
    }
    assert_eq!(fleet.engines[busy].engine.runs_started(), 1);
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("a valid frame");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    assert_eq!(streamed_text(&read), (expected(prompt), true));
    eventually("the sidecar has stopped", || async {
        stopping.is_finished()
    })
    .await;
}
