//! Processes that die with streams open.

use std::time::Duration;

use anvil_standins::engine;
use http_body_util::BodyExt;

use super::fleet::{Fleet, chat_body, expected, json, request, streamed_text, text};

const CHAT: &str = "/v1/chat/completions";

fn slow() -> engine::Config {
    engine::Config {
        token_time: Duration::from_millis(5),
        ..engine::Config::default()
    }
}

/// A router dies with an answer half out, and the client retries through another one. The run
/// goes on beside its engine; without the claim at a second router it would start again.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_dies_and_the_retry_reads_the_same_run() {
    let mut fleet = Fleet::start_with(3, 2, slow()).await;
    let prompt = "tokens=100 ledger of Mombasa";
    let headers = [("idempotency-key", "mombasa")];
    let body = chat_body(prompt, true);
    let url = fleet.url(0, CHAT);
    let sent = fleet
        .client
        .send(&url, request(&url, &headers, body.clone()))
        .await;
    let mut answer = sent.expect("an answer").into_body();
    answer.frame().await.expect("output").expect("whole");
    fleet.routers[0].take().expect("it runs").kill();
    let again = fleet.send(1, CHAT, &headers, body).await;
    assert_eq!(streamed_text(&again.body), (expected(prompt), true));
    assert_eq!(fleet.started(), 1);
}

/// An engine dies in mid-answer. The caller must get the rest without a gap and without hearing
/// of it, and pay once.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_dies_and_another_goes_on_without_a_gap() {
    let fleet = Fleet::start_with(1, 2, slow()).await;
    for beside in &fleet.engines {
        beside.engine.set_dying_after(30);
    }
    let prompt = "tokens=80 repair history";
    let url = fleet.url(0, CHAT);
    let body = chat_body(prompt, true);
    let sent = fleet.client.send(&url, request(&url, &[], body)).await;
    let mut answer = sent.expect("an answer").into_body();
    let mut read = Vec::new();
    let first = answer.frame().await.expect("output").expect("whole");
    read.extend_from_slice(&first.into_data().expect("bytes"));
    for beside in &fleet.engines {
        beside.engine.set_dying_after(0);
    }
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("whole");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    assert_eq!(streamed_text(&read), (expected(prompt), true));
    let whole = fleet.chat(0, None, prompt).await;
    assert_eq!(text(&whole), expected(prompt));
    let cost = json(&whole)["usage"]["total_tokens"]
        .as_u64()
        .expect("a number");
    fleet.billed(2 * cost).await;
}

/// The ledger can't be reached. An order must not leave for the service unclaimed, and the
/// refusal says so truly.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_without_the_ledger_is_refused_and_did_not_run() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.stop_ledger().await;
    let headers = [("idempotency-key", "o"), ("order-id", "o")];
    let answer = fleet
        .send(0, "/services/swatches/orders", &headers, "{}")
        .await;
    assert_eq!(answer.status, 503);
    let error = json(&answer)["error"].clone();
    assert_eq!(error["outcome"], "not_run");
    assert_eq!(error["type"], "ledger_unreachable");
    assert!(error["retry_after_ms"].is_u64());
    assert!(answer.headers.contains_key("retry-after"));
    assert!(fleet.plain.runs().is_empty());
}

/// A sidecar dies in a young fleet, where no router can vouch yet that a key never ran. Every
/// request with a caller's key was told "unknown" until the ledger missed the dead one, although
/// its address refused connections: no process, so no run that could be billed beside this one.
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_sidecar_puts_nobody_elses_request_in_doubt() {
    let mut fleet = Fleet::start(2, 3).await;
    fleet.engines[0].sidecar.take().expect("it runs").kill();
    for number in 0..12 {
        let prompt = format!("tokens=5 card {number}");
        let key = format!("card-{number}");
        let answer = fleet.chat(number % 2, Some(&key), &prompt).await;
        assert_eq!(text(&answer), expected(&prompt), "{number}");
    }
}

/// A sidecar dies in mid-answer with its instance. The caller gets the rest from another endpoint,
/// and the use that it is told and billed is that of the whole answer, counted once.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_dies_and_the_use_told_is_that_of_the_whole_answer() {
    let mut fleet = Fleet::start_with(1, 2, slow()).await;
    let prompt = "tokens=200 repair history of a chronograph";
    let url = fleet.url(0, CHAT);
    let headers = [("idempotency-key", "history")];
    let body = chat_body(prompt, true);
    let sent = fleet.client.send(&url, request(&url, &headers, body)).await;
    let mut answer = sent.expect("an answer").into_body();
    let mut read = Vec::new();
    for _ in 0..20 {
        let frame = answer.frame().await.expect("output").expect("whole");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    let busy = fleet.engines.iter().position(|b| b.engine.started() > 0);
    let busy = busy.expect("one works on it");
    fleet.engines[busy].sidecar.take().expect("it runs").kill();
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("whole");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    assert_eq!(streamed_text(&read), (expected(prompt), true));
    let told = String::from_utf8_lossy(&read);
    let undisturbed = fleet.chat(0, None, prompt).await;
    let whole = json(&undisturbed)["usage"].clone();
    for count in ["prompt_tokens", "completion_tokens"] {
        let wanted = format!("\"{count}\":{}", whole[count]);
        assert!(told.contains(&wanted), "{wanted} is not in {told}");
    }
}
