//! What is measured, by cadence: sent over UDP in the statsd form, or kept for whoever comes and
//! asks ([`exposition`]). docs/METRICS.md lists names and units.

pub mod exposition;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use snafu::{ResultExt, Snafu};

/// Requests that were answered whole. Count.
pub const REQUESTS_COMPLETED: &str = "requests.completed";
/// Requests that were refused as not run. Count.
pub const REQUESTS_REFUSED: &str = "requests.refused";
/// Requests that ended in doubt. Count.
pub const REQUESTS_UNKNOWN: &str = "requests.unknown";
/// Callers that left before the end. Count.
pub const CALLERS_LEFT: &str = "callers.left";
/// Time from a request's arrival to its first output. Milliseconds.
pub const FIRST_OUTPUT: &str = "request.first_output";
/// Requests under way. Gauge.
pub const REQUESTS_OPEN: &str = "requests.open";
/// Newest settings in force. Gauge, a log position.
pub const SETTINGS_VERSION: &str = "settings.version";
/// Runs under way at a sidecar. Gauge.
pub const RUNS_OPEN: &str = "runs.open";
/// Runs that were refused at a sidecar. Count.
pub const RUNS_REFUSED: &str = "runs.refused";
/// Newest committed position of the ledger's log, as a replica knows it. Gauge.
pub const LOG_COMMITTED: &str = "log.committed";
/// Newest term that a replica of the ledger has seen. Gauge.
pub const LOG_TERM: &str = "log.term";
/// Whether a replica of the ledger leads: 1 or 0. Gauge.
pub const LOG_LEADS: &str = "log.leads";
/// Replicas of the ledger that vote, as a replica knows it. Gauge.
pub const LOG_VOTERS: &str = "log.voters";
/// Replicas of the ledger that catch up and don't vote yet, as a replica knows it. Gauge.
pub const LOG_LEARNERS: &str = "log.learners";
/// Voters that answered the leader within an election time, itself among them; 0 elsewhere. Gauge.
pub const LOG_VOTERS_HEARD: &str = "log.voters_heard";
/// Calls that a relay passed on to the ledger. Count.
pub const RELAY_PASSED: &str = "relay.passed";
/// Of these, those whose outcome nobody can tell. Count.
pub const RELAY_IN_DOUBT: &str = "relay.in_doubt";
/// Of these, those for which no majority of the ledger was reached. Count.
pub const RELAY_NO_QUORUM: &str = "relay.no_quorum";
/// Streams of settings that a relay opened for others. Count.
pub const RELAY_STREAMS: &str = "relay.streams";

/// Log lines that were dropped since the process started. Gauge.
pub const LOG_DROPPED: &str = "log.lines_dropped";

/// Every name with its unit, for the test that holds code and docs/METRICS.md together.
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
    (RELAY_PASSED, "count"),
    (RELAY_IN_DOUBT, "count"),
    (RELAY_NO_QUORUM, "count"),
    (RELAY_STREAMS, "count"),
    (LOG_DROPPED, "gauge"),
];

/// Metrics that can't be sent.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// No socket to send from.
    #[snafu(display("no UDP socket for metrics: {source}"))]
    Socket {
        /// Why.
        source: std::io::Error,
    },
    /// The address is not accepted.
    #[snafu(display("metrics can't go to {addr}: {source}"))]
    Sink {
        /// Where to.
        addr: SocketAddr,
        /// Why.
        source: cadence::MetricError,
    },
}

/// Counts, times and gauges of one process. Cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Sends to this address under `anvilreel.ROLE.`; nowhere without one.
    pub fn new(role: &str, statsd: Option<SocketAddr>) -> Result<Self, MetricsError> {
        let Some(addr) = statsd else {
            return Ok(Self::silent(role));
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

    /// Keeps all of it on a board, which [`exposition::serve`] hands out.
    pub fn kept(role: &str) -> (Self, exposition::Board) {
        let board = exposition::Board::default();
        let sink = exposition::BoardSink(board.clone());
        let client = StatsdClient::from_sink(&prefix(role), sink);
        let metrics = Self {
            client: Arc::new(client),
        };
        (metrics, board)
    }

    /// Sends nowhere.
    pub fn silent(role: &str) -> Self {
        let client = StatsdClient::from_sink(&prefix(role), NopMetricSink);
        Self {
            client: Arc::new(client),
        }
    }

    /// One more of these. A lost metric is no failure of the request it counts.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// How long something took.
    pub fn time(&self, name: &str, took: Duration) {
        let _ = self.client.time(name, took);
    }

    /// How much of something there is.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}

fn prefix(role: &str) -> String {
    format!("anvilreel.{role}")
}
