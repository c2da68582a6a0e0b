//! A sidecar before a plain service, without a ledger.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_wire::Channel;
use anvil_wire::msg::{Payment, SidecarCall, SidecarReply, SidecarRequest, StartRequest, Work};
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use anvil_world::settings::{EndpointKind, EndpointSettings, SidecarSettings};
use bytes::Bytes;

/// Error of a test.
pub type TestError = Box<dyn std::error::Error + Send + Sync>;

/// A free port of this machine.
pub fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Settings of a sidecar that reaches no ledger.
pub fn settings(endpoint: SocketAddr, platform: Option<SocketAddr>) -> SidecarSettings {
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
        platform,
        buffer_bytes: 1 << 20,
        log_json: false,
        statsd: None,
    }
}

/// The start of an order.
pub fn start(number: u64, life: Incarnation) -> SidecarRequest {
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

/// The first reply to a request.
pub async fn first_reply(
    channel: &Channel,
    req: &SidecarRequest,
) -> Result<SidecarReply, TestError> {
    Ok(channel
        .call::<SidecarCall>(req, Duration::from_secs(2))
        .await?)
}
