//! Metrics of the gateway. docs/METRICS.md lists names and units; a test compares both.

use std::sync::atomic::Ordering;

use anvilreel::metrics::LOG_DROPPED;

use crate::gateway::Gateway;

/// Requests answered completely. Count.
pub const REQUESTS_COMPLETED: &str = "requests.completed";
/// Requests that ended with an endpoint's own error response. Count.
pub const REQUESTS_ENDPOINT_FAILED: &str = "requests.endpoint_failed";
/// Requests whose clients disconnected before the end. Count.
pub const REQUESTS_CLIENT_LEFT: &str = "requests.client_left";
/// Requests that were still open when a planned stop closed all connections. Count.
pub const REQUESTS_CUT_BY_STOP: &str = "requests.cut_by_stop";
/// Time from a request's arrival to the start of its response. Milliseconds.
pub const FIRST_PIECE: &str = "request.first_piece";
/// Time from a request's arrival to its end. Milliseconds.
pub const REQUEST_TIME: &str = "request.took";
/// Time that requests waited for grants. Milliseconds.
pub const GRANT_WAIT: &str = "request.money_wait";
/// Time that requests waited for the first routing table, or for new incarnations of endpoints.
/// Milliseconds.
pub const AVAILABILITY_WAIT: &str = "request.arrival_wait";
/// Requests that waited because no endpoint had room. Count.
pub const QUEUE_JOINED: &str = "queue.joined";
/// Time that these waited. Milliseconds.
pub const QUEUE_TIME: &str = "queue.time";
/// Requests that were refused because they could not start in time. Count.
pub const QUEUE_REFUSED: &str = "queue.refused";
/// Of these, the ones that had waited. Count.
pub const QUEUE_EXPIRED: &str = "queue.expired";
/// Waiting requests that were woken to look for an endpoint. Count.
pub const QUEUE_WAKE_UPS: &str = "queue.wake_ups";
/// Requests that wait now. Gauge.
pub const QUEUE_WAITING: &str = "queue.waiting";
/// Organisations and routes whose share an operator has set. Gauge.
pub const QUEUE_SHARES: &str = "queue.shares";
/// Time between two events of a stream. Milliseconds.
pub const STREAM_GAP: &str = "stream.gap";
/// Requests sent to endpoints. Count.
pub const ATTEMPTS: &str = "tries.sent";
/// Of these, the ones after a request's first attempt. Count.
pub const ATTEMPTS_AFTER_FIRST: &str = "tries.again";
/// Attempts that certainly did not run. Count.
pub const ATTEMPTS_NOT_RUN: &str = "tries.not_run";
/// Attempts that may have run and whose response was lost. Count.
pub const ATTEMPTS_IN_DOUBT: &str = "tries.in_doubt";
/// Retries that the shared budget did not allow. Count.
pub const RETRIES_DENIED: &str = "tries.denied";
/// Attempts that asked the endpoint to copy a cached prompt prefix from another one. Count.
pub const ATTEMPTS_WITH_COPY: &str = "tries.copied";
/// Attempts for which engines were passed over, because the request would overfill their memory.
/// Count.
pub const ATTEMPTS_MEMORY_FULL: &str = "tries.memory_full";
/// Endpoints that crashed under requests. Count.
pub const ENDPOINT_CRASHES: &str = "endpoints.crashed";
/// Of these, the ones whose report was dropped because too many were pending. Count.
pub const CRASHES_UNREPORTED: &str = "endpoints.crashed_untold";
/// Requests in quarantine because endpoints crash under them. Gauge.
pub const REQUESTS_QUARANTINED: &str = "requests.quarantined";
/// Contents in quarantine that requests share, by software version. Gauge.
pub const SHARED_QUARANTINED: &str = "shared_contents.quarantined";
/// Responses whose rate limit can't be parsed. Count.
pub const LIMITS_UNREADABLE: &str = "endpoints.limit_unreadable";
/// Endpoints that announced a rate limit to all gateways together. Gauge.
pub const ENDPOINTS_LIMITED: &str = "endpoints.limited";
/// Requests sent to these, relative to what this gateway could have sent. Gauge, percent.
pub const LIMIT_USED: &str = "endpoints.limit_used";
/// Answers in which an endpoint asked for a pause. Count.
pub const PAUSES_REQUESTED: &str = "endpoints.pauses";
/// Answers whose retry-after time can't be parsed. Count.
pub const PAUSES_UNREADABLE: &str = "endpoints.pause_unreadable";
/// Endpoints that get no requests because they asked for a pause. Gauge.
pub const ENDPOINTS_PAUSED: &str = "endpoints.paused";
/// Endpoints that may be warming up. Gauge.
pub const ENDPOINTS_WARMING_UP: &str = "endpoints.warming_up";
/// Endpoints whose learned speed is at least a step below that of their service. Gauge.
pub const ENDPOINTS_SLOW: &str = "endpoints.slow";
/// Services whose endpoints run more than one software version. Gauge.
pub const SERVICES_MIXED: &str = "services.mixed";
/// Streams that clients took up after another attempt had begun them. Count.
pub const STREAMS_TAKEN_UP: &str = "streams.taken_up";
/// Of these, the ones that waited for an endpoint of their version. Count.
pub const STREAMS_WAITED: &str = "streams.waited";
/// Messages that told other gateways at which versions streams run. Count.
pub const ORIGIN_MESSAGES: &str = "streams.origin_messages";
/// Reports to the ledger of the versions at which streams run. Count.
pub const ORIGIN_REPORTS: &str = "streams.origin_reports";
/// Streams of which no other gateway was told, because too many are told of. Count.
pub const ORIGINS_UNTOLD: &str = "streams.origins_untold";
/// Streams whose version this gateway knows, its own and those that others told of. Gauge.
pub const ORIGINS_KNOWN: &str = "streams.origins_known";
/// Streams resumed by another endpoint. Count.
pub const STREAMS_RESUMED: &str = "streams.resumed";
/// Streams that were read ahead of a client that reads slowly. Count.
pub const STREAMS_READ_AHEAD: &str = "streams.read_ahead";
/// How often such a stream stopped, because its buffer or all of them were full. Count.
pub const READ_AHEAD_STOPPED: &str = "streams.read_ahead_stopped";
/// Bytes that are read ahead in all. Gauge.
pub const READ_AHEAD_BYTES: &str = "streams.read_ahead_bytes";
/// Readings of the platform's list by this gateway. Count.
pub const LIST_READ: &str = "list.read";
/// Of these, the ones that failed. Count.
pub const LIST_FAILED: &str = "list.failed";
/// Entries in this gateway's last reading that can't be read. Gauge.
pub const LIST_UNREADABLE: &str = "list.unreadable";
/// Lists received from a sibling. Count.
pub const LIST_FROM_SIBLING: &str = "list.told";
/// Requests in progress. Gauge.
pub const OPEN_REQUESTS: &str = "requests.open";
/// Time that requests waited for the link. Milliseconds.
pub const LINK_WAIT: &str = "request.link_wait";
/// Round trip of a probe to another gateway, while the link is in use. Milliseconds.
pub const LINK_DELAY: &str = "link.delay";
/// Bytes received from clients and endpoints since the start. Gauge.
pub const LINK_RECEIVED: &str = "link.received";
/// Bytes sent to clients and endpoints since the start. Gauge.
pub const LINK_SENT: &str = "link.sent";
/// Time until the link is free of the data that is to be sent. Gauge, milliseconds.
pub const LINK_BACKLOG: &str = "link.backlog";
/// Times that the gateway stopped listening for clients because of load. Count.
pub const INTAKE_CLOSINGS: &str = "intake.closings";
/// Part of the time in which it doesn't listen. Gauge, percent.
pub const INTAKE_CLOSED: &str = "intake.closed";
/// Descriptors of clients' connections. Gauge.
pub const CLIENT_DESCRIPTORS: &str = "descriptors.clients";
/// Descriptors of connections to endpoints. Gauge.
pub const ENDPOINT_DESCRIPTORS: &str = "descriptors.endpoints";
/// Idle connections to endpoints that were closed to free descriptors. Count.
pub const IDLE_CLOSED: &str = "descriptors.idle_closed";
/// Connections of clients that made room for others: they had sent nothing, or a part of a head. Count.
pub const CLIENTS_EVICTED: &str = "clients.evicted";
/// Version of the routing table in force. Gauge.
pub const TABLE_VERSION: &str = "table.version";
/// Gateways that share the retry budget. Gauge.
pub const GATEWAYS: &str = "gateways";
/// Endpoints that accept requests. Gauge.
pub const ENDPOINTS_AVAILABLE: &str = "endpoints.open";
/// Endpoints on cooldown. Gauge.
pub const ENDPOINTS_ON_COOLDOWN: &str = "endpoints.shut";
/// Tokens free in this gateway's grants: lost if it is killed. Gauge.
pub const GRANTS_FREE: &str = "grants.free";
/// Budgets whose grants are to outlast an outage of the ledger. Gauge.
pub const BUDGETS_COVERED: &str = "budgets.covered";
/// Budgets of which little is left, so that their grants are short. Gauge.
pub const BUDGETS_SCARCE: &str = "budgets.scarce";
/// Reads of budgets' balances that failed. Count.
pub const BALANCE_READS_FAILED: &str = "balances.failed";
/// Attempts that ended in doubt, and whose prompts are held for a retry. Count.
pub const PROMPTS_HELD: &str = "prompts.held";
/// Of these, the ones that are not charged, because a retry was. Count.
pub const PROMPTS_RELEASED: &str = "prompts.released";
/// Of these, the ones that were charged after the wait. Count.
pub const PROMPTS_CHARGED: &str = "prompts.charged";
/// Messages to other gateways about held prompts. Count.
pub const HELD_PROMPT_MESSAGES: &str = "prompts.messages";
/// Time since the ledger last confirmed the cached state. Gauge, milliseconds.
pub const LEDGER_AGE: &str = "age.ledger";
/// Time since the platform's list was last read. Gauge, milliseconds.
pub const LIST_AGE: &str = "age.list";

