//! Numbered log events of a ledger replica, from 3001. docs/EVENTS.md lists them all.

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
        "The replica has read its data folder and listens.";
    LEDGER_FOUNDED = 3002 Info "ledger_founded":
        "All founders are there with empty disks; this one has begun a new ledger.";
    LEDGER_JOINING = 3003 Info "ledger_joining":
        "The disk is empty and a ledger exists; the replica asks to be taken in as a learner.";
    LEDGER_LEADS = 3004 Info "ledger_leads":
        "This replica leads from this term on.";
    LEDGER_DEPOSED = 3005 Warning "ledger_deposed":
        "This replica leads no more; proposals under way are in doubt and must be resent.";
    LEDGER_MEMBERS = 3006 Info "ledger_members":
        "Voters or learners have changed.";
    LEDGER_SNAPSHOT = 3007 Debug "ledger_snapshot":
        "A snapshot is on disk; older entries are removed.";
    LEDGER_INSTALLED = 3008 Info "ledger_installed":
        "A snapshot from the leader has replaced this replica's log and state.";
    LEDGER_DISK_FAILED = 3009 Critical "ledger_disk_failed":
        "A write or sync failed. The replica has stopped for good: mend or empty the disk.";
    LEDGER_INVARIANT = 3010 Critical "ledger_invariant":
        "An invariant does not hold. The replica has stopped: keep its data folder and report it.";
    LEDGER_INSTANCE_GONE = 3011 Warning "ledger_instance_gone":
        "An instance gave no sign of life for too long and is declared gone.";
    LEDGER_GRANT_HELD = 3012 Warning "ledger_grant_held":
        "A fenced grant can't be closed: a lost sidecar may have charged it. See the write-off.";
    LEDGER_GRANT_CLOSED = 3013 Info "ledger_grant_closed":
        "A fenced grant is to be closed by the evidence of all sidecars.";
    LEDGER_FETCH_FAILED = 3014 Warning "ledger_fetch_failed":
        "A snapshot could not be fetched from the leader; it is tried again.";
    LEDGER_STOPPED = 3015 Info "ledger_stopped":
        "The replica has ended as planned.";
    LEDGER_INSTANCE_SILENT = 3017 Warning "ledger_instance_silent":
        "An instance was not heard of for some seconds; it gets no new work until it is.";
    LEDGER_FOUNDER_UNKNOWN = 3016 Warning "ledger_founder_unknown":
        "A founder's address is answered by another instance; check the settings.";
    LEDGER_REPLICA_LOST = 3018 Warning "ledger_replica_lost":
        "A replica has been silent for so long that it is taken out; it may join again.";
    LEDGER_YIELDS = 3019 Warning "ledger_yields":
        "An entry waits too long for a majority; this replica leaves the lead to another.";
    LEDGER_MAJORITY_LOST = 3020 Warning "ledger_majority_lost":
        "Too few voters answer this leader; nothing is committed until a majority is back.";
    LEDGER_LEARNER_SILENT = 3021 Warning "ledger_learner_silent":
        "A learner was taken in and answers nothing; it can't vote until it does.";
    LEDGER_LINK_UP = 3022 Info "ledger_link_up":
        "This replica hears what another one has to say.";
    LEDGER_LINK_LOST = 3023 Warning "ledger_link_lost":
        "Another replica can't be reached; what it has to say is not heard.";
}
