//! Requests under which endpoints crashed: those observed by this gateway, and those the ledger
//! reports.
//!
//! Observations are reported to the ledger, which merges the reports of all gateways and keeps them
//! across restarts. Until the ledger has accepted a report, this gateway applies it locally.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::{ClearSuspects, ReportCrash};
use anvil_world::prelude::*;
use anvil_world::suspect::{CrashedRun, QUARANTINE_MIN_WEIGHT};
use anvilreel::event;
use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::gateway::Gateway;
use crate::log_events as events;
use crate::reports;
use crate::request_digest;

/// Unreported crashes that are kept: one for each endpoint of a large fleet. The oldest are
/// dropped.
const MAX_PENDING_CRASHES: usize = 8_192;

/// Requests under which endpoints crashed.
#[derive(Default)]
pub struct Suspects {
    from_ledger: ArcSwap<BTreeMap<ContentDigest, LedgerSuspect>>,
    pending: Mutex<PendingReports>,
    report_wanted: Notify,
}

/// A suspect request as the ledger reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LedgerSuspect {
    suspect: SuspectContent,
    /// When the ledger first reported it to this gateway.
    learned_at: Now,
}

/// Why a request is not sent to endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// Time until the quarantine ends.
    pub time_left: Duration,
    /// Endpoints that crashed under the request, as many as its quarantine required.
    pub endpoints: Vec<InstanceId>,
    /// When the ledger first reported it; `None` if only this gateway's own observations count.
    pub reported_at: Option<Now>,
}

impl fmt::Display for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} crashed under it, ", self.endpoints)?;
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

/// Observations that the ledger has not accepted yet.
#[derive(Default)]
struct PendingReports {
    crashes: VecDeque<ReportCrash>,
    /// The same crashes, by request.
    endpoints_by_request: BTreeMap<ContentDigest, BTreeMap<InstanceId, CrashedRun>>,
    answered: BTreeSet<ContentDigest>,
}

impl PendingReports {
    fn add(&mut self, crash: ReportCrash) {
        for (request, run) in &crash.contents {
            let endpoints = self.endpoints_by_request.entry(*request).or_default();
            endpoints.insert(crash.endpoint.clone(), *run);
        }
        self.crashes.push_back(crash);
    }

    fn remove_oldest(&mut self) {
        let Some(crash) = self.crashes.pop_front() else {
            return;
        };
        for (request, _) in &crash.contents {
            if let Some(endpoints) = self.endpoints_by_request.get_mut(request) {
                endpoints.remove(&crash.endpoint);
            }
        }
        self.endpoints_by_request
            .retain(|_, endpoints| !endpoints.is_empty());
    }
}

impl Suspects {
    /// Records that an endpoint crashed under these requests. Returns whether an older report was
    /// dropped to make room.
    pub fn record_crash(
        &self,
        endpoint: &InstanceId,
        requests: BTreeMap<ContentDigest, CrashedRun>,
    ) -> bool {
        let mut pending = self.pending();
        let is_full = pending.crashes.len() >= MAX_PENDING_CRASHES;
        if is_full {
            pending.remove_oldest();
        }
        pending.add(ReportCrash {
            endpoint: endpoint.clone(),
            contents: requests.into_iter().collect(),
            // The ledger's leader sets the time.
            at: UNIX_EPOCH,
        });
        self.report_wanted.notify_one();
        is_full
    }

    /// Why a request is not sent to endpoints; `None` if it may be sent.
    pub fn quarantine(&self, request: ContentDigest) -> Option<Quarantine> {
        let reported = self.from_ledger.load();
        let reported = reported.get(&request);
        let pending = {
            let pending = self.pending();
            // A report that it was answered is on its way to the ledger.
            if pending.answered.contains(&request) {
                return None;
            }
            pending.endpoints_by_request.get(&request).cloned()
        };
        if reported.is_none() && pending.is_none() {
            return None;
        }
        let now = SystemTime::now();
        let suspect = reported.map(|reported| reported.suspect.clone());
        let mut suspect = suspect.unwrap_or_else(|| SuspectContent::new(now));
        for (endpoint, run) in pending.into_iter().flatten() {
            suspect.record_crash(&endpoint, run, now);
        }
        let time_left = suspect.quarantine_remaining(now);
        let reported =
            reported.filter(|reported| reported.suspect.weight() >= QUARANTINE_MIN_WEIGHT);
        (!time_left.is_zero()).then(|| Quarantine {
            time_left,
            endpoints: endpoints_of(&suspect),
            reported_at: reported.map(|reported| reported.learned_at),
        })
    }

