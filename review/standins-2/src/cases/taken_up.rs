//! LOST, streams that clients take up again: routers are killed with streams open. What these had set aside counts as
//! spent, so most of the streams are refused with 402 when they are taken up, although the tenant's `prepaid` covers
//! them all.

use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{count_events, id_of, request, send_and_keep};
use crate::fleet::{CONTACT, CaseError, Config, Fleet, KEY, OTHER_KEY, STREAM_PATH};
use crate::http::{Request, Response, header};
use crate::process::Signal;
use crate::record::Record;
use crate::runner::{TOKENS_PER_EVENT, Work};

/// The tenant's `prepaid`.
const PREPAID: u64 = 97_000;
/// Tokens of a prompt, the most output tokens, and those that an answer has.
const PROMPT: u64 = 1_000;
const MOST_OUTPUT: u64 = 3_000;
const OUTPUT: u64 = 600;
/// Streams of the tenant, and new ones of another tenant later.
const STREAMS: usize = 18;
/// From the beginning of the streams to the kill.
const KILLED_AFTER: Duration = Duration::from_secs(2);
/// Killed processes are back after this time.
const DOWN: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(15);
/// Tries of a client that is told to come back later, as on the users' own day of this kind.
const TRIES: usize = 3;
/// The rule holds for at least so many streams.
const LEAST_TAKEN_UP: usize = 12;

pub fn run(record: &Record, trouble: bool) -> Result<bool, CaseError> {
    let work = Work {
        first: Duration::from_millis(40),
        gap: Duration::from_millis(30),
        body_bytes: 800,
        report: (0, 0),
    };
    let config = Config {
        prepaid: Some(PREPAID),
        ..Config::first()
    };
    let mut fleet = Fleet::start_with(record, work, work, &config)?;
    let edges = fleet.edges();
    // Four of the five machines with a router, of eight of the system.
    let killed = [edges[0], edges[1], edges[3], edges[4]];
    let begun = Instant::now();
    let until = begun + DEADLINE;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let addr = fleet.frontend(killed[number % killed.len()]);
            let stream = stream(number, KEY, DEADLINE);
            let sent = stream.clone();
            let answer = thread::spawn(move || send_and_keep(addr, &sent, DEADLINE));
            (stream, answer)
        })
        .collect();
    sleep(KILLED_AFTER);
    if trouble {
        for machine in killed {
            record.line(&format!("SIGKILL to the router of machine {machine}"));
            if let Some(process) = fleet.processes.get(&(machine, "router")) {
                process.signal(Signal::Kill);
            }
        }
        sleep(DOWN);
        for machine in killed {
            fleet.start_process(machine, "router")?;
        }
        fleet.wait_until_ready(&edges)?;
    }
    // All machines are in touch again by then.
    sleep((KILLED_AFTER + DOWN + 2 * CONTACT).saturating_sub(begun.elapsed()));
    let mut taken_up = Vec::new();
    let mut new = Vec::new();
    let mut used = 0;
    for (number, (first, answer)) in streams.into_iter().enumerate() {
        let Ok(Ok((response, is_whole))) = answer.join() else {
            record.line(&format!("stream {}: no answer", id_of(&first)));
            continue;
        };
        let events = count_events(&response.body);
        used += PROMPT + events * TOKENS_PER_EVENT;
        if is_whole {
            continue;
        }
        record.line(&format!(
            "stream {} broke off after event {events}",
            id_of(&first)
        ));
        let addr = fleet.frontend(edges[number % edges.len()]);
        let first = id_of(&first);
        taken_up.push(thread::spawn(move || {
            take_up(number, &first, events, addr, until)
        }));
        let other = stream(STREAMS + number, OTHER_KEY, DEADLINE);
        new.push(thread::spawn(move || send_and_keep(addr, &other, DEADLINE)));
    }
    let count = taken_up.len();
    let mut went_on = 0;
    for answer in taken_up {
        let Ok((id, before, answer)) = answer.join() else {
            continue;
        };
        let (status, events) = match &answer {
            Ok((response, _)) => (response.status, count_events(&response.body)),
            Err(_) => (0, 0),
        };
        record.line(&format!(
            "taken up as {id}: status {status}, {events} more events"
        ));
        went_on += usize::from(status == 200 && (before + events) * TOKENS_PER_EVENT == OUTPUT);
    }
    let new_count = new.len();
    let began = new
        .into_iter()
        .filter_map(|answer| answer.join().ok()?.ok())
        .filter(|(response, _)| response.status == 200 && count_events(&response.body) > 0)
        .count();
    // At their most, with the prompt counted once more for each.
    let most = used + count as u64 * (PROMPT + MOST_OUTPUT);
    record.line(&format!(
        "of {count} streams taken up {went_on} went on; of {new_count} new ones {began} began; the tenant had used {used} \
         of {PREPAID}, and all that were taken up come to {most} at their most"
    ));
    // Its share is under half of the share of new streams that begin.
    let is_broken = count >= LEAST_TAKEN_UP && 2 * went_on * new_count < began * count;
    if trouble && count < LEAST_TAKEN_UP {
        return Err(CaseError("too few streams broke off".into()));
    }
    Ok(!is_broken)
}

/// Takes a stream up again after this event, and comes back when it is told to. Returns the last attempt, the events
/// before it and its answer.
fn take_up(
    number: usize,
    first: &str,
    events: u64,
    addr: SocketAddr,
    until: Instant,
) -> (String, u64, std::io::Result<(Response, bool)>) {
    let mut tried = 0;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let mut again = stream(number, KEY, left);
        again.headers.push(("Resumes".to_owned(), first.to_owned()));
        again
            .headers
            .push(("Last-Event-Id".to_owned(), events.to_string()));
        let answer = send_and_keep(addr, &again, left);
        tried += 1;
        let later = answer.as_ref().ok().and_then(|(response, _)| {
            let after = header(&response.headers, "retry-after")?.parse().ok()?;
            matches!(response.status, 429 | 503).then(|| Duration::from_secs_f64(after))
        });
        match later {
            Some(after) if tried < TRIES && after < left / 3 => sleep(after),
            _ => return (id_of(&again), events, answer),
        }
    }
}

fn stream(number: usize, key: &str, deadline: Duration) -> Request {
    let more = vec![
        ("Model-Id".to_owned(), "m".to_owned()),
        ("Token-Count".to_owned(), format!("{PROMPT},{MOST_OUTPUT}")),
        ("Length-Hint".to_owned(), OUTPUT.to_string()),
        (
            "Prefix-Hash".to_owned(),
            format!("5c1e07a2:400,{:08x}:600", 0x9000 + number),
        ),
    ];
    request(
        "POST",
        &format!("{STREAM_PATH}{number}"),
        key,
        deadline,
        more,
    )
}
