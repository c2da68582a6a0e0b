//! Keeps the list of endpoints current: requests it from another gateway (sibling), or reads it from
//! the platform.
//!
//! [`anvil_policy::list_turn`] decides which gateway reads and when, and from whom the others request
//! the list.

use std::time::Duration;

use anvil_policy::crash::Evidence;
use anvil_policy::list_turn::{ListAges, RefreshStep, is_reader, next_step, pause_before_request};
use anvil_wire::WireError;
use anvil_wire::msg::{ListCall, ListReply, ListRequest, ListedEndpoint};
use anvil_world::prelude::*;
use anvilreel::event;
use anvilreel::moment::Moment;
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::Gateway;
use crate::list::reader::ListReader;
use crate::log_events as events;
use crate::metrics;

/// Longest wait for the membership, from which siblings are known: about the time in which the ledger
/// elects a leader after all its processes were killed.
const SIBLINGS_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum pause before a list that proved wrong is read or requested again; up to half as much is
/// added at random. The list lags by less than a second, and a gateway with a wrong list can serve
/// nobody in the meantime.
const REREAD_PAUSE: Duration = Duration::from_millis(250);
/// Time allowed for a sibling's reply to arrive.
const TRANSIT_TIME: Duration = Duration::from_millis(200);

/// What a request for the list came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SiblingReply {
    /// A newer list.
    Newer,
    /// The sibling has none.
    NothingNewer,
    /// No reply in time.
    Nothing,
}

/// State kept between two readings.
struct Discovery {
    reader: ListReader,
    /// Number of readings that failed in a row.
    failed_reads: u32,
    /// Entries of the last reading that can't be read.
    unreadable: u32,
    /// The gateway that the last list came from; `None` before the first list.
    source: Option<InstanceId>,
    /// When the siblings were known, or were no longer waited for.
    began: Instant,
    /// Places the next reading between its earliest and its latest time; from 0 to 1.
    jitter: f64,
    /// Whether the list was found wrong and no newer one has arrived since.
    is_wrong: bool,
}

/// Keeps the list current for as long as the process runs.
pub async fn run(gw: &Gateway) {
    // Without the ledger there is no routing table either, so a list would be of no use yet.
    let _ = timeout(SIBLINGS_TIMEOUT, gw.siblings.known()).await;
    let mut discovery = Discovery {
        reader: ListReader::default(),
        failed_reads: 0,
        unreadable: 0,
        source: None,
        began: Instant::now(),
        jitter: rand::random(),
        is_wrong: false,
    };
    loop {
        discovery.refresh(gw).await;
    }
}

/// Waits until this gateway or a sibling finds the list wrong, at least for a pause.
///
/// Failure: all endpoints lose power and return within a second as new incarnations. Without the
/// early wake-up, a gateway that has just read the list has no usable endpoint until the list is
/// due again.
async fn found_wrong(gw: &Gateway) {
    sleep(REREAD_PAUSE.mul_f64(rand::random_range(1.0..1.5))).await;
    tokio::select! {
        () = gw.list_mismatch.notified() => {}
        () = gw.list_read_requested.notified() => {}
    }
}

impl Discovery {
    /// Reads or requests the list once.
    async fn refresh(&mut self, gw: &Gateway) {
        let tree = gw.siblings.tree();
        let (position, count) = (tree.position(&gw.cfg.id), tree.count());
        let skipped = gw.siblings.skipped_at(gw.lifecycle.now());
        let source = tree.source(&gw.cfg.id, |id| skipped.contains(id));
        let ages = list_ages(gw, count);
        let age = self.list_age(gw, &ages, position);
        match next_step((position, count), source, &ages, age, self.jitter) {
            RefreshStep::Read(at) => {
                let due = at.saturating_sub(age);
                if !(self.is_wrong && is_reader(position)) {
                    // The list is read next in either case.
                    let _ = timeout(due, found_wrong(gw)).await;
                }
                self.read_from_platform(gw).await;
            }
            RefreshStep::RequestFrom(sibling, until) => {
                let asked_at = Instant::now();
                let within = until.saturating_sub(age);
                let reply = self.request_from_sibling(gw, sibling, within).await;
                if reply == SiblingReply::NothingNewer {
                    let age = age.saturating_add(asked_at.elapsed());
                    let read_at = ages.read_at(position, count, self.jitter);
                    sleep(pause_before_request(read_at, age)).await;
                }
            }
        }
    }

    /// The age that counts for the list's refresh.
    fn list_age(&self, gw: &Gateway, ages: &ListAges, position: usize) -> Duration {
        if gw.list_cache.newest().is_some() {
            gw.list_cache.age()
        } else {
            ages.without_list(position, self.began.elapsed())
        }
    }

    async fn read_from_platform(&mut self, gw: &Gateway) {
        let started = Moment::now();
        gw.metrics.count(metrics::LIST_READ);
        match self.reader.read_list(&gw.cfg.list).await {
            Ok((listed, unreadable)) => {
                self.record_unreadable(gw, unreadable);
                gw.list_cache.store_reading(started, listed);
                self.record_newer(gw, &gw.cfg.id);
                apply_newest(gw, unreadable);
            }
            Err(e) => {
                gw.metrics.count(metrics::LIST_FAILED);
                if self.failed_reads == 0 {
                    event!(gw.log, events::GATEWAY_LIST_LOST, "error" => e.to_string());
                }
                self.failed_reads = self.failed_reads.saturating_add(1);
                self.pause_after_failure(gw).await;
            }
        }
    }