    /// Records that an endpoint answered a request, so the earlier crashes had another cause.
    pub fn record_answered(&self, request: ContentDigest) {
        let mut pending = self.pending();
        let is_suspect = self.from_ledger.load().contains_key(&request)
            || pending.endpoints_by_request.contains_key(&request);
        if is_suspect && pending.answered.insert(request) {
            self.report_wanted.notify_one();
        }
    }

    /// Number of requests in quarantine according to the ledger.
    pub fn count_quarantined(&self) -> u64 {
        let now = SystemTime::now();
        let reported = self.from_ledger.load();
        let quarantined = reported
            .values()
            .filter(|reported| is_quarantined(&reported.suspect, now));
        quarantined.count() as u64
    }

    fn pending(&self) -> MutexGuard<'_, PendingReports> {
        // Sound after a panic elsewhere: reports are added and removed whole.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_report(&self) -> Option<Command> {
        let pending = self.pending();
        if let Some(crash) = pending.crashes.front() {
            return Some(Command::ReportCrash(crash.clone()));
        }
        if pending.answered.is_empty() {
            return None;
        }
        let contents = pending.answered.iter().copied().collect();
        Some(Command::ClearSuspects(ClearSuspects { contents }))
    }

    fn mark_accepted(&self, report: &Command) {
        let mut pending = self.pending();
        match report {
            // The first report is a different one if this one was dropped in the meantime.
            Command::ReportCrash(accepted) if pending.crashes.front() == Some(accepted) => {
                pending.remove_oldest();
            }
            Command::ClearSuspects(accepted) => {
                pending
                    .answered
                    .retain(|request| !accepted.contents.contains(request));
            }
            _ => {}
        }
    }
}

fn endpoints_of(suspect: &SuspectContent) -> Vec<InstanceId> {
    let crashes = suspect.crashes.iter();
    crashes.map(|crash| crash.endpoint.clone()).collect()
}

fn is_quarantined(suspect: &SuspectContent, now: SystemTime) -> bool {
    !suspect.quarantine_remaining(now).is_zero()
}

impl Gateway {
    /// Applies the suspects reported by the ledger. A request that an endpoint answered here
    /// shortly before is cleared: when a zone loses power, equal requests from many clients were in
    /// flight at several endpoints.
    pub fn apply_ledger_suspects(&self, reported: &BTreeMap<ContentDigest, SuspectContent>) {
        let previous = self.suspects.from_ledger.load_full();
        let known = previous
            .iter()
            .map(|(request, reported)| (request, &reported.suspect));
        if known.eq(reported) {
            return;
        }
        let now = self.lifecycle.now();
        let mut updated = BTreeMap::new();
        for (request, suspect) in reported {
            let known = previous.get(request);
            let entry = LedgerSuspect {
                suspect: suspect.clone(),
                learned_at: known.map_or(now, |known| known.learned_at),
            };
            self.log_new_quarantine(*request, known, &entry);
            updated.insert(*request, entry);
        }
        for (request, _) in previous
            .iter()
            .filter(|(request, _)| !reported.contains_key(request))
        {
            event!(
                self.log, events::GATEWAY_REQUEST_CLEARED, "content" => request_digest::to_hex(*request)
            );
        }
        self.suspects.from_ledger.store(Arc::new(updated));
        for request in reported.keys() {
            if self.was_recently_answered(*request) {
                self.suspects.record_answered(*request);
            }
        }
    }

    fn log_new_quarantine(
        &self,
        request: ContentDigest,
        known: Option<&LedgerSuspect>,
        entry: &LedgerSuspect,
    ) {
        let now = SystemTime::now();
        let was_quarantined = known.is_some_and(|known| is_quarantined(&known.suspect, now));
        if is_quarantined(&entry.suspect, now) && !was_quarantined {
            event!(
                self.log, events::GATEWAY_REQUEST_QUARANTINED, "content" => request_digest::to_hex(request),
                "endpoints" => format!("{:?}", endpoints_of(&entry.suspect))
            );
        }
    }
}

/// Reports observations to the ledger for as long as the process runs.
pub async fn run(gw: &Gateway) {
    let suspects = &gw.suspects;
    let next_report = || suspects.next_report();
    let mark_accepted = |report: &Command| suspects.mark_accepted(report);
    reports::run(gw, &suspects.report_wanted, next_report, mark_accepted).await;
}
