//! Probes the queue of this router's link.
//!
//! Failure: clients send more than the link can carry. What waits upstream of the link shows in no
//! counter of this process, also not after their connections were closed. But a message to another
//! router and its reply wait behind it, so their round trip measures the queue.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvil_policy::intake::LinkDelay;
use anvil_policy::link_pacer::{BytesPerSecond, used_share};
use anvil_wire::msg::{OriginCall, OriginRequest};
use anvil_wire::{Channel, WireError};
use anvil_world::prelude::*;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep};

use super::intake_status::IntakeStatus;
use super::socket_budgets::SocketBudgets;
use crate::list::siblings::Siblings;
use crate::metrics;
use crate::send::link_budget::LinkBudget;
use anvilreel::metrics::Metrics;

/// Time between a reply and the next probe: short against the delay that the intake allows, and
/// little work for a part of a core.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// The same while connections are being rejected.
const OVERLOADED_PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for the reply to a probe. The intake disregards an unanswered probe of this age.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// A second sibling is probed if the first has not replied after this time: that may have stopped
/// or be overloaded itself. Shorter than the delay that the intake allows.
const HEDGE_DELAY: Duration = Duration::from_millis(5);
/// The link is probed while received data uses more than this fraction of it, or connections are
/// being rejected.
const PROBE_FROM_USE: f64 = 0.4;

/// The last probe of the link.
#[derive(Debug, Default)]
pub struct LinkProbe {
    last: Mutex<Option<SentProbe>>,
    shortest_target_ms: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
struct SentProbe {
    at: Instant,
    before: Carried,
    /// Time to the reply, and what the link had carried by then.
    reply: Option<(Duration, Carried)>,
}

/// Bytes that the link has carried since the start.
#[derive(Debug, Clone, Copy)]
struct Carried {
    received: u64,
    sent: u64,
}

impl Carried {
    fn until_now(link: &LinkBudget) -> Self {
        Self {
            received: link.received(),
            sent: link.sent(),
        }
    }

    /// Bytes since then, of the busier direction.
    fn since(self, before: Self) -> u64 {
        let received = self.received - before.received;
        received.max(self.sent - before.sent)
    }
}

impl LinkProbe {
    /// What the last probe shows; `None` if the link is not probed, or no sibling replies.
    pub fn delay(&self, link: &LinkBudget) -> Option<LinkDelay> {
        let last = *self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let probe = last?;
        let carried = match probe.reply {
            Some((_, carried)) => carried,
            None => Carried::until_now(link),
        };
        Some(LinkDelay {
            age: probe.at.elapsed(),
            round_trip: probe.reply.map(|(round_trip, _)| round_trip),
            carried: carried.since(probe.before),
        })
    }

    /// Shortest target latency of the routes with prompts; zero until a routing table states one.
    pub fn shortest_target(&self) -> Duration {
        Duration::from_millis(self.shortest_target_ms.load(Ordering::Relaxed))
    }

    /// Sets it from a routing table.
    pub fn set_shortest_target(&self, target: Option<Duration>) {
        let target = target.unwrap_or_default().as_millis();
        let target = u64::try_from(target).unwrap_or(u64::MAX);
        self.shortest_target_ms.store(target, Ordering::Relaxed);
    }

    fn set(&self, probe: Option<SentProbe>) {
        // Sound after a panic elsewhere: it is one value.
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = probe;
    }
}

/// What is probed, and by which siblings.
pub struct ProbeContext<'a> {
    /// The link, `None` if it is not limited.
    pub link: Option<BytesPerSecond>,
    /// Its use.
    pub sockets: &'a SocketBudgets,
    /// Whether connections are being rejected.
    pub status: &'a Arc<IntakeStatus>,
    /// The other routers.
    pub siblings: &'a Siblings,
    /// This router.
    pub own_id: &'a InstanceId,
    /// Metrics.
    pub metrics: &'a Metrics,
}

/// Probes the link while it is in use, for as long as the process runs.
pub async fn run(cx: ProbeContext<'_>) {
    let Some(link) = cx.link else {
        return;
    };
    let budget = &cx.sockets.link;
    let (mut last_at, mut last_received) = (Instant::now(), budget.received());
    let mut interval = PROBE_INTERVAL;
    let mut preferred = None;
    loop {
        sleep(interval).await;
        let (now, received) = (Instant::now(), budget.received());
        let in_use = used_share(link, received - last_received, now - last_at);
        (last_at, last_received) = (now, received);
        let is_shedding = cx.status.is_shedding();
        if in_use > PROBE_FROM_USE || is_shedding {
            preferred = probe_once(&cx, preferred.as_ref()).await;
        } else {
            budget.probe.set(None);
        }
        interval = if is_shedding {
            OVERLOADED_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
    }
}

/// Sends one probe, to this sibling first. Returns the sibling that replied.
async fn probe_once(cx: &ProbeContext<'_>, preferred: Option<&InstanceId>) -> Option<InstanceId> {
    let link = &cx.sockets.link;
    let mut siblings = choose_siblings(cx, preferred).into_iter();
    let Some(first) = siblings.next() else {
        link.probe.set(None);
        return None;
    };
    link.probe.set(Some(SentProbe {
        at: Instant::now(),
        before: Carried::until_now(link),
        reply: None,
    }));
    let first = call(first, link, Duration::ZERO);
    let second = siblings
        .next()
        .map(|sibling| call(sibling, link, HEDGE_DELAY));
    let mut replies: FuturesUnordered<_> = std::iter::once(first).chain(second).collect();
    let mut first_reply = None;
    while let Some(reply) = replies.next().await {
        first_reply = reply.ok();
        if first_reply.is_some() {
            break;
        }
    }
    // Siblings that don't reply show nothing of the link: this router may be cut off from them.
    link.probe
        .set(first_reply.as_ref().map(|(_, probe)| *probe));
    let (id, probe) = first_reply?;
    if let Some((round_trip, _)) = probe.reply {
        cx.metrics.time(metrics::LINK_DELAY, round_trip);
    }
    Some(id)
}

/// Two other routers, as far as there are any: the preferred one and one drawn at random.
fn choose_siblings(
    cx: &ProbeContext<'_>,
    preferred: Option<&InstanceId>,
) -> Vec<(InstanceId, Channel)> {
    let members = cx.siblings.members();
    let preferred = preferred.filter(|id| members.contains_key(*id));
    let others = members.keys();
    let others = others.filter(|id| *id != cx.own_id && Some(*id) != preferred);
    let drawn = others.sample(&mut rand::rng(), 2);
    let chosen = preferred.into_iter().chain(drawn).take(2);
    let channel = |id: &InstanceId| Some((id.clone(), cx.siblings.channel(id)?));
    chosen.filter_map(channel).collect()
}

/// Sends a message without content, which routers of earlier builds answer too.
async fn call(
    (id, channel): (InstanceId, Channel),
    link: &LinkBudget,
    after: Duration,
) -> Result<(InstanceId, SentProbe), WireError> {
    sleep(after).await;
    let (at, before) = (Instant::now(), Carried::until_now(link));
    let request = OriginRequest::Tell(Vec::new());
    channel.call::<OriginCall>(&request, PROBE_TIMEOUT).await?;
    let probe = SentProbe {
        at,
        before,
        reply: Some((at.elapsed(), Carried::until_now(link))),
    };
    Ok((id, probe))
}
