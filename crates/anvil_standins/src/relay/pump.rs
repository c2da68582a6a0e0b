//! Forwards one direction of one connection.
//!
//! A reader applies the flow and stamps each chunk with its due time; a writer sends the chunks
//! when they are due.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::{Counters, Flow, Link};

/// Maximum bytes of one read.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks in flight in one direction.
const MAX_CHUNKS: usize = 1_024;

type DelayedChunk = (Instant, Bytes);

/// Forwards bytes until one side closes.
pub(super) async fn pump(
    input: OwnedReadHalf,
    output: OwnedWriteHalf,
    link: watch::Receiver<Link>,
    flow_and_delay: impl Fn(&Link) -> (Flow, Duration),
    counters: &Counters,
) {
    let (tx, rx) = mpsc::channel(MAX_CHUNKS);
    tokio::join!(
        read_chunks(input, link, flow_and_delay, tx),
        write_chunks(output, rx, counters)
    );
}

async fn read_chunks(
    mut input: OwnedReadHalf,
    mut link: watch::Receiver<Link>,
    flow_and_delay: impl Fn(&Link) -> (Flow, Duration),
    tx: mpsc::Sender<DelayedChunk>,
) {
    loop {
        let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
        match input.read_buf(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        if link
            .wait_for(|link| flow_and_delay(link).0 != Flow::Hold)
            .await
            .is_err()
        {
            return;
        }
        let (flow, delay) = flow_and_delay(&link.borrow());
        if flow == Flow::Discard {
            continue;
        }
        let due = Instant::now() + delay;
        if tx.send((due, buf.freeze())).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut output: OwnedWriteHalf,
    mut rx: mpsc::Receiver<DelayedChunk>,
    counters: &Counters,
) {
    while let Some((due, bytes)) = rx.recv().await {
        if due > Instant::now() {
            sleep_until(due).await;
        }
        if output.write_all(&bytes).await.is_err() {
            return;
        }
        counters.add(bytes.len());
    }
    // Fails only when the other side has closed first.
    let _ = output.shutdown().await;
}
