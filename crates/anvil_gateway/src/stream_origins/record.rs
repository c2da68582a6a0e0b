//! Reports to the ledger at which versions this gateway's streams run.
//!
//! Failure: all gateways are killed, and nobody knows at which version a stream goes on that its client
//! takes up. It would have to be refused.
//!
//! A stream is reported once an event of it goes to its client, as its version can't change from then
//! on. The ledger may learn of it too late: then it is unknown, and refused.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, UNIX_EPOCH};

use anvil_policy::stream_origins::StreamKey;
use anvil_world::command::{OriginGroup, RecordOrigins};
use anvil_world::prelude::*;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::metrics;

/// Time in which streams are collected for one report.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// The same by gateway of the fleet, which keeps the reports of all of them to 50 a second.
const INTERVAL_BY_GATEWAY: Duration = Duration::from_millis(20);
/// Longest wait for the ledger to accept a report.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a report that the ledger did not accept.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Streams in one report.
const MAX_STREAMS_PER_REPORT: usize = 2_048;

/// Reports for as long as the process runs.
pub async fn run(gw: &Gateway) {
    loop {
        gw.stream_origins.unrecorded.notified().await;
        let gateways = gw.gateway_count.load(Ordering::Relaxed);
        sleep(MIN_INTERVAL.max(INTERVAL_BY_GATEWAY * gateways)).await;
        let Some(report) = gw.next_origin_report() else {
            continue;
        };
        let command = Command::RecordOrigins(report.clone());
        let answer = gw.ledger.propose(command, ACCEPT_TIMEOUT).await;
        if matches!(answer, Ok(Answer::Done)) {
            gw.mark_recorded(&report);
        } else {
            // The ledger is out of reach, or one of its replicas is of an earlier build.
            sleep(RETRY_PAUSE).await;
        }
        // There may be more than one report holds.
        gw.stream_origins.unrecorded.notify_one();
    }
}

impl Gateway {
    /// Records that an event of a stream goes to its client.
    pub fn mark_bound(&self, key: StreamKey) {
        let mut told = self.stream_origins.told();
        if let Some(stream) = told.get_mut(&key) {
            stream.is_bound = true;
            if self.is_to_be_told(stream) {
                self.stream_origins.unrecorded.notify_one();
            }
        }
    }

    /// The next streams for the ledger; `None` if it has all of them.
    fn next_origin_report(&self) -> Option<RecordOrigins> {
        let now = self.lifecycle.now();
        let told = self.stream_origins.told();
        let unrecorded = told.iter().filter(|(_, stream)| {
            let is_open = stream.is_bound && now < stream.origin.expires;
            is_open && !stream.is_recorded && self.is_to_be_told(stream)
        });
        let mut groups: BTreeMap<_, OriginGroup> = BTreeMap::new();
        for (key, stream) in unrecorded.take(MAX_STREAMS_PER_REPORT) {
            let origin = &stream.origin;
            let group = groups.entry((&origin.service, &origin.version));
            let group = group.or_insert_with(|| OriginGroup {
                service: origin.service.clone(),
                version: origin.version.clone(),
                keep: Duration::ZERO,
                streams: Vec::new(),
            });
            group.keep = group.keep.max(origin.expires.saturating_sub(now));
            group.streams.push(*key);
        }
        let groups: Vec<_> = groups.into_values().collect();
        (!groups.is_empty()).then_some(RecordOrigins {
            groups,
            // The ledger's leader sets the time.
            at: UNIX_EPOCH,
        })
    }

    fn mark_recorded(&self, report: &RecordOrigins) {
        let mut told = self.stream_origins.told();
        for key in report.groups.iter().flat_map(|group| &group.streams) {
            if let Some(stream) = told.get_mut(key) {
                stream.is_recorded = true;
            }
        }
        drop(told);
        self.metrics.count(metrics::ORIGIN_REPORTS);
    }
}
