//! Keeps the list of endpoints current: reads it from the platform, or requests it from the gateway
//! of the same zone (sibling) that reads it for the others.
//!
//! [`anvil_policy::list_turn`] decides which gateway reads, and how old the list may grow.

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_policy::crash::Evidence;
use anvil_policy::list_turn::{ListAges, RefreshStep, next_step};
use anvil_wire::WireError;
use anvil_wire::msg::{ListCall, ListReply, ListRequest, ListedEndpoint};
use anvil_world::prelude::*;
use anvilreel::event;
use anvilreel::moment::Moment;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::list_reader::ListReader;
use crate::log_events as events;
use crate::metrics;

/// Bounds of the pause before a list that proved wrong is read again; up to half as much is added
/// at random. The list lags by less than a second, and a gateway with a wrong list can serve nobody
/// in the meantime.
const REREAD_PAUSE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(500));
/// Fraction of the platform's call rate that is used if all gateways read at once.
const LIST_RATE_FRACTION: f64 = 0.8;
/// Pause after a failed reading.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(400);
/// Time allowed for a sibling's reply to arrive.
const TRANSIT_TIME: Duration = Duration::from_millis(50);

/// State kept between two readings.
#[derive(Default)]
struct Discovery {
    reader: ListReader,
    /// Whether the last reading failed.
    last_read_failed: bool,
    /// The gateway that the last list came from; `None` before the first list.
    source: Option<InstanceId>,
}

/// Keeps the list current for as long as the process runs.
pub async fn run(gw: &Gateway) {
    let ages = ListAges::within(gw.cfg.max_list_age);
    let mut discovery = Discovery::default();
    loop {
        let order = gw.siblings.reading_order(gw.lifecycle.now());
        let age = gw.list_cache.age();
        match next_step(&gw.cfg.id, &order, &ages, age, rand::random()) {
            RefreshStep::Read(at) => {
                wait_until_due(gw, at.saturating_sub(age)).await;
                discovery.read_from_platform(gw).await;
            }
            RefreshStep::RequestFrom(sibling, until) => {
                discovery.request_from_sibling(gw, sibling, until).await;
            }
        }
    }
}

/// Waits until the list is due, or until it is found wrong here or by a sibling.
///
/// Failure: all endpoints lose power and return within a second as new incarnations. Without the
/// early wake-up, a gateway that has just read the list has no usable endpoint until the list is
/// due again.
async fn wait_until_due(gw: &Gateway, due: Duration) {
    let found_wrong = async {
        pause_before_reread(gw).await;
        tokio::select! {
            () = gw.list_mismatch.notified() => {}
            () = gw.list_read_requested.notified() => {}
        }
    };
    // The list is read next in either case.
    let _ = timeout(due, found_wrong).await;
}

/// Pause before a wrong list is read again, long enough to keep all gateways together within the
/// platform's call rate.
async fn pause_before_reread(gw: &Gateway) {
    let gateways = f64::from(gw.gateway_count.load(Ordering::Relaxed));
    let pause = gateways / (LIST_RATE_FRACTION * gw.cfg.list.calls_per_second);
    let pause = Duration::try_from_secs_f64(pause).unwrap_or(REREAD_PAUSE.1);
    let pause = pause.clamp(REREAD_PAUSE.0, REREAD_PAUSE.1);
    sleep(pause.mul_f64(rand::random_range(1.0..1.5))).await;
}

impl Discovery {
    async fn read_from_platform(&mut self, gw: &Gateway) {
        let started = Moment::now();
        gw.metrics.count(metrics::LIST_READ);
        match self.reader.read_list(&gw.cfg.list).await {
            Ok((listed, unreadable)) => {
                if self.last_read_failed {
                    event!(gw.log, events::GATEWAY_LIST_BACK);
                }
                self.last_read_failed = false;
                gw.list_cache.store_reading(started, listed);
                self.record_source(gw, &gw.cfg.id);
                apply_newest(gw, unreadable);
            }
            Err(e) => {
                if !self.last_read_failed {
                    event!(gw.log, events::GATEWAY_LIST_LOST, "error" => e.to_string());
                }
                self.last_read_failed = true;
                // A sibling may still reach the platform.
                gw.siblings.mark_skipped(&gw.cfg.id, gw.lifecycle.now());
                sleep(FAILED_READ_PAUSE).await;
            }
        }
    }

