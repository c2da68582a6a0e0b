//! LOST around planned work: during a planned stop, a client that pauses in the middle of its answer loses the
//! rest, although the grace is not over.

use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Connection, count_events, id_of, request, send_once};
use crate::fleet::{CONTACT, CaseError, Config, FULL_ZONE, Fleet, KEY, REPORT_PATH, STREAM_PATH};
use crate::process::Signal;
use crate::record::Record;
use crate::runner::Work;

/// Events of one report, and the bytes of each: together more than the sockets of both sides take in while nobody
/// reads.
const REPORT: (u64, usize) = (200, 60_000);
/// For how long the client stops reading; `idle_timeout_ms` is 15,000.
const PAUSE: Duration = Duration::from_millis(1_500);
/// What the client's kernel takes in meanwhile.
const CLIENT_BUFFER_BYTES: i32 = 64 << 10;
/// Two routers of a zone are stopped one after the other with this pause, as on the sheet.
const GAP: Duration = Duration::from_millis(1_000);
/// When the clients connect, counted from the first SIGTERM.
const CONNECT_AFTER: Duration = Duration::from_millis(3_800);
/// Requests for a report sent to each router.
const REPORTS: usize = 3;
const DEADLINE: Duration = Duration::from_secs(8);
/// The long streams begin so long before the first SIGTERM.
const STREAM_LEAD: Duration = Duration::from_millis(300);

/// What became of one request.
struct Outcome {
    id: String,
    status: u16,
    is_complete: bool,
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, CaseError> {
    let engine = Work {
        first: Duration::from_millis(30),
        gap: Duration::from_millis(20),
        body_bytes: 800,
        report: REPORT,
    };
    let desk = Work {
        gap: Duration::from_millis(1),
        ..engine
    };
    let fleet = Fleet::start_with(record, engine, desk, &Config::first())?;
    // The zone has three routers. Two of them are stopped in turn, so that fewer than half are in rotation,
    // and the platform uses all of them.
    let stopped = [FULL_ZONE[1], FULL_ZONE[2]];
    for machine in stopped {
        // It has served requests of the route before.
        for _ in 0..8 {
            report(record, &fleet, machine, Duration::ZERO)?;
        }
    }
    sleep(CONTACT);
    // Each of them also serves a stream that lasts for some seconds, as any busy router does, and so goes on
    // running after the SIGTERM.
    let streams = stopped.map(|machine| long_stream(record, &fleet, machine));
    sleep(STREAM_LEAD);
    let started = Instant::now();
    for machine in stopped {
        if trouble {
            record.line(&format!("SIGTERM to the router of machine {machine}"));
            if let Some(process) = fleet.processes.get(&(machine, "router")) {
                process.signal(Signal::Term);
            }
        }
        sleep(GAP);
    }
    sleep(CONNECT_AFTER.saturating_sub(started.elapsed()));
    let outcomes: Vec<_> = thread::scope(|scope| {
        let sent = stopped
            .iter()
            .flat_map(|machine| (0..REPORTS).map(move |_| *machine));
        let fleet = &fleet;
        let sent: Vec<_> = sent
            .map(|machine| scope.spawn(move || report(record, fleet, machine, PAUSE)))
            .collect();
        sent.into_iter()
            .filter_map(|report| report.join().ok())
            .collect()
    });
    for stream in streams {
        // Its end is in the record.
        let _ = stream.join();
    }
    let runs = fleet.runs.all();
    let mut lost = 0;
    let mut complete = 0;
    for outcome in outcomes {
        let Outcome {
            id,
            status,
            is_complete,
        } = outcome?;
        let has_run = runs.iter().any(|run| run.id == id);
        lost += u32::from(has_run && status == 200 && !is_complete);
        complete += u32::from(is_complete && status == 200);
    }
    record.line(&format!(
        "reports that ran and whose answer was cut: {lost}; answered: {complete}"
    ));
    if !trouble && complete == 0 {
        return Err(CaseError("no report came whole".into()));
    }
    Ok(lost == 0)
}

/// Begins a stream of five seconds.
fn long_stream(record: &Record, fleet: &Fleet, machine: u8) -> thread::JoinHandle<()> {
    let more = vec![
        ("Model-Id".to_owned(), "m".to_owned()),
        ("Token-Count".to_owned(), "100,750".to_owned()),
        ("Prefix-Hash".to_owned(), "5c1e07a2:100".to_owned()),
    ];
    let request = request("POST", &format!("{STREAM_PATH}s"), KEY, DEADLINE, more);
    let (record, addr) = (record.clone(), fleet.frontend(machine));
    thread::spawn(move || {
        let response = send_once(addr, &request, DEADLINE);
        let events = response.map(|response| count_events(&response.body));
        record.line(&format!(
            "stream at machine {machine}: {events:?} of 250 events"
        ));
    })
}

/// Requests one report on a new connection and pauses after the head of its answer.
fn report(
    record: &Record,
    fleet: &Fleet,
    machine: u8,
    pause: Duration,
) -> Result<Outcome, CaseError> {
    let report = request(
        "POST",
        &format!("{REPORT_PATH}new"),
        KEY,
        DEADLINE,
        Vec::new(),
    );
    let id = id_of(&report);
    let mut connection = Connection::open(fleet.frontend(machine))?;
    connection.limit_receive_buffer(CLIENT_BUFFER_BYTES);
    let sent = Instant::now();
    connection.send(&report, DEADLINE)?;
    let (status, is_complete, bytes) = connection.read_after_pause(pause)?;
    if !pause.is_zero() {
        record.line(&format!(
            "report {id} at machine {machine}: status {status}, {bytes} bytes, whole: {is_complete}, {} ms after \
             it was requested",
            sent.elapsed().as_millis()
        ));
    }
    Ok(Outcome {
        id,
        status,
        is_complete,
    })
}
