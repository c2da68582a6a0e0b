//! Finding the leader through replicas whose information is outdated.

#[path = "support/ports.rs"]
mod ports;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvil_wire::msg::{LedgerCall, LedgerReply, LedgerRequest, Query, QueryAnswer};
use anvil_wire::{Handlers, Server};
use anvilreel::ledger_client::LedgerClient;

use ports::free_addr;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A replica that gives every request the same reply; returns its number of calls.
async fn replica(addr: SocketAddr, reply: LedgerReply) -> Arc<AtomicUsize> {
    slow_replica(addr, reply, Duration::ZERO).await
}

/// A replica that gives every request the same reply after a delay; returns its number of calls.
async fn slow_replica(addr: SocketAddr, reply: LedgerReply, delay: Duration) -> Arc<AtomicUsize> {
    let server = Server::bind(addr).await.expect("bind the address");
    let calls = Arc::new(AtomicUsize::new(0));
    let call_count = calls.clone();
    let handlers = Handlers::default().with::<LedgerCall, _, _>(move |_, tx| {
        call_count.fetch_add(1, Ordering::Relaxed);
        let reply = reply.clone();
        async move {
            tokio::time::sleep(delay).await;
            let _ = tx.finish(&reply).await;
        }
    });
    tokio::spawn(server.serve(handlers, std::future::pending()));
    calls
}

fn addrs(count: usize) -> Vec<SocketAddr> {
    let free = (0..count).map(|_| free_addr().expect("a free address"));
    free.collect()
}

fn request() -> LedgerRequest {
    LedgerRequest::Query(Query::Members)
}

fn answer() -> LedgerReply {
    LedgerReply::Read(QueryAnswer::Members(std::collections::BTreeMap::new()))
}

/// Guards against a client that is referred back and forth between a deposed leader and a follower
/// that has not learned of that, and never calls the leader that the other replicas follow.
#[tokio::test]
async fn a_hint_to_a_deposed_leader_does_not_hide_the_new_leader() {
    let replicas = addrs(3);
    replica(replicas[0], LedgerReply::NotLeader { leader: None }).await;
    let hint_to_deposed = LedgerReply::NotLeader {
        leader: Some(replicas[0]),
    };
    let calls = replica(replicas[1], hint_to_deposed).await;
    replica(replicas[2], answer()).await;
    let client = LedgerClient::new(&replicas);
    let got = client.send_request(&request(), CALL_TIMEOUT).await;
    assert_eq!(got.expect("the leader's answer"), answer());
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}

/// Guards against a client that calls the leader last although another replica has named it.
#[tokio::test]
async fn a_leader_hint_is_followed_before_other_replicas() {
    let replicas = addrs(4);
    let hint_to_leader = LedgerReply::NotLeader {
        leader: Some(replicas[3]),
    };
    replica(replicas[0], hint_to_leader.clone()).await;
    let skipped_calls = replica(replicas[1], hint_to_leader).await;
    replica(replicas[3], answer()).await;
    let client = LedgerClient::new(&replicas);
    let got = client.send_request(&request(), CALL_TIMEOUT).await;
    assert_eq!(got.expect("the leader's answer"), answer());
    assert_eq!(skipped_calls.load(Ordering::Relaxed), 0);
}

/// Guards against a client that ends its call to the leader and repeats it at each hedge interval, as followers
/// refer back to the leader while its commit takes long.
#[tokio::test]
async fn a_referral_to_the_leader_that_is_called_does_not_end_its_call() {
    const HEDGE: Duration = Duration::from_millis(50);
    let replicas = addrs(2);
    let calls = slow_replica(replicas[0], answer(), 8 * HEDGE).await;
    let hint_to_leader = LedgerReply::NotLeader {
        leader: Some(replicas[0]),
    };
    replica(replicas[1], hint_to_leader).await;
    let client = LedgerClient::new(&replicas).with_hedge(HEDGE);
    let got = client.send_request(&request(), CALL_TIMEOUT).await;
    assert_eq!(got.expect("the leader's answer"), answer());
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}

/// Guards against a client that waits for a lost leader's timeout although a follower names the new one.
#[tokio::test]
async fn a_new_leader_is_called_while_the_call_to_the_lost_one_is_open() {
    const HEDGE: Duration = Duration::from_millis(50);
    let replicas = addrs(3);
    slow_replica(replicas[0], answer(), Duration::from_mins(1)).await;
    let named = Arc::new(std::sync::Mutex::new(replicas[0]));
    let server = Server::bind(replicas[1]).await.expect("bind the address");
    let leader = named.clone();
    let handlers = Handlers::default().with::<LedgerCall, _, _>(move |_, tx| {
        let leader = Some(*leader.lock().expect("not poisoned"));
        async move {
            let _ = tx.finish(&LedgerReply::NotLeader { leader }).await;
        }
    });
    tokio::spawn(server.serve(handlers, std::future::pending()));
    replica(replicas[2], answer()).await;
    let new_leader = replicas[2];
    tokio::spawn(async move {
        tokio::time::sleep(4 * HEDGE).await;
        *named.lock().expect("not poisoned") = new_leader;
    });
    let client = LedgerClient::new(&replicas).with_hedge(HEDGE);
    let began = std::time::Instant::now();
    let got = client.send_request(&request(), CALL_TIMEOUT).await;
    assert_eq!(got.expect("the new leader's answer"), answer());
    assert!(began.elapsed() < 10 * HEDGE, "{:?}", began.elapsed());
}
