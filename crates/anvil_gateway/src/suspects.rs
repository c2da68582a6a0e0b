//! Contents under which endpoints crashed, whole requests and what they share: those observed by
//! this gateway, and those the ledger reports.
//!
//! Observations are reported to the ledger, which merges the reports of all gateways and keeps them
//! across restarts. Until the ledger has accepted a report, this gateway applies it locally.

mod pending;
mod shared;

pub use shared::RequestContents;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::ReportCrash;
use anvil_world::content;
use anvil_world::prelude::*;
use anvil_world::suspect::{CrashedRun, QUARANTINE_MIN_WEIGHT};
use anvilreel::event;
use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::gateway::Gateway;
use crate::log_events as events;
use crate::reports;
use crate::request_digest;
use crate::shared_content;
use pending::PendingReports;
use shared::QuarantinedContents;

/// Suspects as the ledger reports them.
type ReportedSuspects = BTreeMap<ContentDigest, LedgerSuspect>;

/// Contents under which endpoints crashed.
#[derive(Default)]
pub struct Suspects {
    from_ledger: ArcSwap<ReportedSuspects>,
    pending: Mutex<PendingReports>,
    has_pending: AtomicBool,
    /// Derived from both.
    quarantined: ArcSwap<QuarantinedContents>,
    report_wanted: Notify,
}

/// A suspect content as the ledger reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LedgerSuspect {
    suspect: SuspectContent,
    /// When the ledger first reported it to this gateway.
    learned_at: Now,
}

/// Why a request is not sent to endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// The request, or what it shares with others.
    pub contents: BTreeSet<ContentDigest>,
    /// Time until the quarantine ends.
    pub time_left: Duration,
    /// Endpoints that crashed under them, as many as the quarantine required.
    pub endpoints: Vec<InstanceId>,
    /// When the ledger first reported it; `None` if only this gateway's own observations count.
    pub reported_at: Option<Now>,
}

impl fmt::Display for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} crashed under", self.endpoints)?;
        for content in &self.contents {
            write!(f, " {}", request_digest::to_hex(*content))?;
        }
        f.write_str(", ")?;
        match self.reported_at {
            Some(reported_at) => write!(
                f,
                "told by the ledger {:.1} s after the start",
                reported_at.as_secs_f64()
            ),
            None => f.write_str("seen here"),
        }
    }
}

impl Suspects {
    /// Records that an endpoint crashed under these contents. Returns whether an older report was
    /// dropped to make room.
    pub fn record_crash(
        &self,
        endpoint: &InstanceId,
        contents: BTreeMap<ContentDigest, CrashedRun>,
    ) -> bool {
        let crash = ReportCrash {
            endpoint: endpoint.clone(),
            contents: contents.into_iter().collect(),
            // The ledger's leader sets the time.
            at: UNIX_EPOCH,
        };
        let has_dropped = self.update_pending(|pending| pending.add_crash(crash));
        self.report_wanted.notify_one();
        has_dropped
    }

    /// Tells the ledger which service a crashed endpoint belongs to, so that an operator's order
    /// for the service finds the requests that it crashed under.
    pub fn report_service(&self, service: &str, endpoint: &str) {
        let content = content::of_endpoint(service, endpoint);
        if self.update_pending(|pending| pending.add_answered(content)) {
            self.report_wanted.notify_one();
        }
    }

    /// Whether no content is suspected, so that nothing is in quarantine.
    pub fn is_empty(&self) -> bool {
        !self.has_pending.load(Ordering::Relaxed) && self.from_ledger.load().is_empty()
    }

    /// Why a request is not sent to endpoints; `None` if it may be sent.
    pub fn quarantine(&self, request: ContentDigest) -> Option<Quarantine> {
        if self.is_empty() {
            return None;
        }
        let reported = self.from_ledger.load();
        let reported = reported.get(&request);
        let suspect = reported.map(|reported| &reported.suspect);
        let suspect = self.pending().merged_with(suspect, request)?;
        let time_left = suspect.quarantine_remaining(SystemTime::now());
        let reported =
            reported.filter(|reported| reported.suspect.weight() >= QUARANTINE_MIN_WEIGHT);
        (!time_left.is_zero()).then(|| Quarantine {
            contents: BTreeSet::from([request]),
            time_left,
            endpoints: suspect.endpoints().cloned().collect(),
            reported_at: reported.map(|reported| reported.learned_at),
        })
    }

    /// Records that an endpoint answered a content, so the earlier crashes had another cause.
    pub fn record_answered(&self, content: ContentDigest) {
        if self.is_empty() {
            return;
        }
        let is_reported = self.from_ledger.load().contains_key(&content);
        let is_suspect = is_reported || self.pending().has_crash(content);
        if is_suspect && self.update_pending(|pending| pending.add_answered(content)) {
            self.report_wanted.notify_one();
        }
    }

