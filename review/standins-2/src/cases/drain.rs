//! DRAIN: the settings files change and name another address of the platform's API. Routers read the list at the
//! old one for good, and go on sending to a runner that is draining.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{id_of, request, send_once};
use crate::fleet::{CONTACT, CaseError, Config, DRAIN, Fleet, KEY, LOOKUP_PATH};
use crate::record::Record;
use crate::runner::Work;

/// Time between two rounds of requests, one to each router.
const ROUND: Duration = Duration::from_millis(100);
/// How long requests are sent after the list has shown the runner as draining.
const WATCHED: Duration = Duration::from_millis(9_000);
/// `max_lag_ms`: the list of this stand-in never lags.
const DEADLINE: Duration = Duration::from_secs(1);

pub fn run(record: &Record, trouble: bool) -> Result<bool, CaseError> {
    let work = Work {
        first: Duration::from_millis(10),
        gap: Duration::from_millis(20),
        body_bytes: 800,
        report: (0, 0),
    };
    let mut fleet = Fleet::start_with(record, work, work, &Config::first())?;
    if trouble {
        fleet.move_cloud()?;
        fleet.rewrite_settings()?;
        record.line("the settings files name another address of the platform's API; SIGHUP to all");
    }
    // Twice the time after which machines are in touch again.
    sleep(2 * CONTACT);
    let calls_before = fleet.list.calls();
    let leaving = fleet.desks[0].entry.id.clone();
    fleet.list.update(|entries| {
        for entry in entries.iter_mut().filter(|entry| entry.id == leaving) {
            entry.draining = true;
        }
    });
    let shown_at = Instant::now();
    record.line(&format!("the list shows {leaving} as draining"));
    let mut answered = 0;
    let mut refused = 0;
    while shown_at.elapsed() < WATCHED {
        for machine in fleet.edges() {
            let lookup = request("GET", &format!("{LOOKUP_PATH}x"), KEY, DEADLINE, Vec::new());
            match send_once(fleet.frontend(machine), &lookup, DEADLINE) {
                Ok(response) if response.status == 200 => answered += 1,
                Ok(response) => {
                    refused += 1;
                    record.line(&format!(
                        "lookup {}: status {}",
                        id_of(&lookup),
                        response.status
                    ));
                }
                Err(e) => record.line(&format!("lookup {}: {e}", id_of(&lookup))),
            }
        }
        sleep(ROUND);
    }
    let due = shown_at + DRAIN;
    let runs = fleet.runs.all();
    let to_leaving = runs.iter().filter(|run| run.runner == leaving);
    let late: Vec<_> = to_leaving.filter(|run| run.at > due).collect();
    if let Some(last) = late.last() {
        record.line(&format!(
            "{} requests reached {leaving} later than drain_ms after the list had shown it; the last one {} ms \
             after that",
            late.len(),
            (last.at - shown_at).as_millis()
        ));
    }
    record.line(&format!(
        "answered: {answered}, refused: {refused}; calls to the list meanwhile: {}",
        fleet.list.calls() - calls_before
    ));
    if answered == 0 {
        return Err(CaseError("no lookup was answered".into()));
    }
    Ok(late.is_empty())
}
