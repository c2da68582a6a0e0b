//! The traffic between a follower and a replica.

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

const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Changes per second while documents change.
const CHANGES_PER_S: u32 = 10;

/// Relays connections to a replica and counts the bytes in both directions.
async fn relay(to: SocketAddr) -> Result<(SocketAddr, Arc<AtomicU64>), Failure> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let addr = listener.local_addr()?;
    let count = Arc::new(AtomicU64::new(0));
    let relay_count = count.clone();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(replica) = TcpStream::connect(to).await else {
                continue;
            };
            let (client_read, client_write) = client.into_split();
            let (replica_read, replica_write) = replica.into_split();
            tokio::spawn(copy(client_read, replica_write, relay_count.clone()));
            tokio::spawn(copy(replica_read, client_write, relay_count.clone()));
        }
    });
    Ok((addr, count))
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: Arc<AtomicU64>) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(length) = from.read(&mut buf).await {
        if length == 0 || to.write_all(&buf[..length]).await.is_err() {
            return;
        }
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
}

/// Measures the bytes of a router's follow stream: at its start, idle, and while documents change.
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
    let reader = tokio::spawn(async move { while let Ok(Some(_)) = replies.next().await {} });
    sleep(Duration::from_millis(200)).await;
    let initial = count.swap(0, Ordering::Relaxed);
    println!("follower: the whole tree takes {initial} bytes");
    sleep(MEASURE_TIME).await;
    let idle = count.swap(0, Ordering::Relaxed) / MEASURE_TIME.as_secs();
    for number in 0..CHANGES_PER_S * 10 {
        let path = format!("organisations/busy-{number}");
        propose(&direct, put(&path, "weight = 2\n")?).await?;
        sleep(Duration::from_secs(1) / CHANGES_PER_S).await;
    }
    let busy = count.swap(0, Ordering::Relaxed) / MEASURE_TIME.as_secs();
    println!("follower: idle {idle} bytes/s; with {CHANGES_PER_S} changes a second {busy} bytes/s");
    reader.abort();
    Ok(())
}
