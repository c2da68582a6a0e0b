//! Processes that crash while streams are open.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_standins::engine;
use anvil_world::command::SetPresence;
use anvil_world::prelude::*;
use http_body_util::BodyExt;

use super::fleet::{Fleet, WAIT_TIMEOUT, chat_body, expected, json, request, streamed_text, text};

const CHAT: &str = "/v1/chat/completions";

fn slow() -> engine::Config {
    engine::Config {
        token_time: Duration::from_millis(5),
        ..engine::Config::default()
    }
}

/// A router crashes in the middle of a response, and the client retries through another one. The
/// run continues at its sidecar. Without the claim held by a second router it would start again.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_router_crash_attaches_to_the_same_run() {
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
    answer
        .frame()
        .await
        .expect("output")
        .expect("a valid frame");
    fleet.routers[0].take().expect("it is running").kill();
    let again = fleet.send(1, CHAT, &headers, body).await;
    assert_eq!(streamed_text(&again.body), (expected(prompt), true));
    assert_eq!(fleet.started_runs(), 1);
}

/// An engine crashes in the middle of a response. The caller must receive the rest without a gap
/// or an error, and be billed once.
#[tokio::test(flavor = "multi_thread")]
async fn another_engine_continues_after_an_engine_crash_without_a_gap() {
    let fleet = Fleet::start_with(1, 2, slow()).await;
    let next_crash = Arc::new(AtomicU64::new(30));
    for engine_with_sidecar in &fleet.engines {
        let engine = &engine_with_sidecar.engine;
        engine.crash_next_run_after(next_crash.clone());
    }
    let prompt = "tokens=80 repair history";
    let url = fleet.url(0, CHAT);
    let body = chat_body(prompt, true);
    let sent = fleet.client.send(&url, request(&url, &[], body)).await;
    let mut answer = sent.expect("an answer").into_body();
    let mut read = Vec::new();
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("a valid frame");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    assert_eq!(next_crash.load(Ordering::Relaxed), 0, "no engine crashed");
    assert_eq!(streamed_text(&read), (expected(prompt), true));
    let whole = fleet.chat(0, None, prompt).await;
    assert_eq!(text(&whole), expected(prompt));
    let cost = json(&whole)["usage"]["total_tokens"]
        .as_u64()
        .expect("a number");
    fleet.wait_until_billed(2 * cost).await;
}

/// The ledger is unreachable. An order must not be sent to the service without a claim, and the
/// refusal must say that it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_is_refused_and_does_not_run_without_the_ledger() {
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
    assert!(fleet.plain.run_counts().is_empty());
}

/// A sidecar crashes in a new fleet, where no router has held claims long enough to confirm that a
/// key never ran. Requests with a caller's key then probe the sidecars. The crashed one refuses
/// connections, so no process is left that could run the key; without counting that as a negative
/// answer, every such request would end as unknown until the ledger removes the sidecar.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_sidecar_does_not_make_new_requests_unknown() {
    let mut fleet = Fleet::start(2, 3).await;
    fleet.engines[0]
        .sidecar
        .take()
        .expect("it is running")
        .kill()
        .await;
    for number in 0..12 {
        let prompt = format!("tokens=5 card {number}");
        let key = format!("card-{number}");
        let answer = fleet.chat(number % 2, Some(&key), &prompt).await;
        assert_eq!(text(&answer), expected(&prompt), "{number}");
    }
}

/// A sidecar crashes with its instance in the middle of a response. The caller receives the rest
/// from another endpoint. The usage reported and billed must be that of the complete response,
/// counted once.
#[tokio::test(flavor = "multi_thread")]
async fn reported_usage_covers_the_complete_response_after_a_sidecar_crash() {
    let mut fleet = Fleet::start_with(1, 2, slow()).await;
    let prompt = "tokens=200 repair history of a chronograph";
    let url = fleet.url(0, CHAT);
    let headers = [("idempotency-key", "history")];
    let body = chat_body(prompt, true);
    let sent = fleet.client.send(&url, request(&url, &headers, body)).await;
    let mut answer = sent.expect("an answer").into_body();
    let mut read = Vec::new();
    for _ in 0..20 {
        let frame = answer
            .frame()
            .await
            .expect("output")
            .expect("a valid frame");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    let busy = fleet
        .engines
        .iter()
        .position(|b| b.engine.runs_started() > 0);
    let busy = busy.expect("one works on it");
    fleet.engines[busy]
        .sidecar
        .take()
        .expect("it is running")
        .kill()
        .await;
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("a valid frame");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    assert_eq!(streamed_text(&read), (expected(prompt), true));
    let received = String::from_utf8_lossy(&read);
    let undisturbed = fleet.chat(0, None, prompt).await;
    let whole = json(&undisturbed)["usage"].clone();
    for count in ["prompt_tokens", "completion_tokens"] {
        let wanted = format!("\"{count}\":{}", whole[count]);
        assert!(received.contains(&wanted), "{wanted} is not in {received}");
    }
}

/// Guards against a stream that is given up although it goes on, because the ledger, which hears
/// nothing from the sidecar, has declared it gone: for instance in a planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_sidecar_that_is_declared_gone_is_read_to_its_end() {
    let mut fleet = Fleet::start_with(1, 1, slow()).await;
    let prompt = "tokens=150 declared gone";
    let url = fleet.url(0, CHAT);
    let body = chat_body(prompt, true);
    let sent = fleet.client.send(&url, request(&url, &[], body)).await;
    let mut answer = sent.expect("an answer").into_body();
    let first = answer.frame().await.expect("output");
    let first = first.expect("a valid frame").into_data().expect("bytes");
    let mut read = first.to_vec();
    let sidecar = fleet.engines[0].sidecar.take().expect("it is running");
    let gone = Command::SetPresence(SetPresence {
        id: "sidecar-1".into(),
        incarnation: sidecar.incarnation(),
        presence: Presence::Gone,
    });
    let stopping = tokio::spawn(sidecar.stop());
    fleet
        .ledger
        .propose(gone, WAIT_TIMEOUT)
        .await
        .expect("in the ledger");
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("a valid frame");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    assert_eq!(streamed_text(&read), (expected(prompt), true));
    stopping.await.expect("stopped");
}
