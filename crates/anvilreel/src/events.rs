//! Numbered log events. docs/EVENTS.md says what each one means and what to do.
//!
//! Numbers: router 1000s, sidecar 2000s, ledger 3000s, operator and local 4000s, money, claims
//! and runs 5000s. A number is never used again for something else.

use slog::Level;

/// One kind of log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Its number in the catalogue.
    pub number: u16,
    /// Its name in the catalogue, and the message of the log line.
    pub name: &'static str,
    /// How urgent it is.
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

/// Makes a catalogue of numbered events: one constant each, and all of them in `ALL`.
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

        /// Every event, in the order of numbers.
        pub const ALL: &[$crate::events::Event] = &[$($name),*];
    };
}

event_catalogue! {
    /// The router listens.
    ROUTER_LISTENING = 1001 Info "router_listening";
    /// The router has the tree and takes callers.
    ROUTER_READY = 1002 Info "router_ready";
    /// No replica of the ledger is being followed.
    ROUTER_OUT_OF_TOUCH = 1003 Warning "router_out_of_touch";
    /// A replica of the ledger is followed again.
    ROUTER_IN_TOUCH = 1004 Info "router_in_touch";
    /// Newer settings are in force.
    ROUTER_SETTINGS_IN_FORCE = 1005 Info "router_settings_in_force";
    /// A document of the tree can't be read by this build.
    ROUTER_DOCUMENT_SKIPPED = 1006 Error "router_document_skipped";
    /// The router is stopping as planned.
    ROUTER_LEAVING = 1007 Info "router_leaving";
    /// The router has stopped with all requests finished.
    ROUTER_STOPPED = 1008 Info "router_stopped";
    /// A frame of another key or offset came; it was not delivered.
    ROUTER_FRAME_MISFIT = 1009 Critical "router_frame_misfit";
    /// An endpoint failed a request or was lost in mid-answer; another one is tried.
    ROUTER_ENDPOINT_LOST = 1010 Warning "router_endpoint_lost";
    /// The ledger fenced this life of the router.
    ROUTER_FENCED = 1011 Critical "router_fenced";
    /// A request ended without a whole answer although it may have run.
    ROUTER_OUTCOME_UNKNOWN = 1012 Error "router_outcome_unknown";
    /// A charge was refused by the grant account: an invariant is violated.
    ROUTER_SETTLEMENT_REFUSED = 1013 Critical "router_settlement_refused";
    /// The end of a claimed request could not be told to the ledger.
    ROUTER_CLAIM_LEFT_OPEN = 1014 Warning "router_claim_left_open";
    /// The sidecar listens.
    SIDECAR_LISTENING = 2001 Info "sidecar_listening";
    /// The endpoint gets no new work any more.
    SIDECAR_LEAVING = 2002 Info "sidecar_leaving";
    /// The engine broke off in mid-answer.
    SIDECAR_ENGINE_BROKEN = 2003 Warning "sidecar_engine_broken";
    /// A router's life was fenced: its starts are refused from now on.
    SIDECAR_FENCED_ROUTER = 2004 Warning "sidecar_fenced_router";
    /// An order with an old fencing number was refused.
    SIDECAR_STALE_ORDER = 2005 Warning "sidecar_stale_order";
    /// The newest fencing number was learned from the ledger.
    SIDECAR_NUMBER_LEARNED = 2006 Info "sidecar_number_learned";
    /// No replica of the ledger is being followed.
    SIDECAR_OUT_OF_TOUCH = 2007 Warning "sidecar_out_of_touch";
    /// The sidecar has stopped with all runs finished.
    SIDECAR_STOPPED = 2008 Info "sidecar_stopped";
    /// An invariant of the runs is broken.
    SIDECAR_INVARIANT_BROKEN = 2009 Critical "sidecar_invariant_broken";
    /// The ledger holds this life to be over after a long silence; a new one begins.
    SIDECAR_GONE = 2010 Warning "sidecar_gone";
    /// The relay listens.
    RELAY_LISTENING = 2011 Info "relay_listening";
    /// The relay has stopped.
    RELAY_STOPPED = 2012 Info "relay_stopped";
    /// All roles of the quick start run.
    LOCAL_READY = 4001 Info "local_ready";
}
