//! Runs one case of the second review: `review-2 CASE FOLDER`, from the repository's root.
//!
//! Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cases;
mod client;
mod fleet;
mod http;
mod list;
mod operator;
mod process;
mod record;
mod runner;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use fleet::CaseError;

/// Exit code if the rule was broken.
const BROKEN: i32 = 1;
/// Exit code if the case could not run.
const NOT_RUN: i32 = 2;
/// A case that is still running after this time is ended.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    let Ok(record) = record else {
        eprintln!("record.txt can't be written");
        exit(NOT_RUN);
    };
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        watched.line("the time limit of the case is over");
        process::kill_all();
        exit(NOT_RUN);
    });
    record.line(&format!("case {case}, disruption: {trouble}"));
    let outcome = cases::run(&case, &record, trouble);
    process::kill_all();
    match outcome {
        Ok(true) => record.line("verdict: the rule held"),
        Ok(false) => {
            record.line("verdict: the rule was broken");
            exit(BROKEN);
        }
        Err(CaseError(reason)) => {
            record.line(&format!("the case could not run: {reason}"));
            exit(NOT_RUN);
        }
    }
}
