//! The planned stop of a sidecar.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_wire::Channel;
use anvil_wire::msg::{SidecarCall, SidecarReply};
use anvil_world::prelude::*;
use anvilreel::metrics::Metrics;
use anvilreel::sidecar::Sidecar;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::sidecar::{TestError, first_reply, loopback, settings, start};

#[path = "support/sidecar.rs"]
mod sidecar;

/// Longer than any window or buffer between the sidecar and the router.
const RESPONSE_BYTES: usize = 512 << 10;
/// Within this time the endpoint has sent its response and the sidecar would have ended.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Bytes that the compression between processes does not make fewer.
fn incompressible() -> Vec<u8> {
    let mut bytes = vec![0; RESPONSE_BYTES];
    ChaCha8Rng::seed_from_u64(1).fill_bytes(&mut bytes);
    bytes
}

/// An endpoint that sends a long response to each call at once.
async fn long_responses() -> Result<SocketAddr, TestError> {
    let listener = TcpListener::bind(loopback()).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {RESPONSE_BYTES}\r\n\r\n");
                // The request fits into one read; the sidecar is the only caller.
                let read = socket.read(&mut [0; 4096]).await;
                if read.is_ok_and(|bytes| bytes > 0) {
                    // Fails only if the sidecar has disconnected, which the test notices.
                    let _ = socket.write_all(head.as_bytes()).await;
                    let _ = socket.write_all(&incompressible()).await;
                }
            });
        }
    });
    Ok(addr)
}

/// Guards against a planned stop that cuts the answer of a caller who reads slowly: the endpoint has
/// sent all of it, but the sidecar still keeps a part.
#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_until_the_output_of_ended_runs_is_read() -> Result<(), TestError> {
    let endpoint = long_responses().await?;
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::new("sidecar", None)?;
    let sidecar = Sidecar::start(&settings(endpoint, None), log, metrics).await?;
    let channel = Channel::new(sidecar.addr());
    let start = start(1, sidecar.incarnation());
    let mut replies = channel.open::<SidecarCall>(&start).await?;
    let accepted = replies.next().await?;
    assert!(
        matches!(accepted, Some(SidecarReply::Accepted { .. })),
        "{accepted:?}"
    );
    let stopping = tokio::spawn(sidecar.stop());
    sleep(PAUSE).await;
    let mut read = 0;
    let end = loop {
        match replies.next().await? {
            Some(SidecarReply::Frame(frame)) => read += frame.bytes.len(),
            Some(SidecarReply::End(end)) => break end,
            Some(SidecarReply::Head(_)) => {}
            other => panic!("{other:?} after {read} bytes"),
        }
    };
    assert!(matches!(end.outcome, Outcome::Completed(_)), "{end:?}");
    assert_eq!(read, RESPONSE_BYTES);
    timeout(Duration::from_secs(5), stopping).await??;
    Ok(())
}

/// Guards against a planned stop that never ends because a router has left without reading on.
#[tokio::test(flavor = "multi_thread")]
async fn stop_does_not_wait_for_readers_that_have_left() -> Result<(), TestError> {
    let endpoint = long_responses().await?;
    let log = Logger::root(Discard, o!());
    let metrics = Metrics::new("sidecar", None)?;
    let sidecar = Sidecar::start(&settings(endpoint, None), log, metrics).await?;
    let channel = Channel::new(sidecar.addr());
    let incarnation = sidecar.incarnation();
    let first = start(1, incarnation);
    let mut replies = channel.open::<SidecarCall>(&first).await?;
    replies.next().await?;
    let stopping = tokio::spawn(sidecar.stop());
    sleep(PAUSE).await;
    let late = first_reply(&channel, &start(2, incarnation)).await?;
    assert!(matches!(late, SidecarReply::Refused(_)), "{late:?}");
    assert!(!stopping.is_finished(), "it has not waited for the reader");
    drop(replies);
    timeout(Duration::from_secs(5), stopping).await??;
    Ok(())
}
