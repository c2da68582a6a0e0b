//! ORDER: a runner crashes and starts again under its id with another version of its software. Until the list shows
//! that, routers take it for one of the old version, and its streams go on at such a one when it crashes again.

use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::{id_of, request, send_once};
use crate::fleet::{CaseError, Config, Fleet, KEY, STREAM_PATH};
use crate::record::Record;
use crate::runner::Work;

/// A runner that crashes is back after this time.
const DOWN: Duration = Duration::from_millis(400);
/// `max_lag_ms`: the list shows the new version so long after that.
const LAG: Duration = Duration::from_millis(800);
/// Streams that begin while the runner is back and the list doesn't show it.
const STREAMS: usize = 40;
/// Time between two of them.
const INTERVAL: Duration = Duration::from_millis(10);
/// Time from there to the second crash.
const UP: Duration = Duration::from_millis(2_500);
/// Events of a stream, three tokens each: six seconds.
const EVENTS: u64 = 200;
const DEADLINE: Duration = Duration::from_secs(15);
/// More streams than these break the rule.
const TOLERATED: usize = 2;

/// What a client holds of a stream.
struct Held {
    id: String,
    status: u16,
    old: usize,
    new: usize,
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, CaseError> {
    let work = Work {
        first: Duration::from_millis(40),
        gap: Duration::from_millis(30),
        body_bytes: 800,
        report: (0, 0),
    };
    let fleet = Fleet::start_with(record, work, work, &Config::first())?;
    let edges = fleet.edges();
    let runner = fleet.engines[0].clone();
    let id = runner.entry.id.clone();
    if trouble {
        record.line(&format!("{id} (v1) crashes"));
        runner.crash();
        sleep(DOWN);
        runner.start_again("v2")?;
        record.line(&format!("{id} starts again under its id, with version v2"));
    }
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let addr = fleet.frontend(edges[number % edges.len()]);
            let record = record.clone();
            let stream = thread::spawn(move || stream(&record, addr, number));
            sleep(INTERVAL);
            stream
        })
        .collect();
    sleep(LAG.saturating_sub(INTERVAL * STREAMS as u32));
    if trouble {
        fleet.list.update(|entries| {
            for entry in entries.iter_mut().filter(|entry| entry.id == id) {
                entry.version = "v2";
            }
        });
        record.line(&format!("the list shows {id} with version v2"));
    }
    sleep(UP);
    if trouble {
        record.line(&format!("{id} (v2) crashes"));
        runner.crash();
        sleep(DOWN);
        runner.start_again("v2")?;
    }
    let mut mixed = 0;
    let mut whole = 0;
    for stream in streams {
        let Ok(Ok(held)) = stream.join() else {
            continue;
        };
        let Held {
            id,
            status,
            old,
            new,
        } = held;
        whole += usize::from((old + new) as u64 == EVENTS);
        if old > 0 && new > 0 {
            mixed += 1;
            record.line(&format!(
                "stream {id}: status {status}, {new} events of v2 and {old} of v1 in one answer"
            ));
        }
    }
    record.line(&format!(
        "of {STREAMS} streams {whole} are whole, {mixed} hold events of two versions; {TOLERATED} are tolerated"
    ));
    if whole == 0 {
        return Err(CaseError("no stream came whole".into()));
    }
    Ok(mixed <= TOLERATED)
}

fn stream(record: &Record, addr: std::net::SocketAddr, number: usize) -> std::io::Result<Held> {
    let more = vec![
        ("Model-Id".to_owned(), "m".to_owned()),
        ("Token-Count".to_owned(), format!("100,{}", EVENTS * 3)),
        (
            "Prefix-Hash".to_owned(),
            format!("{:08x}:100", 0x7000 + number),
        ),
    ];
    let request = request(
        "POST",
        &format!("{STREAM_PATH}{number}"),
        KEY,
        DEADLINE,
        more,
    );
    let response = send_once(addr, &request, DEADLINE);
    let response =
        response.inspect_err(|e| record.line(&format!("stream {}: {e}", id_of(&request))))?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    Ok(Held {
        id: id_of(&request),
        status: response.status,
        old: text.matches("data: v1").count(),
        new: text.matches("data: v2").count(),
    })
}