/// All names with their units.
pub const ALL: &[(&str, &str)] = &[
    (REQUESTS_COMPLETED, "count"),
    (REQUESTS_ENDPOINT_FAILED, "count"),
    (REQUESTS_CLIENT_LEFT, "count"),
    (REQUESTS_CUT_BY_STOP, "count"),
    (FIRST_PIECE, "milliseconds"),
    (REQUEST_TIME, "milliseconds"),
    (GRANT_WAIT, "milliseconds"),
    (AVAILABILITY_WAIT, "milliseconds"),
    (QUEUE_JOINED, "count"),
    (QUEUE_TIME, "milliseconds"),
    (QUEUE_REFUSED, "count"),
    (QUEUE_EXPIRED, "count"),
    (QUEUE_WAKE_UPS, "count"),
    (QUEUE_WAITING, "gauge"),
    (QUEUE_SHARES, "gauge"),
    (STREAM_GAP, "milliseconds"),
    (ATTEMPTS, "count"),
    (ATTEMPTS_AFTER_FIRST, "count"),
    (ATTEMPTS_NOT_RUN, "count"),
    (ATTEMPTS_IN_DOUBT, "count"),
    (RETRIES_DENIED, "count"),
    (ATTEMPTS_WITH_COPY, "count"),
    (ATTEMPTS_MEMORY_FULL, "count"),
    (ENDPOINT_CRASHES, "count"),
    (CRASHES_UNREPORTED, "count"),
    (REQUESTS_QUARANTINED, "gauge"),
    (SHARED_QUARANTINED, "gauge"),
    (LIMITS_UNREADABLE, "count"),
    (ENDPOINTS_LIMITED, "gauge"),
    (LIMIT_USED, "gauge"),
    (PAUSES_REQUESTED, "count"),
    (PAUSES_UNREADABLE, "count"),
    (ENDPOINTS_PAUSED, "gauge"),
    (ENDPOINTS_WARMING_UP, "gauge"),
    (ENDPOINTS_SLOW, "gauge"),
    (SERVICES_MIXED, "gauge"),
    (STREAMS_TAKEN_UP, "count"),
    (STREAMS_WAITED, "count"),
    (ORIGIN_MESSAGES, "count"),
    (ORIGIN_REPORTS, "count"),
    (ORIGINS_UNTOLD, "count"),
    (ORIGINS_KNOWN, "gauge"),
    (STREAMS_RESUMED, "count"),
    (STREAMS_READ_AHEAD, "count"),
    (READ_AHEAD_STOPPED, "count"),
    (READ_AHEAD_BYTES, "gauge"),
    (LIST_READ, "count"),
    (LIST_FAILED, "count"),
    (LIST_UNREADABLE, "gauge"),
    (LIST_FROM_SIBLING, "count"),
    (OPEN_REQUESTS, "gauge"),
    (LINK_WAIT, "milliseconds"),
    (LINK_DELAY, "milliseconds"),
    (LINK_RECEIVED, "gauge"),
    (LINK_SENT, "gauge"),
    (LINK_BACKLOG, "gauge"),
    (INTAKE_CLOSINGS, "count"),
    (INTAKE_CLOSED, "gauge"),
    (CLIENT_DESCRIPTORS, "gauge"),
    (ENDPOINT_DESCRIPTORS, "gauge"),
    (IDLE_CLOSED, "count"),
    (CLIENTS_EVICTED, "count"),
    (TABLE_VERSION, "gauge"),
    (GATEWAYS, "gauge"),
    (ENDPOINTS_AVAILABLE, "gauge"),
    (ENDPOINTS_ON_COOLDOWN, "gauge"),
    (GRANTS_FREE, "gauge"),
    (BUDGETS_COVERED, "gauge"),
    (BUDGETS_SCARCE, "gauge"),
    (BALANCE_READS_FAILED, "count"),
    (PROMPTS_HELD, "count"),
    (PROMPTS_RELEASED, "count"),
    (PROMPTS_CHARGED, "count"),
    (HELD_PROMPT_MESSAGES, "count"),
    (LEDGER_AGE, "gauge"),
    (LIST_AGE, "gauge"),
];

