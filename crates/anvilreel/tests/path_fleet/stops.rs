//! Planned stops, which let requests in flight finish.

use std::time::Duration;

use anvil_standins::engine;
use anvilreel::local::BEARER_KEY;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::fleet::{
    Fleet, WAIT_TIMEOUT, chat_body, eventually, expected, json, request, streamed_text,
};

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

/// Guards against a planned stop that waits for a caller that never completes its body.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_router_waits_no_longer_for_a_body_that_never_ends() {
    let mut fleet = Fleet::start(1, 1).await;
    let router = fleet.routers[0].take().expect("it is running");
    let mut caller = TcpStream::connect(router.addr()).await.expect("connected");
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {BEARER_KEY}\r\ncontent-length: 100\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.expect("sent");
    let (mut reading, mut writing) = caller.into_split();
    let dripping = tokio::spawn(async move {
        while writing.write_all(b" ").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let stopped = timeout(WAIT_TIMEOUT, router.stop()).await;
    stopped.expect("the stop ends");
    let mut answer = String::new();
    // It may be reset after the answer, as the caller goes on sending.
    let _ = reading.read_to_string(&mut answer).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("leaving"), "{answer}");
    dripping.abort();
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

/// Guards against a replaced incarnation that keeps the address for callers: the process can't start
/// the next one, ends, and cuts the requests under way.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_incarnation_of_a_router_starts_while_streams_of_the_last_one_finish() {
    let mut fleet = Fleet::start_with(1, 1, slow()).await;
    let prompt = "tokens=100 replaced";
    let url = fleet.url(0, CHAT);
    let body = chat_body(prompt, true);
    let sent = fleet.client.send(&url, request(&url, &[], body)).await;
    let mut answer = sent.expect("an answer").into_body();
    let first = answer.frame().await.expect("output");
    let mut read = first
        .expect("a valid frame")
        .into_data()
        .expect("bytes")
        .to_vec();
    let last = fleet.routers[0].take().expect("it is running");
    let addrs = [last.addr(), last.wire_addr()];
    last.retire();
    let next = fleet.restart_router(0, addrs).await;
    fleet.routers[0] = Some(next.expect("the addresses are free"));
    while let Some(frame) = answer.frame().await {
        let frame = frame.expect("a valid frame");
        read.extend_from_slice(&frame.into_data().expect("bytes"));
    }
    assert_eq!(streamed_text(&read), (expected(prompt), true));
    eventually("the next incarnation answers", || async {
        fleet.chat(0, None, "tokens=1 next").await.status == 200
    })
    .await;
}

/// Sends a chat request on this connection and reads to the end of its response, or of the
/// connection.
async fn exchange(connection: &mut TcpStream, body: &str) -> String {
    let length = body.len();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {BEARER_KEY}\r\n\
         content-length: {length}\r\n\r\n"
    );
    // Fails if the connection is closed, in which case nothing is read either.
    let _ = connection
        .write_all(format!("{head}{body}").as_bytes())
        .await;
    let mut read = Vec::new();
    let mut buf = [0; 4096];
    let is_complete = |read: &[u8]| read.ends_with(b"\r\n0\r\n\r\n") || read.ends_with(b"}}");
    while !is_complete(&read) {
        let count = timeout(WAIT_TIMEOUT, connection.read(&mut buf)).await;
        match count.expect("in time") {
            Ok(0) | Err(_) => break,
            Ok(count) => read.extend_from_slice(&buf[..count]),
        }
    }
    String::from_utf8(read).expect("text")
}

/// Guards against a planned stop that closes a connection while its caller sends the next request on
/// it, which is then neither answered nor refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_a_connection_in_use_is_answered_during_a_planned_stop() {
    let mut fleet = Fleet::start_with(1, 1, slow()).await;
    let router = fleet.routers[0].take().expect("it is running");
    let addr = router.addr();
    let mut streaming = TcpStream::connect(addr).await.expect("a connection");
    let mut idle = TcpStream::connect(addr).await.expect("a connection");
    let models = "GET /v1/models HTTP/1.1\r\nhost: router\r\n\r\n";
    idle.write_all(models.as_bytes()).await.expect("it is open");
    let read = idle.read(&mut [0; 4096]).await.expect("an answer");
    assert!(read > 0, "closed before the stop");
    let fresh = TcpStream::connect(addr).await;
    let mut fresh = fresh.expect("a connection");
    let stopping = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(200)).await;
        router.stop().await;
    });
    let late = chat_body("tokens=1 late", false);
    let stream = async {
        let whole = exchange(&mut streaming, &chat_body("tokens=100 in use", true)).await;
        (whole, exchange(&mut streaming, &late).await)
    };
    let after_close = async {
        tokio::time::sleep(Duration::from_millis(800)).await;
        (
            exchange(&mut idle, &late).await,
            exchange(&mut fresh, &late).await,
        )
    };
    let ((whole, next), (idle, fresh)) = tokio::join!(stream, after_close);
    assert!(whole.contains("[DONE]"), "{whole}");
    for refused in [&next, &idle, &fresh] {
        assert!(refused.contains("503 Service Unavailable"), "{refused:?}");
        assert!(refused.contains("connection: close"), "{refused:?}");
    }
    stopping.await.expect("stopped");
    assert!(TcpStream::connect(addr).await.is_err());
}