    /// Number of requests in quarantine according to the ledger.
    pub fn count_quarantined_requests(&self) -> u64 {
        let now = SystemTime::now();
        let reported = self.from_ledger.load();
        let requests = reported
            .iter()
            .filter(|(content, _)| !shared_content::is_shared(**content));
        let quarantined = requests
            .filter(|(content, reported)| is_quarantined(**content, &reported.suspect, now));
        quarantined.count() as u64
    }

    /// Number of contents in quarantine that requests share, by software version.
    pub fn count_quarantined_shared(&self) -> u64 {
        self.quarantined.load().count_shared()
    }

    fn apply_reported(&self, reported: ReportedSuspects) {
        self.from_ledger.store(Arc::new(reported));
        self.update_pending(|_| ());
    }

    fn update_pending<T>(&self, f: impl FnOnce(&mut PendingReports) -> T) -> T {
        let mut pending = self.pending();
        let result = f(&mut pending);
        let has_pending = !pending.is_empty();
        self.has_pending.store(has_pending, Ordering::Relaxed);
        let quarantined = QuarantinedContents::new(&self.from_ledger.load(), &pending);
        self.quarantined.store(Arc::new(quarantined));
        result
    }

    fn pending(&self) -> MutexGuard<'_, PendingReports> {
        // Sound after a panic elsewhere: reports are added and removed whole.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time until a content's quarantine ends; zero if it is in none.
fn quarantine_left(content: ContentDigest, suspect: &SuspectContent, now: SystemTime) -> Duration {
    if shared_content::is_shared(content) {
        suspect.shared_quarantine_remaining(now)
    } else {
        suspect.quarantine_remaining(now)
    }
}

fn is_quarantined(content: ContentDigest, suspect: &SuspectContent, now: SystemTime) -> bool {
    !quarantine_left(content, suspect, now).is_zero()
}

impl Gateway {
    /// Applies the suspects reported by the ledger. A content that an endpoint answered here before
    /// is cleared: when a zone loses power, equal requests from many clients were in flight at
    /// several endpoints, and sound requests share contents with those that crash endpoints.
    pub fn apply_ledger_suspects(&self, reported: &BTreeMap<ContentDigest, SuspectContent>) {
        let previous = self.suspects.from_ledger.load_full();
        let known = previous
            .iter()
            .map(|(content, reported)| (content, &reported.suspect));
        if known.eq(reported) {
            return;
        }
        let now = self.lifecycle.now();
        let mut updated = BTreeMap::new();
        for (content, suspect) in reported {
            let known = previous.get(content);
            let entry = LedgerSuspect {
                suspect: suspect.clone(),
                learned_at: known.map_or(now, |known| known.learned_at),
            };
            self.log_new_quarantine(*content, known, &entry);
            updated.insert(*content, entry);
        }
        for (content, _) in previous
            .iter()
            .filter(|(content, _)| !reported.contains_key(content))
        {
            event!(
                self.log, events::GATEWAY_REQUEST_CLEARED, "content" => request_digest::to_hex(*content)
            );
        }
        self.suspects.apply_reported(updated);
        for (content, suspect) in reported {
            if self.is_cleared_by_earlier_answer(*content, suspect) {
                self.suspects.record_answered(*content);
            }
        }
    }

    /// Whether an endpoint answered a content before it was suspected. Once a shared one is in
    /// quarantine only an answer to a request that is still under way clears it.
    fn is_cleared_by_earlier_answer(
        &self,
        content: ContentDigest,
        suspect: &SuspectContent,
    ) -> bool {
        let is_named = shared_content::is_shared(content)
            && is_quarantined(content, suspect, SystemTime::now());
        !is_named && self.clears(content)
    }

    fn log_new_quarantine(
        &self,
        content: ContentDigest,
        known: Option<&LedgerSuspect>,
        entry: &LedgerSuspect,
    ) {
        let now = SystemTime::now();
        let was_quarantined =
            known.is_some_and(|known| is_quarantined(content, &known.suspect, now));
        if is_quarantined(content, &entry.suspect, now) && !was_quarantined {
            event!(
                self.log, events::GATEWAY_REQUEST_QUARANTINED, "content" => request_digest::to_hex(content),
                "endpoints" => format!("{:?}", entry.suspect.endpoints().collect::<Vec<_>>())
            );
        }
    }
}

/// Reports observations to the ledger for as long as the process runs.
pub async fn run(gw: &Gateway) {
    let suspects = &gw.suspects;
    let next_report = || suspects.pending().next_report();
    let mark_accepted =
        |report: &Command| suspects.update_pending(|pending| pending.mark_accepted(report));
    reports::run(gw, &suspects.report_wanted, next_report, mark_accepted).await;
}
