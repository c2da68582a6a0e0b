//! Requests that wait for a slot while their endpoints leave and return.

use std::time::Duration;

use anvil_standins::engine;
use anvil_world::settings::EndpointKind;
use anvilreel::local::MODEL;
use anvilreel::sidecar::Sidecar;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::fleet::{
    Fleet, WAIT_TIMEOUT, eventually, json as parsed, request, sidecar_settings, start_sidecar,
};

const CHAT: &str = "/v1/chat/completions";
/// Requests that wait for the slot.
const WAITING: u64 = 8;

/// An engine that serves one request after the other.
fn one_slot() -> engine::Config {
    engine::Config {
        token_time: Duration::from_millis(10),
        ..engine::Config::default().with_slots(1)
    }
}

/// Starts a chat; the task returns status and error type.
fn spawn_chat(fleet: &Fleet, chats: &mut JoinSet<(u16, String)>, tokens: u64) {
    let (client, url) = (fleet.client.clone(), fleet.url(0, CHAT));
    let message = json!({"role": "user", "content": format!("tokens={tokens} waits")});
    // A low limit keeps the expected wait short, so that no request is refused for it.
    let body = json!({"model": MODEL, "max_tokens": tokens, "messages": [message]}).to_string();
    chats.spawn(async move {
        let answer = timeout(WAIT_TIMEOUT, client.fetch(&url, request(&url, &[], body))).await;
        let answer = answer.expect("in time").expect("an answer");
        let error = parsed(&answer)["error"]["type"].as_str().map(str::to_owned);
        (answer.status.as_u16(), error.unwrap_or_default())
    });
}

/// A fleet whose only engine is occupied for a while, and requests that wait for its slot.
async fn waiting_requests() -> (Fleet, JoinSet<(u16, String)>) {
    let fleet = Fleet::start_with(1, 1, one_slot()).await;
    let mut chats = JoinSet::new();
    // By then the router has learned the number of slots.
    sleep(Duration::from_millis(800)).await;
    spawn_chat(&fleet, &mut chats, 150);
    sleep(Duration::from_millis(200)).await;
    for _ in 0..WAITING {
        spawn_chat(&fleet, &mut chats, 10);
    }
    sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.started_runs(), 1);
    (fleet, chats)
}

/// The planned stop of the only engine's sidecar, until the router no longer lists it.
async fn leave(fleet: &mut Fleet) {
    let sidecar = fleet.engines[0].sidecar.take().expect("it is running");
    tokio::spawn(Sidecar::stop(sidecar));
    eventually("the engine has left", || async {
        fleet.routers[0]
            .as_ref()
            .expect("it is running")
            .endpoint_count()
            == 1
    })
    .await;
}

/// Guards against requests that are forgotten in the queue of a pool whose only endpoint leaves for
/// a moment: they were held until their deadline although the endpoint was back.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_requests_run_when_the_only_endpoint_is_back() {
    let (mut fleet, mut chats) = waiting_requests().await;
    leave(&mut fleet).await;
    let addr = fleet.engines[0].engine.addr();
    let next = sidecar_settings(2, fleet.ledger_addr, addr, EndpointKind::Engine);
    fleet.engines[0].sidecar = Some(start_sidecar(&next).await);
    while let Some(ended) = chats.join_next().await {
        assert_eq!(ended.expect("an answer"), (200, String::new()));
    }
    assert_eq!(fleet.started_runs(), 1 + WAITING);
}

/// Guards against requests that are held until their deadline in the queue of a pool whose only
/// endpoint has left for good.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_requests_are_refused_when_the_only_endpoint_stays_away() {
    let (mut fleet, mut chats) = waiting_requests().await;
    leave(&mut fleet).await;
    let mut refused = 0;
    while let Some(ended) = chats.join_next().await {
        let (status, error) = ended.expect("an answer");
        if status != 200 {
            assert_eq!((status, &*error), (503, "no_endpoint"));
            refused += 1;
        }
    }
    assert_eq!((refused, fleet.started_runs()), (WAITING, 1));
}
