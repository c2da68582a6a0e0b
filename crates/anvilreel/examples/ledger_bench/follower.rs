//! What a follower costs on the wire.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_wire::Channel;
use anvil_wire::msg::{FollowScope, LedgerCall, LedgerRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::ledger::{Failure, Ledger, propose, put};

const TIME: Duration = Duration::from_secs(10);
/// Changes a second of a busy ledger.
const CHANGES: u32 = 10;

/// Counts what passes between a follower and a replica, both ways.
async fn relay(to: SocketAddr) -> Result<(SocketAddr, Arc<AtomicU64>), Failure> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let addr = listener.local_addr()?;
    let count = Arc::new(AtomicU64::new(0));
    let counted = count.clone();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(to).await else {
                continue;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(pass(near_read, far_write, counted.clone()));
            tokio::spawn(pass(far_read, near_write, counted.clone()));
        }
    });
    Ok((addr, count))
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: Arc<AtomicU64>) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(length) = from.read(&mut buf).await {
        if length == 0 || to.write_all(&buf[..length]).await.is_err() {
            return;
        }
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
}

/// Bytes of a router's follow stream: at its start, idle, and while documents change.
pub async fn measure(ledger: &Ledger) -> Result<(), Failure> {
    let direct = ledger.leader().await.1;
    let (addr, count) = relay(direct.addr()).await?;
    let follow = LedgerRequest::Follow {
        instance: "router-1".into(),
        interest: FollowScope::Router,
        version: 0,
    };
    let mut replies = Channel::new(addr).open::<LedgerCall>(&follow).await?;
    replies.next().await?;
    let reading = tokio::spawn(async move { while let Ok(Some(_)) = replies.next().await {} });
    sleep(Duration::from_millis(200)).await;
    let whole = count.swap(0, Ordering::Relaxed);
    println!("follower: the whole tree takes {whole} bytes");
    sleep(TIME).await;
    let idle = count.swap(0, Ordering::Relaxed) / TIME.as_secs();
    for number in 0..CHANGES * 10 {
        let path = format!("organisations/busy-{number}");
        propose(&direct, put(&path, "weight = 2\n")?).await?;
        sleep(Duration::from_secs(1) / CHANGES).await;
    }
    let busy = count.swap(0, Ordering::Relaxed) / TIME.as_secs();
    println!("follower: idle {idle} bytes/s; with {CHANGES} changes a second {busy} bytes/s");
    reading.abort();
    Ok(())
}