    /// Requests a newer list from a sibling. A sibling that has none by the time the cached list is
    /// due is skipped for a while.
    async fn request_from_sibling(&mut self, gw: &Gateway, sibling: &InstanceId, until: Duration) {
        let waiting = request_list(gw, sibling, gw.list_cache.age() / 2, until);
        let found_wrong = async {
            pause_before_reread(gw).await;
            tokio::select! {
                () = gw.list_mismatch.notified() => false,
                () = gw.list_read_requested.notified() => true,
            }
        };
        let newer = tokio::select! {
            newer = waiting => newer,
            read_requested = found_wrong => {
                if read_requested {
                    return self.read_from_platform(gw).await;
                }
                request_list(gw, sibling, Duration::ZERO, until).await
            }
        };
        match newer {
            Ok(true) => {
                gw.metrics.count(metrics::LIST_FROM_SIBLING);
                self.record_source(gw, sibling);
                apply_newest(gw, 0);
            }
            Ok(false) => skip_sibling(gw, sibling, "nothing newer"),
            Err(e) => skip_sibling(gw, sibling, &e.to_string()),
        }
    }

    fn record_source(&mut self, gw: &Gateway, source: &InstanceId) {
        if self.source.as_ref() != Some(source) {
            event!(gw.log, events::GATEWAY_LIST_SOURCE, "from" => source.to_string());
            self.source = Some(source.clone());
        }
    }
}

/// Requests the list from a sibling until the cached list reaches the age `until`. Returns whether
/// the reply is newer.
async fn request_list(
    gw: &Gateway,
    sibling: &InstanceId,
    read_within: Duration,
    until: Duration,
) -> Result<bool, WireError> {
    let within = until.saturating_sub(gw.list_cache.age());
    let channel = gw.siblings.channel(sibling).ok_or(WireError::Ended)?;
    let asked_at = Moment::now();
    let request = ListRequest {
        have: gw.list_cache.version(),
        read_within,
        wait: within.saturating_sub(TRANSIT_TIME),
    };
    let reply: ListReply = channel.call::<ListCall>(&request, within).await?;
    Ok(gw.list_cache.apply_reply(asked_at, reply))
}

fn skip_sibling(gw: &Gateway, sibling: &InstanceId, reason: &str) {
    gw.siblings.mark_skipped(sibling, gw.lifecycle.now());
    event!(
        gw.log, events::GATEWAY_SIBLING_PASSED_OVER,
        "sibling" => sibling.to_string(), "why" => reason
    );
}

/// Applies the newest list to the directory.
fn apply_newest(gw: &Gateway, unreadable: u32) {
    let Some(snapshot) = gw.list_cache.newest() else {
        return;
    };
    let listed: Vec<ListedEndpoint> = snapshot.endpoints().cloned().collect();
    let read_at = gw.lifecycle.now().saturating_sub(snapshot.age());
    let changes = gw.directory.apply_list(&listed);
    gw.apply_listed_warm_up(&listed, read_at);
    for endpoint in &changes.vanished {
        gw.record_crash_evidence(endpoint, Evidence::Unlisted);
    }
    gw.apply_limits_to_added(&changes.added);
    if !changes.is_empty() {
        gw.state_changed.notify_waiters();
        event!(
            gw.log, events::GATEWAY_ENDPOINTS_CHANGED, "listed" => listed.len(),
            "unreadable" => unreadable, "came" => format!("{:?}", changes.added),
            "leaving" => format!("{:?}", changes.leaving), "gone" => format!("{:?}", changes.removed)
        );
    }
}
