//! Keeps the list of endpoints current: reads it, or asks the sibling that reads it for the others.
//!
//! Whose turn it is, and how old the list may grow, is decided in [`anvil_policy::list_turn`].

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

/// Bounds of the pause before a list that is doubted is read again, drawn up to half as long again: a
/// list lags by less than a second, and a process that finds it old serves nobody meanwhile.
const DOUBTED_AFTER: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(500));
/// Part of the calls that the list answers which are used when all gateways doubt it at once.
const RATE_PART: f64 = 0.8;
/// Pause after a list that could not be had.
const AGAIN: Duration = Duration::from_millis(400);
/// Time that a sibling's answer takes on its way.
const ON_THE_WAY: Duration = Duration::from_millis(50);

/// What the loop keeps between two steps.
#[derive(Default)]
struct Discovery {
    reader: ListReader,
    /// The last reading failed.
    lost: bool,
    /// Whom the list came from last; itself before the first.
    source: Option<InstanceId>,
}

/// Keeps the list current for as long as the process lives.
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

/// Waits until the list is due, or sooner when it is doubted here or by a sibling.
///
/// Failure: all endpoints lose power and are back within a second, in other lives. A gateway that
/// has just read the list has nobody to send requests to until it reads it again.
async fn until_due(gw: &Gateway, due: Duration) {
    let doubted = async {
        pause_in_doubt(gw).await;
        tokio::select! {
            () = gw.list_doubted.notified() => {}
            () = gw.read_wanted.notified() => {}
        }
    };
    // Either way it is read next.
    let _ = timeout(due, doubted).await;
}

/// Pause before a doubted list is read again, so long that all gateways together stay within what
/// the list answers.
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
                // A sibling may still reach it.
                gw.siblings.pass_over(&gw.cfg.id, gw.life.now());
                sleep(AGAIN).await;
            }
        }
    }

    /// Asks a sibling for a newer list; one that has none when this one has that age is passed over.
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

/// Asks a sibling, until what is held has this age; returns whether its answer is newer.
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

/// Takes the newest list in.
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
