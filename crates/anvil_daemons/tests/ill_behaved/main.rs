//! The quick start under clients that exceed limits or never finish what they send: the process has to stay
//! within the memory that its router assumes, and to answer ordinary requests.
//!
//! The tests run one at a time. Nothing depends on the speed of the machine.

#[path = "../../../../platform/tests/ill_behaved/crowd.rs"]
mod crowd;
#[path = "../../../../platform/tests/ill_behaved/exchange.rs"]
#[expect(dead_code, reason = "shared with the tests of the platform")]
mod exchange;
mod local;
#[path = "../../../../platform/tests/ill_behaved/usage.rs"]
mod usage;

use crowd::Sent;
use local::{Local, chat_head};

/// Connections of a crowd that sends the largest bodies.
const CROWD: usize = 150;
/// Connections of a crowd that sends heads.
const LARGE_CROWD: usize = 900;
/// Longest body.
const BODY_BYTES: usize = 4 << 20;

/// Held by each test: side by side they would use up each other's memory.
static ALONE: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

async fn assert_bears(count: usize, sent: Sent) {
    let _alone = ALONE.lock().await;
    let mut local = Local::start().await;
    local.assert_bears(count, sent).await;
}

/// Guards against bodies that are kept whole without a bound on what all of them hold.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_one_byte_short() {
    let head = format!("{}content-length: {BODY_BYTES}\r\n\r\n", chat_head());
    let mut request = head.into_bytes();
    request.resize(request.len() + BODY_BYTES - 1, b'x');
    assert_bears(CROWD, Sent::once(request)).await;
}

/// Guards against the same where the bodies come in large chunks.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_short_of_the_end() {
    let size = BODY_BYTES / 4;
    let chunk = [
        format!("{size:x}\r\n").into_bytes(),
        vec![b'x'; size],
        b"\r\n".to_vec(),
    ];
    let sent = Sent {
        beginning: format!("{}transfer-encoding: chunked\r\n\r\n", chat_head()).into_bytes(),
        part: chunk.concat(),
        times: 4,
    };
    assert_bears(CROWD, sent).await;
}

/// Guards against chunks of a byte of which each keeps more than its byte, or that stay unread.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_a_byte_short_of_the_end() {
    let sent = Sent {
        beginning: format!("{}transfer-encoding: chunked\r\n\r\n", chat_head()).into_bytes(),
        part: b"1\r\nx\r\n".repeat(4_000),
        times: 30,
    };
    assert_bears(LARGE_CROWD, sent).await;
}

/// Guards against heads and empty lines that are buffered for as long as they go on.
#[tokio::test(flavor = "multi_thread")]
async fn heads_and_empty_lines_without_end() {
    let head = Sent {
        beginning: chat_head().into_bytes(),
        part: b"x-a: b\r\n".repeat(512),
        times: 256,
    };
    let lines = Sent {
        beginning: Vec::new(),
        part: b"\r\n".repeat(2_048),
        times: 256,
    };
    assert_bears(LARGE_CROWD, head).await;
    assert_bears(LARGE_CROWD, lines).await;
}

/// Guards against HTTP/2 connections whose streams hold more than they may.
#[tokio::test(flavor = "multi_thread")]
async fn http2_connections_that_stop_within_a_head() {
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    // The beginning of a header block that is never ended, and parts that continue it.
    let headers = [0, 0, 1, 1, 0, 0, 0, 0, 1, 0x82];
    let mut continuation = vec![0, 0x10, 0, 9, 0, 0, 0, 0, 1];
    continuation.resize(9 + 0x1000, 0x82);
    let sent = Sent {
        beginning: [&preface[..], &settings, &headers].concat(),
        part: continuation,
        times: 256,
    };
    assert_bears(LARGE_CROWD, sent).await;
}
