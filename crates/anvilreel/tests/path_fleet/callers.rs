//! Callers that disconnect early or read slowly.

use std::time::Duration;

use anvil_standins::engine;
use http_body_util::BodyExt;
use tokio::time::sleep;

use super::fleet::{Fleet, chat_body, eventually, expected, request, streamed_text};

const CHAT: &str = "/v1/chat/completions";

/// A caller disconnects in the middle of its response. Without the cancel the engine would go on
/// generating output that nobody reads. Only the output so far may be billed: billing nothing
/// gives work away, and billing the reserved maximum overcharges.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnect_cancels_the_run_and_bills_the_output_so_far() {
    let slow = engine::Config {
        token_time: Duration::from_millis(10),
        ..engine::Config::default()
    };
    let fleet = Fleet::start_with(1, 1, slow).await;
    let url = fleet.url(0, CHAT);
    let body = chat_body("tokens=400 a long history", true);
    let sent = fleet.client.send(&url, request(&url, &[], body)).await;
    let mut answer = sent.expect("an answer").into_body();
    answer
        .frame()
        .await
        .expect("output")
        .expect("a valid frame");
    drop(answer);
    eventually("the part that was made is billed", || async {
        fleet.budget().await.billed > 0
    })
    .await;
    sleep(Duration::from_millis(100)).await;
    let generated = fleet.engines[0].engine.tokens_generated();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(
        fleet.engines[0].engine.tokens_generated(),
        generated,
        "the engine stopped"
    );
    assert!(generated < 400);
    let billed = fleet.budget().await.billed;
    assert!(billed < 400, "billed {billed}");
}

/// A caller that chose its own key may retry after a disconnect, so the run continues, and the
/// retry receives the complete response.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_by_key_after_a_disconnect_gets_the_complete_response() {
    let fleet = Fleet::start(1, 1).await;
    let prompt = "tokens=100 history of watch 12";
    let url = fleet.url(0, CHAT);
    let headers = [("idempotency-key", "watch-12")];
    let body = chat_body(prompt, true);
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
    drop(answer);
    let again = fleet.send(0, CHAT, &headers, body).await;
    assert_eq!(streamed_text(&again.body), (expected(prompt), true));
    assert_eq!(fleet.started_runs(), 1);
}

/// A caller on a slow connection reads a little at a time. Its response is buffered at the sidecar,
/// and other callers are served meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_gets_the_complete_response_and_delays_nobody() {
    let fleet = Fleet::start(1, 1).await;
    let prompt = "tokens=400 slow";
    let url = fleet.url(0, CHAT);
    let body = chat_body(prompt, true);
    let sent = fleet.client.send(&url, request(&url, &[], body)).await;
    let mut answer = sent.expect("an answer").into_body();
    let mut read = Vec::new();
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("a valid frame").into_data().expect("bytes");
        read.extend_from_slice(&frame);
        if read.len() < 4_000 {
            sleep(Duration::from_millis(50)).await;
            let other = fleet.chat(0, None, "tokens=2 quick").await;
            assert_eq!(other.status, 200);
        }
    }
    assert_eq!(streamed_text(&read), (expected(prompt), true));
}
