//! Numbered log events of a ledger replica, from 3001. docs/EVENTS.md describes their meaning and
//! the response to each.

use slog::Level;

use crate::events::Event;

macro_rules! catalogue {
    ($($name:ident = $number:literal $level:ident $text:literal: $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $name: Event = Event {
                number: $number,
                name: $text,
                level: Level::$level,
            };
        )*

        /// Every event, in the order of numbers.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

catalogue! {
    LEDGER_LISTENING = 3001 Info "ledger_listening":
        "The replica has recovered its data folder and is listening.";
    LEDGER_FOUNDED = 3002 Info "ledger_founded":
        "All founders have empty disks; this replica has founded a new ledger.";
    LEDGER_JOINING = 3003 Info "ledger_joining":
        "The disk is empty and a ledger exists; the replica asks to join as a learner.";
    LEDGER_LEADS = 3004 Info "ledger_leads":
        "This replica has been elected leader in this term.";
    LEDGER_DEPOSED = 3005 Warning "ledger_deposed":
        "This replica no longer leads; proposals in flight are in doubt and must be resent.";
    LEDGER_MEMBERS = 3006 Info "ledger_members":
        "Voters or learners have changed.";
    LEDGER_SNAPSHOT = 3007 Debug "ledger_snapshot":
        "A snapshot is on disk; older entries are removed.";
    LEDGER_INSTALLED = 3008 Info "ledger_installed":
        "A snapshot from the leader has replaced this replica's log and state.";
    LEDGER_DISK_FAILED = 3009 Critical "ledger_disk_failed":
        "A write or sync failed. The replica has stopped for good: repair or empty the disk.";
    LEDGER_INVARIANT = 3010 Critical "ledger_invariant":
        "An invariant is violated. The replica has stopped: keep its data folder and report it.";
    LEDGER_INSTANCE_GONE = 3011 Warning "ledger_instance_gone":
        "An instance has sent no heartbeat for too long and is declared gone.";
    LEDGER_GRANT_HELD = 3012 Warning "ledger_grant_held":
        "A fenced grant can't be closed, as a lost sidecar may have charged it; see `write-off`.";
    LEDGER_GRANT_CLOSED = 3013 Info "ledger_grant_closed":
        "A fenced grant is being closed by the evidence of all sidecars.";
    LEDGER_FETCH_FAILED = 3014 Warning "ledger_fetch_failed":
        "A snapshot could not be fetched from the leader; the fetch is retried.";
    LEDGER_STOPPED = 3015 Info "ledger_stopped":
        "The replica has stopped as planned.";
    LEDGER_INSTANCE_SILENT = 3017 Warning "ledger_instance_silent":
        "An instance has sent no heartbeat for some seconds; it gets no new work until it does.";
    LEDGER_FOUNDER_UNKNOWN = 3016 Warning "ledger_founder_unknown":
        "Another instance answers at a founder's address; check the settings.";
    LEDGER_REPLICA_LOST = 3018 Warning "ledger_replica_lost":
        "A replica was unresponsive for too long and is removed; it may join again.";
    LEDGER_YIELDS = 3019 Warning "ledger_yields":
        "An entry waits too long for a majority; this replica hands over leadership.";
    LEDGER_MAJORITY_LOST = 3020 Warning "ledger_majority_lost":
        "Too few voters respond to this leader; nothing is committed until a majority does.";
    LEDGER_LEARNER_SILENT = 3021 Warning "ledger_learner_silent":
        "A learner does not respond; it can't become a voter until it does.";
    LEDGER_LINK_UP = 3022 Info "ledger_link_up":
        "This replica receives the messages of another one.";
    LEDGER_LINK_LOST = 3023 Warning "ledger_link_lost":
        "Another replica can't be reached; its messages are not received.";
    LEDGER_SHARE_DROPPED = 3024 Info "ledger_share_dropped":
        "An organisation or route with a share was removed from the configuration; its share is dropped.";
}
