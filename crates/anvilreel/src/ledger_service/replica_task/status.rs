//! Status of a replica that other tasks may read without asking the replica task.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_ledger::core::ReplicaId;
use anvil_world::prelude::*;

use super::ReplicaTask;
use crate::metrics;

/// Interval of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(5);

/// Status of a replica that other tasks may read without asking the replica task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Version of the applied state.
    pub version: LogIndex,
    /// Whether the leader (or, at the leader, a majority) has responded recently.
    pub connected: bool,
    /// Whether the applied state is the newest one that the leader knows to be committed.
    pub current: bool,
    /// Addresses of the other replicas.
    pub peers: BTreeMap<ReplicaId, SocketAddr>,
    /// This replica's address in the membership, if it is a voter.
    pub voter_addr: Option<SocketAddr>,
    /// Whether it has to ask for membership.
    pub needs_to_join: bool,
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl ReplicaTask {
    /// Sends the gauges every `GAUGE_INTERVAL`.
    pub(super) fn send_gauges(&mut self) {
        let now = self.now();
        if now < self.next_gauges {
            return;
        }
        self.next_gauges = now + GAUGE_INTERVAL;
        let (sync, commit) = self.latency.take(now);
        let metrics = &self.setup.metrics;
        let leads = u64::from(self.replica.leads());
        metrics.gauge(metrics::LOG_COMMITTED, self.replica.committed());
        metrics.gauge(metrics::LOG_TERM, self.replica.term());
        metrics.gauge(metrics::LOG_LEADS, leads);
        metrics.gauge(metrics::SETTINGS_VERSION, self.machine.state.version());
        let (responsive, voters) = self.replica.responsive_voters();
        let learners = self.replica.membership().learners.len();
        metrics.gauge(metrics::LOG_VOTERS, voters as u64);
        metrics.gauge(metrics::LOG_LEARNERS, learners as u64);
        metrics.gauge(metrics::LOG_VOTERS_HEARD, responsive as u64);
        metrics.gauge(metrics::LOG_SYNC, whole_millis(sync));
        metrics.gauge(metrics::LOG_COMMIT, whole_millis(commit));
    }

    fn listed_addr(&self) -> Option<SocketAddr> {
        let voters = &self.replica.membership().voters;
        voters.get(&self.setup.id).map(|site| site.addr)
    }

    pub(super) fn publish(&mut self) {
        let membership = self.replica.membership();
        let others = membership.replicas().filter(|(id, _)| *id != self.setup.id);
        let status = ReplicaStatus {
            version: self.machine.state.version(),
            connected: self.replica.is_connected() && !self.stopped,
            current: self.replica.is_current() && !self.stopped,
            peers: others.map(|(id, site)| (id, site.addr)).collect(),
            voter_addr: self.listed_addr(),
            needs_to_join: self.replica.needs_to_join(),
        };
        self.status.send_if_modified(|current| {
            let changed = *current != status;
            *current = status;
            changed
        });
    }
}
