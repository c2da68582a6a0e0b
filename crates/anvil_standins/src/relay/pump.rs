//! One direction of one connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::{Counters, Flow, Link};

/// Bytes read at a time.
const PIECE: usize = 16 << 10;
/// Pieces under way in one direction.
const PIECES: usize = 1_024;

type Timed = (Instant, Bytes);

/// Passes bytes on until one side closes.
pub(super) async fn pump(
    input: OwnedReadHalf,
    out: OwnedWriteHalf,
    link: watch::Receiver<Link>,
    way: impl Fn(&Link) -> (Flow, Duration),
    counters: &Counters,
) {
    let (tx, rx) = mpsc::channel(PIECES);
    tokio::join!(take(input, link, way, tx), give(out, rx, counters));
}

async fn take(
    mut input: OwnedReadHalf,
    mut link: watch::Receiver<Link>,
    way: impl Fn(&Link) -> (Flow, Duration),
    tx: mpsc::Sender<Timed>,
) {
    loop {
        let mut buf = BytesMut::with_capacity(PIECE);
        match input.read_buf(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        if link
            .wait_for(|link| way(link).0 != Flow::Hold)
            .await
            .is_err()
        {
            return;
        }
        let (flow, delay) = way(&link.borrow());
        if flow == Flow::Swallow {
            continue;
        }
        let due = Instant::now() + delay;
        if tx.send((due, buf.freeze())).await.is_err() {
            return;
        }
    }
}

async fn give(mut out: OwnedWriteHalf, mut rx: mpsc::Receiver<Timed>, counters: &Counters) {
    while let Some((due, bytes)) = rx.recv().await {
        if due > Instant::now() {
            sleep_until(due).await;
        }
        if out.write_all(&bytes).await.is_err() {
            return;
        }
        counters.add(bytes.len());
    }
    // The other side may have closed first.
    let _ = out.shutdown().await;
}
