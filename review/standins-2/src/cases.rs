//! The cases. Each returns whether its rule held.

mod denied;
mod drain;
mod invalid;
mod limits;
mod lost;
mod order;
mod route;
mod taken_up;

use crate::fleet::CaseError;
use crate::record::Record;

/// Runs a case; with `trouble`, the disruption happens.
pub fn run(case: &str, record: &Record, trouble: bool) -> Result<bool, CaseError> {
    match case {
        "lost" => lost::run(record, trouble),
        "drain" => drain::run(record, trouble),
        "limits" => limits::run(record, trouble),
        "denied" => denied::run(record, trouble),
        "order" => order::run(record, trouble),
        "taken-up" => taken_up::run(record, trouble),
        "route" => route::run(record, trouble),
        "invalid" => invalid::run(record, trouble),
        _ => Err(CaseError(format!("no case {case}"))),
    }
}
