//! A sidecar keeps the pauses that its endpoint asks for.

use std::time::Duration;

use anvil_standins::plain;
use anvil_wire::Channel;
use anvil_wire::msg::{SidecarCall, SidecarReply, SidecarRequest};
use anvil_world::prelude::*;
use anvilreel::metrics::Metrics;
use anvilreel::sidecar::Sidecar;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep};

use crate::sidecar::{TestError, first_reply, settings, start};

#[path = "support/sidecar.rs"]
mod sidecar;

/// How long the endpoint is busy; it asks for a pause in whole seconds.
const BUSY: Duration = Duration::from_millis(900);

/// Guards against work reaching an endpoint in a pause that it asked for, against routers that are not
/// told of the pause, and against one that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_asks_for_a_pause_gets_no_work_in_it() -> Result<(), TestError> {
    let orders = plain::start(plain::Config::default()).await?;
    let log = Logger::root(Discard, o!());
    let settings = settings(orders.addr(), None);
    let sidecar = Sidecar::start(&settings, log, Metrics::new("sidecar", None)?).await?;
    let channel = Channel::new(sidecar.addr());
    let incarnation = sidecar.incarnation();
    let mut loads = channel.open::<SidecarCall>(&SidecarRequest::Watch).await?;
    orders.set_busy_for(BUSY);
    first_reply(&channel, &start(0, incarnation)).await?;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(orders.calls(), 1);
    let mut refused = 0;
    let busy_since = Instant::now();
    let mut number = 0;
    while busy_since.elapsed() < Duration::from_millis(600) {
        number += 1;
        let reply = first_reply(&channel, &start(number, incarnation)).await?;
        let SidecarReply::Refused(refusal) = reply else {
            panic!("{reply:?}");
        };
        assert_eq!(refusal.reason, Reason::Leaving);
        refused += 1;
        sleep(Duration::from_millis(50)).await;
    }
    assert!(refused > 5);
    assert_eq!(orders.calls(), 1, "calls in the pause");
    let mut was_closed = false;
    while let Ok(Some(SidecarReply::Load(load))) = loads.next().await {
        was_closed |= load.leaving;
        if was_closed && !load.leaving {
            break;
        }
    }
    let after = first_reply(&channel, &start(u64::MAX, incarnation)).await?;
    assert!(matches!(after, SidecarReply::Accepted { .. }), "{after:?}");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(orders.calls(), 2);
    sidecar.kill().await;
    Ok(())
}
