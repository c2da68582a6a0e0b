//! Finding the leader through replicas that know less than they say.

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

const WITHIN: Duration = Duration::from_secs(2);

/// A replica that answers every question alike; returns how often it was asked.
async fn replica(addr: SocketAddr, reply: LedgerReply) -> Arc<AtomicUsize> {
    let server = Server::bind(addr).await.expect("an address");
    let asked = Arc::new(AtomicUsize::new(0));
    let counted = asked.clone();
    let handlers = Handlers::default().with::<LedgerCall, _, _>(move |_, tx| {
        counted.fetch_add(1, Ordering::Relaxed);
        let reply = reply.clone();
        async move {
            let _ = tx.finish(&reply).await;
        }
    });
    tokio::spawn(server.serve(handlers, std::future::pending()));
    asked
}

fn addrs(count: usize) -> Vec<SocketAddr> {
    let free = (0..count).map(|_| free_addr().expect("a free address"));
    free.collect()
}

fn question() -> LedgerRequest {
    LedgerRequest::Query(Query::Members)
}

fn answer() -> LedgerReply {
    LedgerReply::Read(QueryAnswer::Members(std::collections::BTreeMap::new()))
}

/// Guards against a client that is sent to and fro between a leader that was deposed and a follower that
/// has not heard of it, and never asks the leader that all others follow.
#[tokio::test]
async fn a_deposed_leader_and_its_follower_hide_no_other_leader() {
    let at = addrs(3);
    replica(at[0], LedgerReply::NotLeader { leader: None }).await;
    let to_the_deposed = LedgerReply::NotLeader {
        leader: Some(at[0]),
    };
    let asked = replica(at[1], to_the_deposed).await;
    replica(at[2], answer()).await;
    let client = LedgerClient::new(&at);
    let got = client.ask(&question(), WITHIN).await;
    assert_eq!(got.expect("the leader's answer"), answer());
    assert_eq!(asked.load(Ordering::Relaxed), 1);
}

/// Guards against a leader that is asked last because it was asked before it led.
#[tokio::test]
async fn a_hint_is_followed() {
    let at = addrs(4);
    let to_the_leader = LedgerReply::NotLeader {
        leader: Some(at[3]),
    };
    replica(at[0], to_the_leader.clone()).await;
    let passed_by = replica(at[1], to_the_leader).await;
    replica(at[3], answer()).await;
    let client = LedgerClient::new(&at);
    let got = client.ask(&question(), WITHIN).await;
    assert_eq!(got.expect("the leader's answer"), answer());
    assert_eq!(passed_by.load(Ordering::Relaxed), 0);
}
