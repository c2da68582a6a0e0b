//! Callers that leave, or read slowly.

use std::time::Duration;

use anvil_standins::engine;
use http_body_util::BodyExt;
use tokio::time::sleep;

use super::fleet::{Fleet, chat_body, eventually, expected, request, streamed_text};

const CHAT: &str = "/v1/chat/completions";

/// A customer hangs up in mid-answer. Without the cancel the engine works on for nobody; without
/// the bill the work already done is a gift, and with the whole bound it is a theft.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_stops_the_run_and_pays_for_what_was_made() {
    let slow = engine::Config {
        token_time: Duration::from_millis(10),
        ..engine::Config::default()
    };
    let fleet = Fleet::start_with(1, 1, slow).await;
    let url = fleet.url(0, CHAT);
    let body = chat_body("tokens=400 a long history", true);
    let sent = fleet.client.send(&url, request(&url, &[], body)).await;
    let mut answer = sent.expect("an answer").into_body();
    answer.frame().await.expect("output").expect("whole");
    drop(answer);
    eventually("the part that was made is billed", || async {
        fleet.budget().await.billed > 0
    })
    .await;
    sleep(Duration::from_millis(100)).await;
    let made = fleet.engines[0].engine.tokens();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.engines[0].engine.tokens(), made, "the engine stopped");
    assert!(made < 400);
    let billed = fleet.budget().await.billed;
    assert!(billed < 400, "billed {billed}");
}

/// A caller that chose its key may come back: the run goes on, and the retry gets all of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_with_a_key_that_leaves_finds_its_answer_later() {
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
    answer.frame().await.expect("output").expect("whole");
    drop(answer);
    let again = fleet.send(0, CHAT, &headers, body).await;
    assert_eq!(streamed_text(&again.body), (expected(prompt), true));
    assert_eq!(fleet.started(), 1);
}

/// A caller behind a bad line reads a little at a time. Its answer waits at the sidecar, and
/// others are served meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_slowly_gets_all_and_holds_up_nobody() {
    let fleet = Fleet::start(1, 1).await;
    let prompt = "tokens=400 slow";
    let url = fleet.url(0, CHAT);
    let body = chat_body(prompt, true);
    let sent = fleet.client.send(&url, request(&url, &[], body)).await;
    let mut answer = sent.expect("an answer").into_body();
    let mut read = Vec::new();
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("whole").into_data().expect("bytes");
        read.extend_from_slice(&frame);
        if read.len() < 4_000 {
            sleep(Duration::from_millis(50)).await;
            let other = fleet.chat(0, None, "tokens=2 quick").await;
            assert_eq!(other.status, 200);
        }
    }
    assert_eq!(streamed_text(&read), (expected(prompt), true));
}
