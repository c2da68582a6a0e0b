//! A sidecar refuses new work for a leaving endpoint while the ledger is unreachable.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_standins::plain;
use anvil_standins::platform::{self, ListedInstance};
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

type TestError = Box<dyn std::error::Error + Send + Sync>;

/// Lag of the list that the stand-in for the platform serves.
const LIST_LAG: Duration = Duration::from_millis(300);
/// Maximum time from the change at the platform to the first refusal.
const MAX_DELAY: Duration = Duration::from_secs(4);

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn listed(presence: Presence) -> ListedInstance {
    ListedInstance {
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
        // No process listens there: the ledger is unreachable from the start.
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

async fn first_reply(channel: &Channel, req: &SidecarRequest) -> Result<SidecarReply, TestError> {
    Ok(channel
        .call::<SidecarCall>(req, Duration::from_secs(2))
        .await?)
}

/// Failure: the platform drains an instance while the ledger can't be reached from it, and routers
/// that still reach the instance don't learn of it and keep sending orders. Orders accepted after
/// that are cut off with the endpoint. The sidecar polls the platform itself, so it refuses new
/// work within a few seconds, whatever the routers' view is; it accepts work again when the
/// platform lists the instance as live.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_refuses_work_while_ledger_is_unreachable() -> Result<(), TestError> {
    let platform = platform::start(platform::Config {
        lag: LIST_LAG,
        ..platform::Config::default()
    })
    .await?;
    platform.set(listed(Presence::Live));
    let orders = plain::start(plain::Config::default()).await?;
    let log = Logger::root(Discard, o!());
    let settings = settings(orders.addr(), platform.addr());
    let sidecar = Sidecar::start(&settings, log, Metrics::new("sidecar", None)?).await?;
    let channel = Channel::new(sidecar.addr());
    let incarnation = sidecar.incarnation();
    let before = first_reply(&channel, &start(0, incarnation)).await?;
    assert!(
        matches!(before, SidecarReply::Accepted { .. }),
        "{before:?}"
    );

    platform.set(listed(Presence::Leaving));
    let deadline = Instant::now() + MAX_DELAY;
    for number in 1.. {
        let reply = first_reply(&channel, &start(number, incarnation)).await?;
        if let SidecarReply::Refused(refusal) = reply {
            assert_eq!(refusal.reason, Reason::Leaving);
            break;
        }
        assert!(Instant::now() < deadline, "still accepting work");
        sleep(Duration::from_millis(100)).await;
    }

    platform.set(listed(Presence::Live));
    sleep(MAX_DELAY).await;
    let after = first_reply(&channel, &start(u64::MAX, incarnation)).await?;
    assert!(matches!(after, SidecarReply::Accepted { .. }), "{after:?}");
    sidecar.kill().await;
    Ok(())
}
