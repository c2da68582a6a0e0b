//! Numbered log events of the gateway. docs/EVENTS.md describes their meaning and the response to
//! each.

anvilreel::event_catalogue! {
    /// The process is listening.
    GATEWAY_LISTENING = 6001 Info "gateway_listening";
    /// A newer routing table is in force.
    GATEWAY_TABLE_IN_FORCE = 6002 Info "gateway_table_in_force";
    /// A routing table can't be parsed by this build; the previous one stays in force.
    GATEWAY_TABLE_UNREADABLE = 6003 Error "gateway_table_unreadable";
    /// No replica of the ledger confirms that the cached state is current.
    GATEWAY_OUT_OF_TOUCH = 6004 Warning "gateway_out_of_touch";
    /// A replica of the ledger is being followed again.
    GATEWAY_IN_TOUCH = 6005 Info "gateway_in_touch";
    /// The platform's list of endpoints has changed.
    GATEWAY_ENDPOINTS_CHANGED = 6006 Info "gateway_endpoints_changed";
    /// The platform's list can't be read; the last one is used.
    GATEWAY_LIST_LOST = 6007 Warning "gateway_list_lost";
    /// The platform's list can be read again.
    GATEWAY_LIST_BACK = 6008 Info "gateway_list_back";
    /// A planned stop begins.
    GATEWAY_LEAVING = 6009 Info "gateway_leaving";
    /// The process has stopped.
    GATEWAY_STOPPED = 6010 Info "gateway_stopped";
    /// A request was answered completely.
    GATEWAY_REQUEST_COMPLETED = 6011 Info "gateway_request_completed";
    /// A request was refused or failed, or its client disconnected.
    GATEWAY_REQUEST_FAILED = 6012 Warning "gateway_request_failed";
    /// The ledger refuses grant batches of this incarnation.
    GATEWAY_FENCED = 6013 Critical "gateway_fenced";
    /// A settlement was refused by the grant account: an invariant is broken.
    GATEWAY_SETTLEMENT_REFUSED = 6014 Critical "gateway_settlement_refused";
    /// A grant was opened, or the ledger refused one.
    GATEWAY_GRANTS = 6015 Info "gateway_grants";
    /// An endpoint failed and is on cooldown.
    GATEWAY_ENDPOINT_SHUT = 6016 Warning "gateway_endpoint_shut";
    /// The number of gateways that share the retry budget has changed.
    GATEWAY_PEERS_CHANGED = 6017 Info "gateway_peers_changed";
    /// A client's connection could not be served.
    GATEWAY_CLIENT_CONNECTION = 6018 Debug "gateway_client_connection";
    /// The addresses of the ledger's replicas or relays have changed.
    GATEWAY_LEDGER_WAYS = 6019 Info "gateway_ledger_ways";
    /// The ledger is unreachable and the grants are used up: the gateway reports that it is not
    /// ready.
    GATEWAY_STARVED = 6020 Warning "gateway_starved";
    /// A client disconnected before the endpoint had begun to respond: nothing is charged.
    GATEWAY_BILL_DROPPED = 6021 Info "gateway_bill_dropped";
    /// The list of endpoints now comes from another gateway, or is read by this one again.
    GATEWAY_LIST_SOURCE = 6022 Info "gateway_list_source";
    /// A sibling sent no newer list in time; the next one is asked, or this gateway reads the list.
    GATEWAY_SIBLING_PASSED_OVER = 6023 Warning "gateway_sibling_passed_over";
    /// An endpoint crashed under requests.
    GATEWAY_ENDPOINT_CRASHED = 6024 Warning "gateway_endpoint_crashed";
    /// A request is no longer sent to endpoints, because they crash under it.
    GATEWAY_REQUEST_QUARANTINED = 6025 Warning "gateway_request_quarantined";
    /// A request under which endpoints crashed may be sent again: an endpoint has answered it, its
    /// crashes have expired, or an operator has lifted its quarantine.
    GATEWAY_REQUEST_CLEARED = 6026 Info "gateway_request_cleared";
    /// An endpoint has changed or ended the rate limit that it announces to all routers.
    GATEWAY_ENDPOINT_LIMIT = 6027 Info "gateway_endpoint_limit";
    /// An operator's order for an availability zone is in force.
    GATEWAY_ZONE_ORDER = 6028 Info "gateway_zone_order";
    /// An order for an availability zone can't be read by this build; the zone counts as evacuated.
    GATEWAY_ZONE_UNREADABLE = 6029 Error "gateway_zone_unreadable";
    /// An endpoint may be warming up, or is warm.
    GATEWAY_ENDPOINT_WARM_UP = 6030 Info "gateway_endpoint_warm_up";
    /// An endpoint that turned a request away asks for a pause; it gets no requests in it.
    GATEWAY_ENDPOINT_PAUSE = 6031 Info "gateway_endpoint_pause";
    /// A request is sent to an endpoint whose pause is over.
    GATEWAY_ENDPOINT_PAUSE_OVER = 6032 Info "gateway_endpoint_pause_over";
    /// An endpoint states in an answer that it is leaving.
    GATEWAY_ENDPOINT_LEAVES = 6033 Info "gateway_endpoint_leaves";
    /// The software versions of a service's endpoints have changed, and there was more than one lately.
    GATEWAY_SERVICE_VERSIONS = 6034 Info "gateway_service_versions";
    /// A sibling did not store at which versions streams run; it is told again.
    GATEWAY_ORIGINS_NOT_STORED = 6035 Warning "gateway_origins_not_stored";
    /// The number of entries of the platform's list that can't be read has changed.
    GATEWAY_LIST_ENTRIES_UNREADABLE = 6036 Warning "gateway_list_entries_unreadable";
    /// A part of the clients' connections is rejected, because there is more load than the gateway
    /// can serve.
    GATEWAY_SHEDDING = 6041 Warning "gateway_shedding";
    /// All clients' connections are accepted again.
    GATEWAY_SHEDDING_OVER = 6042 Info "gateway_shedding_over";
    /// Listening on the address for clients failed.
    GATEWAY_LISTEN_FAILED = 6043 Error "gateway_listen_failed";
    /// Little is left of a budget, so that its grants are short, or this has ended.
    GATEWAY_BUDGET_SCARCE = 6050 Info "gateway_budget_scarce";
    /// The lasting speed of an engine relative to its service has changed by a step.
    GATEWAY_ENGINE_SPEED = 6060 Info "gateway_engine_speed";
    /// Requests to a service are refused because no endpoint has room for them in time.
    GATEWAY_OVERLOADED = 6070 Warning "gateway_overloaded";
    /// An operator has set or ended the share of an organisation or a route.
    GATEWAY_SHARE = 6071 Info "gateway_share";
    /// The prompt of an attempt that ended in doubt is not charged, because a retry was.
    GATEWAY_PROMPT_RELEASED = 6080 Info "gateway_prompt_released";
    /// The prompt of an attempt that ended in doubt was held, and is charged.
    GATEWAY_PROMPT_CHARGED = 6081 Info "gateway_prompt_charged";
}
