//! Metrics: their names, and a client that sends them over UDP in the statsd format or keeps them
//! in memory for collectors that scrape them ([`exposition`]). docs/METRICS.md lists names and
//! units.

pub mod exposition;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use snafu::{ResultExt, Snafu};

/// Requests that were answered completely. Count.
pub const REQUESTS_COMPLETED: &str = "requests.completed";
/// Requests that were refused and did not run. Count.
pub const REQUESTS_REFUSED: &str = "requests.refused";
/// Requests whose outcome is unknown. Count.
pub const REQUESTS_UNKNOWN: &str = "requests.unknown";
/// Callers that disconnected before the end of their response. Count.
pub const CALLERS_LEFT: &str = "callers.left";
/// Time from a request's arrival to its first output. Milliseconds.
pub const FIRST_OUTPUT: &str = "request.first_output";
/// Requests in flight. Gauge.
pub const REQUESTS_OPEN: &str = "requests.open";
/// Newest settings in force. Gauge, a log position.
pub const SETTINGS_VERSION: &str = "settings.version";
/// Runs in progress at a sidecar. Gauge.
pub const RUNS_OPEN: &str = "runs.open";
/// Runs that were refused at a sidecar. Count.
pub const RUNS_REFUSED: &str = "runs.refused";
/// Newest position of the ledger's log that a replica knows to be committed. Gauge.
pub const LOG_COMMITTED: &str = "log.committed";
/// Newest term that a replica of the ledger has seen. Gauge.
pub const LOG_TERM: &str = "log.term";
/// Whether a replica of the ledger is the leader: 1 or 0. Gauge.
pub const LOG_LEADS: &str = "log.leads";
/// Replicas of the ledger that vote, as a replica knows it. Gauge.
pub const LOG_VOTERS: &str = "log.voters";
/// Replicas of the ledger that are catching up and don't vote yet, as a replica knows it. Gauge.
pub const LOG_LEARNERS: &str = "log.learners";
/// Voters that responded to the leader within the election timeout, including itself; 0 at other
/// replicas. Gauge.
pub const LOG_VOTERS_HEARD: &str = "log.voters_heard";
/// Commands that a ledger replica answered without a log entry of their own, as an equal one is in flight
/// or applied. Count.
pub const LOG_REPEATED: &str = "log.repeated";
/// Longest time from a write of a ledger replica until it was durable, since the last gauge, in
/// milliseconds. Gauge.
pub const LOG_SYNC: &str = "log.sync";
/// Longest time from an entry of the leader until it was committed, since the last gauge, in
/// milliseconds; 0 at other replicas. Gauge.
pub const LOG_COMMIT: &str = "log.commit";
/// Calls that a relay forwarded to the ledger. Count.
pub const RELAY_PASSED: &str = "relay.passed";
/// Calls forwarded by a relay whose outcome is in doubt. Count.
pub const RELAY_IN_DOUBT: &str = "relay.in_doubt";
/// Calls forwarded by a relay for which no majority of the ledger was reached. Count.
pub const RELAY_NO_QUORUM: &str = "relay.no_quorum";
/// Follow streams that a relay opened for other processes. Count.
pub const RELAY_STREAMS: &str = "relay.streams";

/// Log lines that were dropped since the process started. Gauge.
pub const LOG_DROPPED: &str = "log.lines_dropped";

/// Every name with its unit, for the test that compares the code with docs/METRICS.md.
pub const ALL: &[(&str, &str)] = &[
    (REQUESTS_COMPLETED, "count"),
    (REQUESTS_REFUSED, "count"),
    (REQUESTS_UNKNOWN, "count"),
    (CALLERS_LEFT, "count"),
    (FIRST_OUTPUT, "milliseconds"),
    (REQUESTS_OPEN, "gauge"),
    (SETTINGS_VERSION, "gauge"),
    (RUNS_OPEN, "gauge"),
    (RUNS_REFUSED, "count"),
    (LOG_COMMITTED, "gauge"),
    (LOG_TERM, "gauge"),
    (LOG_LEADS, "gauge"),
    (LOG_VOTERS, "gauge"),
    (LOG_LEARNERS, "gauge"),
    (LOG_VOTERS_HEARD, "gauge"),
    (LOG_REPEATED, "count"),
    (LOG_SYNC, "gauge"),
    (LOG_COMMIT, "gauge"),
    (RELAY_PASSED, "count"),
    (RELAY_IN_DOUBT, "count"),
    (RELAY_NO_QUORUM, "count"),
    (RELAY_STREAMS, "count"),
    (LOG_DROPPED, "gauge"),
];

/// Error of a metrics client.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The UDP socket can't be created.
    #[snafu(display("can't create a UDP socket for metrics: {source}"))]
    Socket {
        /// Cause.
        source: std::io::Error,
    },
    /// The destination address is not accepted.
    #[snafu(display("can't send metrics to {addr}: {source}"))]
    Sink {
        /// Destination.
        addr: SocketAddr,
        /// Cause.
        source: cadence::MetricError,
    },
}

/// Metrics client of one process. Cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Sends metrics to this address with the prefix `anvilreel.ROLE.`; discards them without one.
    pub fn new(role: &str, statsd: Option<SocketAddr>) -> Result<Self, MetricsError> {
        let Some(addr) = statsd else {
            return Ok(Self::disabled(role));
        };
        let prefix = prefix(role);
        let socket = UdpSocket::bind(("0.0.0.0", 0)).context(SocketSnafu)?;
        socket.set_nonblocking(true).context(SocketSnafu)?;
        let sink = UdpMetricSink::from(addr, socket).context(SinkSnafu { addr })?;
        let client = StatsdClient::from_sink(&prefix, QueuingMetricSink::from(sink));
        Ok(Self {
            client: Arc::new(client),
        })
    }

    /// Keeps all metrics in memory; [`exposition::serve`] serves them.
    pub fn in_memory(role: &str) -> (Self, exposition::Registry) {
        let registry = exposition::Registry::default();
        let sink = exposition::RegistrySink(registry.clone());
        let client = StatsdClient::from_sink(&prefix(role), sink);
        let metrics = Self {
            client: Arc::new(client),
        };
        (metrics, registry)
    }

    /// Discards all metrics.
    pub fn disabled(role: &str) -> Self {
        let client = StatsdClient::from_sink(&prefix(role), NopMetricSink);
        Self {
            client: Arc::new(client),
        }
    }

    /// Increments a counter. Errors are ignored: a lost metric must not fail a request.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}

fn prefix(role: &str) -> String {
    format!("anvilreel.{role}")
}
