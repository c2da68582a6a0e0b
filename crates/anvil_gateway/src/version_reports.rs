//! Reports the software versions of services to the ledger, which keeps them over restarts.
//!
//! Failure: all gateways are killed while the last endpoint of a version leaves. The lists that the new
//! ones read don't name that version, and its streams would go on at another one.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_policy::version_history::VersionHistory;
use anvil_world::command::RecordVersions;
use anvil_world::prelude::*;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;

/// Longest wait for the ledger to accept a report.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a report, in which the ledger sends what it recorded.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// How often versions that have ended are looked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A gateway reports this much later than the one before it, so that in a large fleet the others learn
/// from the ledger that the first has reported.
const LISTED_RANK_DELAY: Duration = Duration::from_millis(5);
/// The same for versions that have ended, which nobody waits for.
const ENDED_RANK_DELAY: Duration = Duration::from_secs(1);
/// A version is recorded for at least this long after the list has dropped it.
const MIN_RETENTION: Duration = Duration::from_mins(1);

/// Reports for as long as the process runs.
pub async fn run(gw: &Gateway) {
    loop {
        let wanted = gw.service_versions.report_wanted.notified();
        let _ = timeout(CHECK_INTERVAL, wanted).await;
        if gw.next_version_report().is_none() {
            continue;
        }
        let rank = gw.gateway_rank.load(Ordering::Relaxed);
        sleep(LISTED_RANK_DELAY * rank).await;
        while let Some(report) = gw.next_version_report() {
            let report = Command::RecordVersions(report);
            let answer = gw.ledger.propose(report, ACCEPT_TIMEOUT).await;
            sleep(REPORT_PAUSE).await;
            if !matches!(answer, Ok(Answer::Done)) {
                // The ledger is out of reach, or one of its replicas is of an earlier build.
                break;
            }
        }
    }
}

impl Gateway {
    /// The first service of which the ledger lacks a listed version, or has one that has ended; `None`
    /// if there is none, or if it is not known what the ledger has.
    fn next_version_report(&self) -> Option<RecordVersions> {
        let recorded = self.service_versions.recorded.load_full()?;
        let nothing = BTreeSet::new();
        let histories = self.service_versions.histories();
        let mut reports = histories.iter().map(|(service, history)| {
            let recorded = recorded.of(service).unwrap_or(&nothing);
            let listed = history.listed_now().filter(|v| !recorded.contains(*v));
            RecordVersions {
                service: service.clone(),
                listed: listed.cloned().collect(),
                ended: self.ended_versions(service, history, recorded),
            }
        });
        reports.find(|report| !report.listed.is_empty() || !report.ended.is_empty())
    }

    /// The recorded versions that this gateway's lists have not named for longer than a stream lasts.
    fn ended_versions(
        &self,
        service: &str,
        history: &VersionHistory,
        recorded: &BTreeSet<SoftwareVersion>,
    ) -> BTreeSet<SoftwareVersion> {
        let listed_now: BTreeSet<_> = history.listed_now().cloned().collect();
        if recorded.is_subset(&listed_now) {
            return BTreeSet::new();
        }
        let now = self.lifecycle.now();
        let rank = self.gateway_rank.load(Ordering::Relaxed);
        let span = self.record_retention(service) + ENDED_RANK_DELAY * rank;
        if !history.covers(now, span) || !self.is_list_current() {
            return BTreeSet::new();
        }
        let listed: BTreeSet<_> = history.listed_within(now, span).cloned().collect();
        recorded.difference(&listed).cloned().collect()
    }

    /// For how long streams of a service may go on after the list has dropped their version.
    fn record_retention(&self, service: &str) -> Duration {
        let table = self.table.load();
        let routes = table.iter().flat_map(|table| table.routes());
        let of_service = routes.filter(|route| route.names(service));
        let longest = of_service.map(|route| route.max_stream_age()).max();
        longest.unwrap_or_default().max(MIN_RETENTION)
    }
}
