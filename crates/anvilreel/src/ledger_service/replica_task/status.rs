//! What everybody may know of a node without asking it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_ledger::core::ReplicaId;
use anvil_world::prelude::*;

use super::ReplicaTask;
use crate::metrics;

/// Time between two samples of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(5);

/// What everybody may know of a node without asking it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The newest version of the applied state.
    pub version: LogIndex,
    /// Whether the leader (or, at the leader, a majority) was heard of lately.
    pub connected: bool,
    /// Other replicas' addresses.
    pub peers: BTreeMap<ReplicaId, SocketAddr>,
    /// Where the others think that it is reached, once it votes.
    pub voter_addr: Option<SocketAddr>,
    /// Whether it has to ask to be taken in.
    pub needs_to_join: bool,
}

impl ReplicaTask {
    /// Sends the gauges now and then.
    pub(super) fn send_gauges(&mut self) {
        let now = self.now();
        if now < self.next_gauges {
            return;
        }
        self.next_gauges = now + GAUGE_INTERVAL;
        let metrics = &self.setup.metrics;
        let leads = u64::from(self.replica.leads());
        metrics.gauge(metrics::LOG_COMMITTED, self.replica.committed());
        metrics.gauge(metrics::LOG_TERM, self.replica.term());
        metrics.gauge(metrics::LOG_LEADS, leads);
        metrics.gauge(metrics::SETTINGS_VERSION, self.machine.state.version());
        let (heard, voters) = self.replica.responsive_voters();
        let learners = self.replica.membership().learners.len();
        metrics.gauge(metrics::LOG_VOTERS, voters as u64);
        metrics.gauge(metrics::LOG_LEARNERS, learners as u64);
        metrics.gauge(metrics::LOG_VOTERS_HEARD, heard as u64);
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
