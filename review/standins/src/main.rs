//! Runs one case of the review: `review_standins CASE RECORD`, from the root of the repository.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod case_budget;
mod case_first_start;
mod case_list;
mod case_resume;
mod case_stop;
mod case_versions;
mod client;
mod engine;
mod fleet;
mod http;
mod record;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use fleet::{Fleet, RUNNERS, Runner};
use record::Record;

/// The whole run takes less than this.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// The result of a case.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run, for this reason.
    NotRun(String),
}

/// What a case is given.
pub struct Setup {
    /// The deployment, not started.
    pub fleet: Fleet,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("review_standins CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let code = run(case, Path::new(record), &folder);
    if std::env::var_os("REVIEW_KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(code)
}

fn run(case: &str, record: &Path, folder: &PathBuf) -> u8 {
    let (gap, ending) = match case {
        "stop" | "list" => (30, 0),
        "resume" => (60, 60),
        "versions" => (50, 0),
        _ => (20, 0),
    };
    let runners: &[Runner] = match case {
        "versions" => &case_versions::RUNNERS,
        _ => &RUNNERS,
    };
    let times = (Duration::from_millis(gap), Duration::from_millis(ending));
    let started = std::fs::create_dir_all(folder)
        .and_then(|()| Record::create(record))
        .and_then(|record| Fleet::new(&record, folder, times, runners));
    let fleet = match started {
        Ok(fleet) => fleet,
        Err(e) => {
            eprintln!("can't start: {e}");
            return 2;
        }
    };
    let watched = fleet.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.record.line("RESULT: not run: out of time");
        watched.record.flush();
        watched.stop();
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    fleet
        .record
        .line(format!("case {case}, trouble: {trouble}"));
    let setup = Setup {
        fleet: fleet.clone(),
        trouble,
    };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case {
        "stop" => case_stop::run(&setup),
        "budget" => case_budget::run(&setup),
        "resume" => case_resume::run(&setup),
        "versions" => case_versions::run(&setup),
        "list" => case_list::run(&setup),
        "first-start" => case_first_start::run(&setup),
        _ => Verdict::NotRun("unknown case".into()),
    }));
    fleet.stop();
    let (code, text) = match played {
        Ok(Verdict::Broken) => (1, "RESULT: the rule is broken".to_string()),
        Ok(Verdict::Held) => (0, "RESULT: the rule held".to_string()),
        Ok(Verdict::NotRun(why)) => (2, format!("RESULT: not run: {why}")),
        Err(_) => (2, "RESULT: not run: the stand-in failed".to_string()),
    };
    fleet.record.line(&text);
    fleet.record.flush();
    println!("{text}");
    code
}
