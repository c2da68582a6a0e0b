//! Keeps the list of endpoints current: reads it from the platform, or requests it from the gateway
//! of the same zone (sibling) that reads it for the others.
//!
//! [`anvil_policy::list_turn`] decides which gateway reads, and how old the list may grow.

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_policy::crash::Evidence;
use anvil_policy::list_turn::{ListAges, Step, next_step};
use anvil_wire::WireError;
use anvil_wire::msg::{ListAsk, ListCall, ListReply, Listed};
use anvil_world::prelude::*;
use anvilreel::event;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::list_reader::ListReader;
use crate::listing::Moment;
use crate::log_events as events;
use crate::metrics;

/// Bounds of the pause before a list that proved wrong is read again; up to half as much is added
/// at random. The list lags by less than a second, and a gateway with a wrong list can serve nobody
/// in the meantime.
const DOUBTED_AFTER: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(500));
/// Fraction of the platform's call rate that is used if all gateways read at once.
const RATE_PART: f64 = 0.8;
/// Pause after a failed reading.
const AGAIN: Duration = Duration::from_millis(400);
/// Time allowed for a sibling's reply to arrive.
const ON_THE_WAY: Duration = Duration::from_millis(50);

/// State kept between two readings.
#[derive(Default)]
struct Discovery {
    reader: ListReader,
    /// Whether the last reading failed.
    lost: bool,
    /// The gateway that the last list came from; `None` before the first list.
    source: Option<InstanceId>,
}

/// Keeps the list current for as long as the process runs.
pub async fn run(gw: &Gateway) {
    let ages = ListAges::within(gw.cfg.list_within);
    let mut discovery = Discovery::default();
    loop {
        let order = gw.siblings.order(gw.life.now());
        let age = gw.listings.age();
        match next_step(&gw.cfg.id, &order, &ages, age, rand::random()) {
            Step::Read(at) => {
                until_due(gw, at.saturating_sub(age)).await;
                discovery.read(gw).await;
            }
            Step::Ask(sibling, until) => {
                discovery.ask(gw, sibling, until).await;
            }
        }
    }
}

/// Waits until the list is due, or until it is found wrong here or by a sibling.
///
/// Failure: all endpoints lose power and return within a second as new incarnations. Without the
/// early wake-up, a gateway that has just read the list has no usable endpoint until the list is
/// due again.
async fn until_due(gw: &Gateway, due: Duration) {
    let doubted = async {
        pause_in_doubt(gw).await;
        tokio::select! {
            () = gw.list_doubted.notified() => {}
            () = gw.read_wanted.notified() => {}
        }
    };
    // The list is read next in either case.
    let _ = timeout(due, doubted).await;
}

/// Pause before a wrong list is read again, long enough to keep all gateways together within the
/// platform's call rate.
async fn pause_in_doubt(gw: &Gateway) {
    let gateways = f64::from(gw.gateways.load(Ordering::Relaxed));
    let pause = gateways / (RATE_PART * gw.cfg.list.calls_per_second);
    let pause = Duration::try_from_secs_f64(pause).unwrap_or(DOUBTED_AFTER.1);
    let pause = pause.clamp(DOUBTED_AFTER.0, DOUBTED_AFTER.1);
    sleep(pause.mul_f64(rand::random_range(1.0..1.5))).await;
}

impl Discovery {
    async fn read(&mut self, gw: &Gateway) {
        let begun = Moment::now();
        gw.metrics.count(metrics::LIST_READ);
        match self.reader.list(&gw.cfg.list).await {
            Ok((listed, unreadable)) => {
                if self.lost {
                    event!(gw.log, events::GATEWAY_LIST_BACK);
                }
                self.lost = false;
                gw.listings.read(begun, listed);
                self.came_from(gw, &gw.cfg.id);
                take(gw, unreadable);
            }
            Err(e) => {
                if !self.lost {
                    event!(gw.log, events::GATEWAY_LIST_LOST, "error" => e.to_string());
                }
                self.lost = true;
                // A sibling may still reach the platform.
                gw.siblings.pass_over(&gw.cfg.id, gw.life.now());
                sleep(AGAIN).await;
            }
        }
    }

    /// Requests a newer list from a sibling. A sibling that has none by the time the cached list is
    /// due is skipped for a while.
    async fn ask(&mut self, gw: &Gateway, sibling: &InstanceId, until: Duration) {
        let waiting = ask_for(gw, sibling, gw.listings.age() / 2, until);
        let doubted = async {
            pause_in_doubt(gw).await;
            tokio::select! {
                () = gw.list_doubted.notified() => false,
                () = gw.read_wanted.notified() => true,
            }
        };
        let told = tokio::select! {
            told = waiting => told,
            is_wanted = doubted => {
                if is_wanted {
                    return self.read(gw).await;
                }
                ask_for(gw, sibling, Duration::ZERO, until).await
            }
        };
        match told {
            Ok(true) => {
                gw.metrics.count(metrics::LIST_TOLD);
                self.came_from(gw, sibling);
                take(gw, 0);
            }
            Ok(false) => pass_over(gw, sibling, "nothing newer"),
            Err(e) => pass_over(gw, sibling, &e.to_string()),
        }
    }

    fn came_from(&mut self, gw: &Gateway, source: &InstanceId) {
        if self.source.as_ref() != Some(source) {
            event!(gw.log, events::GATEWAY_LIST_SOURCE, "from" => source.to_string());
            self.source = Some(source.clone());
        }
    }
}

/// Requests the list from a sibling until the cached list reaches the age `until`. Returns whether
/// the reply is newer.
async fn ask_for(
    gw: &Gateway,
    sibling: &InstanceId,
    read_within: Duration,
    until: Duration,
) -> Result<bool, WireError> {
    let within = until.saturating_sub(gw.listings.age());
    let channel = gw.siblings.channel(sibling).ok_or(WireError::Ended)?;
    let asked = Moment::now();
    let ask = ListAsk {
        have: gw.listings.version(),
        read_within,
        wait: within.saturating_sub(ON_THE_WAY),
    };
    let reply: ListReply = channel.call::<ListCall>(&ask, within).await?;
    Ok(gw.listings.told(asked, reply))
}

fn pass_over(gw: &Gateway, sibling: &InstanceId, why: &str) {
    gw.siblings.pass_over(sibling, gw.life.now());
    event!(
        gw.log, events::GATEWAY_SIBLING_PASSED_OVER,
        "sibling" => sibling.to_string(), "why" => why
    );
}

/// Applies the newest list to the directory.
fn take(gw: &Gateway, unreadable: u32) {
    let Some(listing) = gw.listings.newest() else {
        return;
    };
    let listed: Vec<Listed> = listing.endpoints().cloned().collect();
    let changes = gw.directory.take(&listed);
    for endpoint in &changes.vanished {
        gw.endpoint_crashed(endpoint, Evidence::Unlisted);
    }
    gw.limits_of_new(&changes.came);
    if !changes.is_empty() {
        gw.news.notify_waiters();
        event!(
            gw.log, events::GATEWAY_ENDPOINTS_CHANGED, "listed" => listed.len(),
            "unreadable" => unreadable, "came" => format!("{:?}", changes.came),
            "leaving" => format!("{:?}", changes.leaving), "gone" => format!("{:?}", changes.gone)
        );
    }
}
