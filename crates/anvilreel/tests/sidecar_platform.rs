//! The last gate before a leaving endpoint, with the ledger out of reach.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_standins::plain;
use anvil_standins::platform::{self, Listed};
use anvil_wire::Channel;
use anvil_wire::msg::{Payment, SidecarCall, SidecarReply, SidecarRequest, StartRequest, Work};
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use anvil_world::settings::{EndpointKind, EndpointSettings, SidecarSettings};
use anvilreel::metrics::Metrics;
use anvilreel::sidecar::Sidecar;
use bytes::Bytes;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep};

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// How late the stand-in's list is.
const LAG: Duration = Duration::from_millis(300);
/// "A few seconds": from the change at the platform to the closed gate.
const FEW_SECONDS: Duration = Duration::from_secs(4);

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn listed(presence: Presence) -> Listed {
    Listed {
        id: "orders-1".into(),
        zone: Zone::default(),
        addr: loopback(),
        presence,
    }
}

fn settings(endpoint: SocketAddr, platform: SocketAddr) -> SidecarSettings {
    SidecarSettings {
        id: "orders-1".into(),
        zone: Zone::default(),
        wire_listen: loopback(),
        // Nobody listens there: the ledger is out of reach from the start.
        ledgers: vec![([127, 0, 0, 1], 1).into()],
        endpoint: EndpointSettings {
            addr: endpoint,
            service: "orders".into(),
            kind: EndpointKind::Plain,
            models: [].into(),
            slots: 4,
            checks_fencing: false,
        },
        platform: Some(platform),
        buffer_bytes: 1 << 20,
        log_json: false,
        statsd: None,
    }
}

fn start(number: u64, life: Incarnation) -> SidecarRequest {
    SidecarRequest::Start(Box::new(StartRequest {
        key: RequestKey {
            team: "counter".into(),
            id: format!("order-{number}").into(),
        },
        life,
        claim: "claim".into(),
        attempt: 0,
        body: [0; 32],
        payment: Payment {
            router: "router-1".into(),
            incarnation: 1,
            split: Split::single_payer("nairobi".into()),
            grants: BTreeMap::from([("nairobi".into(), (1, 100))]),
            price: Price::default(),
            bound: 100,
            oldest: 1,
            number: 1,
        },
        work: Work::Plain {
            method: "POST".into(),
            tail: "/orders".into(),
            headers: Vec::new(),
            body: "{}".into(),
        },
        once: true,
        class: WorkClass::Interactive,
        time_left: Duration::from_secs(10),
        keep: Duration::from_secs(10),
        offset: 0,
        prefix: Bytes::new(),
        prefix_tokens: 0,
    }))
}

async fn first_reply(channel: &Channel, req: &SidecarRequest) -> Result<SidecarReply, Failure> {
    Ok(channel
        .call::<SidecarCall>(req, Duration::from_secs(2))
        .await?)
}

/// The platform empties an instance while the ledger can't be reached from it, and the routers
/// that can still reach it know of nothing and go on sending orders.
/// Orders that were taken after that are cut off with the endpoint. The sidecar asks the platform
/// itself, so the gate closes within a few seconds whatever anybody else believes.
#[tokio::test(flavor = "multi_thread")]
async fn the_gate_closes_although_the_ledger_is_out_of_reach() -> Result<(), Failure> {
    let platform = platform::start(platform::Config {
        lag: LAG,
        ..platform::Config::default()
    })
    .await?;
    platform.set(listed(Presence::Live));
    let orders = plain::start(plain::Config::default()).await?;
    let log = Logger::root(Discard, o!());
    let settings = settings(orders.addr(), platform.addr());
    let sidecar = Sidecar::start(&settings, log, Metrics::new("sidecar", None)?).await?;
    let channel = Channel::new(sidecar.addr());
    let life = sidecar.life();
    let before = first_reply(&channel, &start(0, life)).await?;
    assert!(
        matches!(before, SidecarReply::Accepted { .. }),
        "{before:?}"
    );

    platform.set(listed(Presence::Leaving));
    let deadline = Instant::now() + FEW_SECONDS;
    for number in 1.. {
        let reply = first_reply(&channel, &start(number, life)).await?;
        if let SidecarReply::Refused(refusal) = reply {
            assert_eq!(refusal.reason, Reason::Leaving);
            break;
        }
        assert!(Instant::now() < deadline, "still taking work");
        sleep(Duration::from_millis(100)).await;
    }

    platform.set(listed(Presence::Live));
    sleep(FEW_SECONDS).await;
    let after = first_reply(&channel, &start(u64::MAX, life)).await?;
    assert!(matches!(after, SidecarReply::Accepted { .. }), "{after:?}");
    sidecar.kill();
    Ok(())
}
