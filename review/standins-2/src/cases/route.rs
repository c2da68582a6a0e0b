//! ROUTE: the platform's list has an entry from another writer, in which a field is missing. It names no runner to use,
//! but orders go to the runner at its address, which is one of another service.

use std::thread::sleep;
use std::time::Duration;

use crate::client::{id_of, request, send_once};
use crate::fleet::{CONTACT, CaseError, Config, DESK, ENGINES, Fleet, KEY, ORDER_PATH};
use crate::record::Record;
use crate::runner::Work;

/// Orders sent to each router.
const ORDERS: usize = 20;
const DEADLINE: Duration = Duration::from_secs(2);

pub fn run(record: &Record, trouble: bool) -> Result<bool, CaseError> {
    let work = Work {
        first: Duration::from_millis(20),
        gap: Duration::from_millis(5),
        body_bytes: 800,
        report: (0, 0),
    };
    let fleet = Fleet::start_with(record, work, work, &Config::first())?;
    let engine = fleet.engines[0].entry.clone();
    if trouble {
        let entry = engine.json().replace(ENGINES, DESK);
        let entry = entry.replace(r#""warmup_left_ms":0,"#, "");
        record.line(&format!(
            "the list begins with an entry from another writer: {entry}"
        ));
        fleet.list.set_foreign_entry(entry);
    }
    sleep(CONTACT);
    let mut answered = 0;
    for _ in 0..ORDERS {
        for machine in fleet.edges() {
            let order = request(
                "POST",
                &format!("{ORDER_PATH}new"),
                KEY,
                DEADLINE,
                Vec::new(),
            );
            match send_once(fleet.frontend(machine), &order, DEADLINE) {
                Ok(response) if response.status == 200 => answered += 1,
                other => record.line(&format!(
                    "order {}: {:?}",
                    id_of(&order),
                    other.map(|r| r.status)
                )),
            }
        }
    }
    let runs = fleet.runs.all();
    // No other requests were sent, and no configuration lets orders go to the engines.
    let wrong = runs.iter().filter(|run| run.runner == engine.id).count();
    record.line(&format!(
        "orders answered: {answered}; run by {}, a runner of {ENGINES}: {wrong}",
        engine.id
    ));
    if answered == 0 {
        return Err(CaseError("no order was answered".into()));
    }
    Ok(wrong == 0)
}
