//! A gateway whose link is full while its siblings' are not.

use std::sync::Arc;
use std::time::Duration;

use anvil_gateway::{Gateway, GatewaySettings, busy};
use anvil_wire::msg::SiblingLoad;
use anvilreel::metrics::Metrics;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::endpoint::{Endpoint, Step, answer};
use crate::fleet::{Fleet, settings};

const IDLE: SiblingLoad = SiblingLoad {
    used: 0.0,
    is_away: false,
};

/// A gateway whose link carries this much a second, before an endpoint that answers at once.
async fn fleet(link_bytes_per_second: f64, endpoint: &Endpoint) -> Fleet {
    let cfg = GatewaySettings {
        link_bytes_per_second: Some(link_bytes_per_second),
        ..settings()
    };
    let log = Logger::root(Discard, o!());
    let fleet = Fleet::of(cfg, &[("a", endpoint)], log, Metrics::silent("gateway")).await;
    let gw = fleet.gw.clone();
    tokio::spawn(async move { busy::run(&gw).await });
    fleet
}

/// Asks again and again on one connection after the other, while siblings say that they are idle, until
/// the gateway is away or the time is over. Returns whether a connection was closed after an answer.
async fn press(gw: &Arc<Gateway>, fleet: &Fleet, time: Duration, until_away: bool) -> bool {
    let end = Instant::now() + time;
    let mut closed = false;
    let mut client = Client::connect(fleet.addr).await;
    for number in 0.. {
        if Instant::now() > end || (until_away && gw.busy.is_away(gw.life.now())) {
            break;
        }
        gw.busy.heard(gw.life.now(), &[IDLE; 8]);
        let got = client.ask("/once/x", &format!("id-{number}"), "").await;
        assert_eq!(got.status, 200);
        if got.head.contains("connection: close") {
            closed = true;
            client = Client::connect(fleet.addr).await;
        }
        sleep(Duration::from_millis(5)).await;
    }
    closed
}

/// Guards against a gateway whose link is full and that goes on asking for clients.
#[tokio::test]
async fn a_busy_gateway_asks_for_no_new_clients() {
    let endpoint = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = fleet(10_000.0, &endpoint).await;
    let gw = fleet.gw.clone();
    assert!(gw.is_ready());
    let closed = press(&gw, &fleet, Duration::from_secs(8), true).await;
    assert!(gw.busy.is_away(gw.life.now()) && !gw.is_ready());
    assert!(!closed, "the balancer has not noticed yet");
    let closed = press(&gw, &fleet, Duration::from_secs(4), false).await;
    assert!(closed, "kept connections stay with it");
}

/// Guards against gateways that send their clients away though their links are hardly used.
#[tokio::test]
async fn a_gateway_with_room_stays() {
    let endpoint = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let fleet = fleet(1e8, &endpoint).await;
    let gw = fleet.gw.clone();
    let closed = press(&gw, &fleet, Duration::from_secs(4), true).await;
    assert!(!closed && !gw.busy.is_away(gw.life.now()));
}
