//! Validation of commands before they are appended to the log, and the leader's time in them.

use std::time::SystemTime;

use anvil_world::command::{Denial, Edit};
use anvil_world::prelude::*;

/// Refuses a change whose text is not a valid document for its path, and an order without a reason.
pub fn validate(command: &Command) -> Option<Answer> {
    let needs_reason = match command {
        Command::LiftQuarantine(lift) => Some((&lift.reason, "to lift a quarantine")),
        Command::SetShare(order) => Some((&order.reason, "that sets a share")),
        _ => None,
    };
    if let Some((reason, order)) = needs_reason
        && reason.trim().is_empty()
    {
        let message = format!("an order {order} needs a reason");
        return Some(Answer::Denied(Denial::Settings { message }));
    }
    let Command::Change(change) = command else {
        return None;
    };
    let Edit::Put(text) = &change.edit else {
        return None;
    };
    let checked = Document::check(&change.path, text);
    let message = checked.err()?.to_string();
    Some(Answer::Denied(Denial::Settings { message }))
}

/// Sets the time at which the leader accepted the command; false if it has none.
pub fn set_time(command: &mut Command, now: SystemTime) -> bool {
    let at = match command {
        Command::Change(change) => &mut change.at,
        Command::TopUp(top_up) => &mut top_up.at,
        Command::WriteOff(write_off) => &mut write_off.at,
        Command::Claim(claim) => &mut claim.at,
        Command::Drain(drain) => &mut drain.at,
        Command::ReplaceRouting(replace) => &mut replace.at,
        Command::ReportCrash(report) => &mut report.at,
        Command::ReportLimit(report) => &mut report.at,
        Command::LiftQuarantine(lift) => &mut lift.at,
        Command::SetShare(order) => &mut order.at,
        Command::RecordOrigins(report) => &mut report.at,
        Command::Noop
        | Command::GrantBatch(_)
        | Command::FenceRouter(_)
        | Command::CloseGrant { .. }
        | Command::SettleClaim(_)
        | Command::Join(_)
        | Command::SetPresence(_)
        | Command::Order(_)
        | Command::ClearSuspects(_)
        | Command::RecordVersions(_) => return false,
    };
    *at = now;
    true
}
