//! Numbered log events of the gateway. docs/EVENTS.md says what each one means and what to do.

anvilreel::event_catalogue! {
    /// The process listens.
    GATEWAY_LISTENING = 6001 Info "gateway_listening";
    /// A newer routing table is in force.
    GATEWAY_TABLE_IN_FORCE = 6002 Info "gateway_table_in_force";
    /// A routing table can't be read by this build; the one before stays in force.
    GATEWAY_TABLE_UNREADABLE = 6003 Error "gateway_table_unreadable";
    /// No replica of the ledger confirms that what is held here is current.
    GATEWAY_OUT_OF_TOUCH = 6004 Warning "gateway_out_of_touch";
    /// A replica of the ledger is followed again.
    GATEWAY_IN_TOUCH = 6005 Info "gateway_in_touch";
    /// The platform's list of endpoints has changed.
    GATEWAY_ENDPOINTS_CHANGED = 6006 Info "gateway_endpoints_changed";
    /// The platform's list can't be had; the last one is used.
    GATEWAY_LIST_LOST = 6007 Warning "gateway_list_lost";
    /// The platform's list can be had again.
    GATEWAY_LIST_BACK = 6008 Info "gateway_list_back";
    /// A planned stop begins.
    GATEWAY_LEAVING = 6009 Info "gateway_leaving";
    /// The process has stopped.
    GATEWAY_STOPPED = 6010 Info "gateway_stopped";
    /// A request was answered whole.
    GATEWAY_REQUEST_COMPLETED = 6011 Info "gateway_request_completed";
    /// A request was refused, failed, or was left by its client.
    GATEWAY_REQUEST_FAILED = 6012 Warning "gateway_request_failed";
    /// The ledger refuses this life's money batches.
    GATEWAY_FENCED = 6013 Critical "gateway_fenced";
    /// A charge was refused by the purse: an invariant is broken.
    GATEWAY_SETTLEMENT_REFUSED = 6014 Critical "gateway_settlement_refused";
    /// A grant came, or the ledger refused one.
    GATEWAY_GRANTS = 6015 Info "gateway_grants";
    /// An endpoint failed and is passed over for a while.
    GATEWAY_ENDPOINT_SHUT = 6016 Warning "gateway_endpoint_shut";
    /// The number of gateways that share the retry budget has changed.
    GATEWAY_PEERS_CHANGED = 6017 Info "gateway_peers_changed";
    /// A connection of a client could not be served.
    GATEWAY_CLIENT_CONNECTION = 6018 Debug "gateway_client_connection";
    /// Other processes lead to the ledger than before.
    GATEWAY_LEDGER_WAYS = 6019 Info "gateway_ledger_ways";
    /// No way leads to the ledger and the grants are used up: no new clients are asked for.
    GATEWAY_STARVED = 6020 Warning "gateway_starved";
    /// A client left before its answer began, and the endpoint had not begun: nothing is billed.
    GATEWAY_BILL_DROPPED = 6021 Info "gateway_bill_dropped";
    /// The list of endpoints comes from another gateway than before, or is read here again.
    GATEWAY_LIST_SOURCE = 6022 Info "gateway_list_source";
    /// A sibling did not tell a newer list in time; the next one is asked, or the list is read here.
    GATEWAY_SIBLING_PASSED_OVER = 6023 Warning "gateway_sibling_passed_over";
    /// An endpoint crashed under requests.
    GATEWAY_ENDPOINT_CRASHED = 6024 Warning "gateway_endpoint_crashed";
    /// A request is kept from endpoints from now on, because they crash under it.
    GATEWAY_REQUEST_QUARANTINED = 6025 Warning "gateway_request_quarantined";
    /// A request under which endpoints crashed may go to them again: one has answered it, or its crashes are
    /// forgotten.
    GATEWAY_REQUEST_CLEARED = 6026 Info "gateway_request_cleared";
    /// An endpoint announces another number of requests a second that it takes from all routers, or none any more.
    GATEWAY_ENDPOINT_LIMIT = 6027 Info "gateway_endpoint_limit";
}
