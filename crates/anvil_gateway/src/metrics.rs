//! Metrics of the gateway. docs/METRICS.md lists names and units; a test compares both.

use std::sync::atomic::Ordering;

use anvilreel::metrics::LOG_DROPPED;

use crate::gateway::Gateway;

/// Requests answered completely. Count.
pub const COMPLETED: &str = "requests.completed";
/// Requests that ended with an endpoint's own error response. Count.
pub const ENDPOINT_FAILED: &str = "requests.endpoint_failed";
/// Requests whose clients disconnected before the end. Count.
pub const CLIENT_LEFT: &str = "requests.client_left";
/// Time from a request's arrival to the start of its response. Milliseconds.
pub const FIRST_PIECE: &str = "request.first_piece";
/// Time from a request's arrival to its end. Milliseconds.
pub const TOOK: &str = "request.took";
/// Time that requests waited for grants. Milliseconds.
pub const MONEY_WAIT: &str = "request.money_wait";
/// Time that requests waited for the first routing table, or for new incarnations of endpoints.
/// Milliseconds.
pub const ARRIVAL_WAIT: &str = "request.arrival_wait";
/// Time between two events of a stream. Milliseconds.
pub const GAP: &str = "stream.gap";
/// Requests sent to endpoints. Count.
pub const TRIES: &str = "tries.sent";
/// Of these, the ones after a request's first attempt. Count.
pub const TRIES_AGAIN: &str = "tries.again";
/// Attempts that certainly did not run. Count.
pub const TRIES_NOT_RUN: &str = "tries.not_run";
/// Attempts that may have run and whose response was lost. Count.
pub const TRIES_IN_DOUBT: &str = "tries.in_doubt";
/// Retries that the shared budget did not allow. Count.
pub const TRIES_DENIED: &str = "tries.denied";
/// Attempts that told the endpoint to copy a cached prompt prefix from another one. Count.
pub const TRIES_COPIED: &str = "tries.copied";
/// Endpoints that crashed under requests. Count.
pub const CRASHES: &str = "endpoints.crashed";
/// Of these, the ones whose report was dropped because too many were pending. Count.
pub const CRASHES_UNTOLD: &str = "endpoints.crashed_untold";
/// Requests in quarantine because endpoints crash under them. Gauge.
pub const QUARANTINED: &str = "requests.quarantined";
/// Responses whose rate limit can't be parsed. Count.
pub const LIMITS_UNREADABLE: &str = "endpoints.limit_unreadable";
/// Endpoints that announced a rate limit to all gateways together. Gauge.
pub const LIMITED: &str = "endpoints.limited";
/// Requests sent to these, relative to what this gateway could have sent. Gauge, percent.
pub const LIMIT_USED: &str = "endpoints.limit_used";
/// Streams resumed by another endpoint. Count.
pub const RESUMED: &str = "streams.resumed";
/// Readings of the platform's list by this gateway. Count.
pub const LIST_READ: &str = "list.read";
/// Lists received from a sibling. Count.
pub const LIST_TOLD: &str = "list.told";
/// Requests in progress. Gauge.
pub const OPEN: &str = "requests.open";
/// Version of the routing table in force. Gauge.
pub const TABLE: &str = "table.version";
/// Gateways that share the retry budget. Gauge.
pub const GATEWAYS: &str = "gateways";
/// Endpoints that accept requests. Gauge.
pub const ENDPOINTS: &str = "endpoints.open";
/// Endpoints on cooldown. Gauge.
pub const ENDPOINTS_SHUT: &str = "endpoints.shut";
/// Time since the ledger last confirmed the cached state. Gauge, milliseconds.
pub const CONFIRMED_AGE: &str = "age.ledger";
/// Time since the platform's list was last read. Gauge, milliseconds.
pub const LIST_AGE: &str = "age.list";

/// All names with their units.
pub const ALL: &[(&str, &str)] = &[
    (COMPLETED, "count"),
    (ENDPOINT_FAILED, "count"),
    (CLIENT_LEFT, "count"),
    (FIRST_PIECE, "milliseconds"),
    (TOOK, "milliseconds"),
    (MONEY_WAIT, "milliseconds"),
    (ARRIVAL_WAIT, "milliseconds"),
    (GAP, "milliseconds"),
    (TRIES, "count"),
    (TRIES_AGAIN, "count"),
    (TRIES_NOT_RUN, "count"),
    (TRIES_IN_DOUBT, "count"),
    (TRIES_DENIED, "count"),
    (TRIES_COPIED, "count"),
    (CRASHES, "count"),
    (CRASHES_UNTOLD, "count"),
    (QUARANTINED, "gauge"),
    (LIMITS_UNREADABLE, "count"),
    (LIMITED, "gauge"),
    (LIMIT_USED, "gauge"),
    (RESUMED, "count"),
    (LIST_READ, "count"),
    (LIST_TOLD, "count"),
    (OPEN, "gauge"),
    (TABLE, "gauge"),
    (GATEWAYS, "gauge"),
    (ENDPOINTS, "gauge"),
    (ENDPOINTS_SHUT, "gauge"),
    (CONFIRMED_AGE, "gauge"),
    (LIST_AGE, "gauge"),
];

impl Gateway {
    /// Updates the gauges.
    pub fn measure(&self) {
        let now = self.now_ms();
        let (open, shut) = self.directory.count(self.life.now());
        let (limited, limit_used) = self.measure_limits();
        let table = self.table.load();
        let table = table.as_ref().map_or(0, |table| table.version);
        let list_age = self.listings.age().min(self.life.now()).as_millis();
        let list_age = u64::try_from(list_age).unwrap_or(u64::MAX);
        let age = |at: u64| now.saturating_sub(at);
        for (name, value) in [
            (OPEN, u64::from(self.open.load(Ordering::Relaxed))),
            (TABLE, table),
            (GATEWAYS, u64::from(self.gateways.load(Ordering::Relaxed))),
            (ENDPOINTS, open),
            (ENDPOINTS_SHUT, shut),
            (QUARANTINED, self.suspects.count_quarantined()),
            (LIMITED, limited),
            (LIMIT_USED, limit_used),
            (CONFIRMED_AGE, age(self.confirmed.load(Ordering::Relaxed))),
            (LIST_AGE, list_age),
            (LOG_DROPPED, self.dropped.count()),
        ] {
            self.metrics.gauge(name, value);
        }
    }

    /// Number of endpoints with a limit, and the percentage of this gateway's share that is used.
    fn measure_limits(&self) -> (u64, u64) {
        let all = self.directory.all();
        let limited = all.iter().filter(|endpoint| endpoint.limit().is_some());
        let used = limited.map(|endpoint| endpoint.limit_used(self.life.now(), self.turn()));
        let (mut count, mut sent, mut might) = (0, 0, 0_u64);
        for (one_sent, one_might) in used {
            count += 1;
            sent += one_sent;
            might = might.saturating_add(one_might);
        }
        // At least one request, so that a limit learned just now does not yield a huge percentage.
        (count, sent * 100_000 / might.max(1_000))
    }
}