    fn record_unreadable(&mut self, gw: &Gateway, unreadable: u32) {
        gw.metrics
            .gauge(metrics::LIST_UNREADABLE, unreadable.into());
        if unreadable != self.unreadable {
            event!(gw.log, events::GATEWAY_LIST_ENTRIES_UNREADABLE, "entries" => unreadable);
            self.unreadable = unreadable;
        }
    }

    /// Waits before the platform is called again, and meanwhile asks one sibling after the other for a newer
    /// list.
    async fn pause_after_failure(&mut self, gw: &Gateway) {
        let started = Instant::now();
        let jitter = rand::random();
        while self.failed_reads > 0 {
            let tree = gw.siblings.tree();
            let skipped = gw.siblings.skipped_at(gw.lifecycle.now());
            let sibling = tree.substitute_source(&gw.cfg.id, |id| skipped.contains(id));
            let position = tree.position(&gw.cfg.id);
            let waits_for_others = sibling.is_some() && !is_reader(position);
            let ages = list_ages(gw, tree.count());
            let pause = ages.pause_after_failures(waits_for_others, self.failed_reads, jitter);
            let left = pause.saturating_sub(started.elapsed());
            if left.is_zero() {
                return;
            }
            let Some(sibling) = sibling else {
                sleep(left).await;
                return;
            };
            let within = left.min(gw.cfg.max_list_age);
            let reply = self.request_from_sibling(gw, sibling, within).await;
            if reply == SiblingReply::NothingNewer {
                sleep(pause_before_request(left, Duration::ZERO)).await;
            }
        }
    }

    /// Requests a newer list from a sibling. A sibling that does not reply is skipped for a while.
    async fn request_from_sibling(
        &mut self,
        gw: &Gateway,
        sibling: &InstanceId,
        within: Duration,
    ) -> SiblingReply {
        let until = Instant::now() + within;
        let max_age = gw.list_cache.age().min(gw.cfg.max_list_age) / 2;
        let newer = if self.is_wrong {
            request_list(gw, sibling, Duration::ZERO, within).await
        } else {
            tokio::select! {
                newer = request_list(gw, sibling, max_age, within) => newer,
                () = found_wrong(gw) => {
                    self.is_wrong = true;
                    let within = until.saturating_duration_since(Instant::now());
                    request_list(gw, sibling, Duration::ZERO, within).await
                }
            }
        };
        match newer {
            Ok(true) => {
                gw.metrics.count(metrics::LIST_FROM_SIBLING);
                self.record_newer(gw, sibling);
                apply_newest(gw, 0);
                SiblingReply::Newer
            }
            Ok(false) => SiblingReply::NothingNewer,
            Err(e) => {
                skip_sibling(gw, sibling, &e.to_string());
                SiblingReply::Nothing
            }
        }
    }

    fn record_newer(&mut self, gw: &Gateway, source: &InstanceId) {
        if self.failed_reads > 0 {
            event!(gw.log, events::GATEWAY_LIST_BACK);
        }
        self.failed_reads = 0;
        self.is_wrong = false;
        self.jitter = rand::random();
        self.record_source(gw, source);
    }

    fn record_source(&mut self, gw: &Gateway, source: &InstanceId) {
        if self.source.as_ref() != Some(source) {
            event!(gw.log, events::GATEWAY_LIST_SOURCE, "from" => source.to_string());
            self.source = Some(source.clone());
        }
    }
}

/// Requests the list from a sibling, which replies when it has one that was read within
/// `read_within` before the request, or when the time is over. Returns whether the reply is newer.
async fn request_list(
    gw: &Gateway,
    sibling: &InstanceId,
    read_within: Duration,
    wait: Duration,
) -> Result<bool, WireError> {
    let channel = gw.siblings.channel(sibling).ok_or(WireError::Ended)?;
    let asked_at = Moment::now();
    let request = ListRequest {
        have: gw.list_cache.version(),
        read_within,
        wait,
    };
    let reply: ListReply = channel
        .call::<ListCall>(&request, wait + TRANSIT_TIME)
        .await?;
    Ok(gw.list_cache.apply_reply(asked_at, reply))
}

fn list_ages(gw: &Gateway, gateways: usize) -> ListAges {
    ListAges::new(gw.cfg.max_list_age, gateways, gw.cfg.list.calls_per_second)
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
    let age = snapshot.age();
    let read_at = gw.lifecycle.now().saturating_sub(age);
    // Before the endpoints are used: a stream may be sent to them at once.
    gw.record_listed_versions(&listed);
    let changes = gw.directory.apply_list_of_age(&listed, age);
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
            "restarted" => format!("{:?}", changes.restarted),
            "leaving" => format!("{:?}", changes.leaving), "gone" => format!("{:?}", changes.removed)
        );
    }
}
