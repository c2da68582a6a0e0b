//! Numbered log events. docs/EVENTS.md explains each event and what an operator does about it.
//!
//! Numbers: router 1000s, sidecar 2000s, ledger 3000s, operator and local 4000s, money, claims
//! and runs 5000s. A number is never reused for another event.

use slog::Level;

/// A kind of log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Number in the catalogue.
    pub number: u16,
    /// Name in the catalogue, and the message of the log line.
    pub name: &'static str,
    /// Log level.
    pub level: Level,
}

/// Logs a numbered event: `event!(log, events::ROUTER_READY, "version" => version)`.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:path $(, $key:literal => $value:expr)* $(,)?) => {
        slog::log!(
            $log, $event.level, $event.name, "{}", $event.name;
            "event" => $event.number $(, $key => $value)*
        )
    };
}

/// Defines a catalogue of numbered events: a constant for each, and `ALL` with all of them.
#[macro_export]
macro_rules! event_catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal $level:ident $text:literal;)*) => {
        $(
            $(#[$doc])*
            pub const $name: $crate::events::Event = $crate::events::Event {
                number: $number,
                name: $text,
                level: slog::Level::$level,
            };
        )*

        /// Every event, ordered by number.
        pub const ALL: &[$crate::events::Event] = &[$($name),*];
    };
}

event_catalogue! {
    /// The router listens.
    ROUTER_LISTENING = 1001 Info "router_listening";
    /// The router has received the settings tree and accepts requests.
    ROUTER_READY = 1002 Info "router_ready";
    /// The router has no open follow stream from any replica of the ledger.
    ROUTER_OUT_OF_TOUCH = 1003 Warning "router_out_of_touch";
    /// The router follows a replica of the ledger again.
    ROUTER_IN_TOUCH = 1004 Info "router_in_touch";
    /// Newer settings are in force.
    ROUTER_SETTINGS_IN_FORCE = 1005 Info "router_settings_in_force";
    /// This build can't parse a document of the settings tree.
    ROUTER_DOCUMENT_SKIPPED = 1006 Error "router_document_skipped";
    /// The router has begun its planned stop.
    ROUTER_LEAVING = 1007 Info "router_leaving";
    /// The router has stopped after all its requests had finished.
    ROUTER_STOPPED = 1008 Info "router_stopped";
    /// A frame with an unexpected key or offset arrived; it was not delivered.
    ROUTER_FRAME_MISFIT = 1009 Critical "router_frame_misfit";
    /// An endpoint failed a request or was lost in the middle of its response; the router
    /// continues with another one.
    ROUTER_ENDPOINT_LOST = 1010 Warning "router_endpoint_lost";
    /// The ledger fenced this incarnation of the router.
    ROUTER_FENCED = 1011 Critical "router_fenced";
    /// A request ended without a complete response although it may have run.
    ROUTER_OUTCOME_UNKNOWN = 1012 Error "router_outcome_unknown";
    /// The grant account refused a charge: an invariant is violated.
    ROUTER_SETTLEMENT_REFUSED = 1013 Critical "router_settlement_refused";
    /// The outcome of a claimed request could not be reported to the ledger.
    ROUTER_CLAIM_LEFT_OPEN = 1014 Warning "router_claim_left_open";
    /// The sidecar listens.
    SIDECAR_LISTENING = 2001 Info "sidecar_listening";
    /// The endpoint receives no new work from now on.
    SIDECAR_LEAVING = 2002 Info "sidecar_leaving";
    /// The engine broke off in the middle of its response.
    SIDECAR_ENGINE_BROKEN = 2003 Warning "sidecar_engine_broken";
    /// A router's incarnation was fenced: its requests to start runs are refused from now on.
    SIDECAR_FENCED_ROUTER = 2004 Warning "sidecar_fenced_router";
    /// An order with a stale fencing number was refused.
    SIDECAR_STALE_ORDER = 2005 Warning "sidecar_stale_order";
    /// The newest fencing number was learned from the ledger.
    SIDECAR_NUMBER_LEARNED = 2006 Info "sidecar_number_learned";
    /// The sidecar has no open follow stream from any replica of the ledger.
    SIDECAR_OUT_OF_TOUCH = 2007 Warning "sidecar_out_of_touch";
    /// The sidecar has stopped after all its runs had finished.
    SIDECAR_STOPPED = 2008 Info "sidecar_stopped";
    /// An invariant of the run table is violated.
    SIDECAR_INVARIANT_BROKEN = 2009 Critical "sidecar_invariant_broken";
    /// The ledger has removed this incarnation after a long time without heartbeats; the sidecar
    /// starts a new one.
    SIDECAR_GONE = 2010 Warning "sidecar_gone";
    /// The relay listens.
    RELAY_LISTENING = 2011 Info "relay_listening";
    /// The relay has stopped.
    RELAY_STOPPED = 2012 Info "relay_stopped";
    /// The endpoint turned work away and asks for a pause; it gets no work in it.
    SIDECAR_ENDPOINT_PAUSE = 2013 Info "sidecar_endpoint_pause";
    /// The pause that the endpoint asked for is over.
    SIDECAR_ENDPOINT_PAUSE_OVER = 2014 Info "sidecar_endpoint_pause_over";
    /// All roles of the quick start are running.
    LOCAL_READY = 4001 Info "local_ready";
}
