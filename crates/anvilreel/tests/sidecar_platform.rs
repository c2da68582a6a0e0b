//! A sidecar refuses new work for a leaving endpoint while the ledger is unreachable.

use std::time::Duration;

use anvil_standins::plain;
use anvil_standins::platform::{self, ListedInstance};
use anvil_wire::Channel;
use anvil_wire::msg::SidecarReply;
use anvil_world::prelude::*;
use anvilreel::metrics::Metrics;
use anvilreel::sidecar::Sidecar;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep};

use crate::sidecar::{TestError, first_reply, loopback, settings, start};

#[path = "support/sidecar.rs"]
mod sidecar;

/// Lag of the list that the stand-in for the platform serves.
const LIST_LAG: Duration = Duration::from_millis(300);
/// Maximum time from the change at the platform to the first refusal.
const MAX_DELAY: Duration = Duration::from_secs(4);

fn listed(presence: Presence) -> ListedInstance {
    ListedInstance {
        id: "orders-1".into(),
        zone: Zone::default(),
        addr: loopback(),
        presence,
    }
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
    let settings = settings(orders.addr(), Some(platform.addr()));
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