impl Gateway {
    /// Updates the gauges.
    pub fn update_gauges(&self) {
        let now = self.now_ms();
        let (available, on_cooldown) = self.directory.count_available(self.lifecycle.now());
        let (limited, limit_used) = self.measure_limits();
        let table_version = self.table.load();
        let table_version = table_version
            .as_ref()
            .map_or(0, |table_version| table_version.version);
        let list_age = self.list_cache.age().min(self.lifecycle.now()).as_millis();
        let list_age = u64::try_from(list_age).unwrap_or(u64::MAX);
        let backlog = self.sockets.link.backlog().as_millis();
        let backlog_ms = u64::try_from(backlog).unwrap_or(u64::MAX);
        let descriptors = self.sockets.descriptors.in_use();
        let grants = self.grant_account.cover_status(self.lifecycle.now());
        let age = |since_ms: u64| now.saturating_sub(since_ms);
        for (name, value) in [
            (
                OPEN_REQUESTS,
                u64::from(self.open_requests.load(Ordering::Relaxed)),
            ),
            (LINK_RECEIVED, self.sockets.link.received()),
            (LINK_SENT, self.sockets.link.sent()),
            (LINK_BACKLOG, backlog_ms),
            (INTAKE_CLOSED, u64::from(self.intake.closed_percent())),
            (CLIENT_DESCRIPTORS, u64::from(descriptors.clients)),
            (ENDPOINT_DESCRIPTORS, u64::from(descriptors.endpoints)),
            (TABLE_VERSION, table_version),
            (
                GATEWAYS,
                u64::from(self.gateway_count.load(Ordering::Relaxed)),
            ),
            (QUEUE_WAITING, self.directory.count_waiting()),
            (QUEUE_SHARES, self.shares.load().all().len() as u64),
            (ENDPOINTS_AVAILABLE, available),
            (ENDPOINTS_ON_COOLDOWN, on_cooldown),
            (
                REQUESTS_QUARANTINED,
                self.suspects.count_quarantined_requests(),
            ),
            (SHARED_QUARANTINED, self.suspects.count_quarantined_shared()),
            (ENDPOINTS_LIMITED, limited),
            (LIMIT_USED, limit_used),
            (ENDPOINTS_PAUSED, self.count_paused()),
            (ENDPOINTS_WARMING_UP, self.count_warming_up()),
            (ENDPOINTS_SLOW, self.count_slow_endpoints()),
            (SERVICES_MIXED, self.count_mixed_services()),
            (ORIGINS_KNOWN, self.count_known_origins()),
            (GRANTS_FREE, grants.free),
            (BUDGETS_COVERED, grants.covered),
            (BUDGETS_SCARCE, grants.scarce),
            (READ_AHEAD_BYTES, self.read_ahead().total()),
            (
                LEDGER_AGE,
                age(self.ledger_confirmed_ms.load(Ordering::Relaxed)),
            ),
            (LIST_AGE, list_age),
            (LOG_DROPPED, self.log_buffer.dropped_lines()),
        ] {
            self.metrics.gauge(name, value);
        }
    }

    fn count_slow_endpoints(&self) -> u64 {
        let all = self.directory.all_endpoints();
        let slow = all.iter().filter(|e| e.load().speed().step() < 0);
        slow.count() as u64
    }

    /// Number of endpoints with a limit, and the percentage of this gateway's share that is used.
    fn measure_limits(&self) -> (u64, u64) {
        let all = self.directory.all_endpoints();
        let limited = all.iter().filter(|endpoint| endpoint.limit().is_some());
        let usage = limited
            .map(|endpoint| endpoint.limit_used(self.lifecycle.now(), self.share_position()));
        let (mut count, mut total_sent, mut allowed) = (0, 0, 0_u64);
        for (endpoint_sent, endpoint_allowed) in usage {
            count += 1;
            total_sent += endpoint_sent;
            allowed = allowed.saturating_add(endpoint_allowed);
        }
        // At least one request, so that a limit learned just now does not yield a huge percentage.
        (count, total_sent * 100_000 / allowed.max(1_000))
    }
}
