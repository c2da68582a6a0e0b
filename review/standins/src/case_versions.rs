//! A rollout ends, and all processes are killed in these seconds. Streams that began at the old software
//! version go on at the new one.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::new_attempt;
use crate::fleet::{Fleet, ListChange, Runner};
use crate::{Setup, Verdict};

/// The last step of a rollout: the last runner of the old version, and its successor, which has started.
pub const RUNNERS: [Runner; 4] = [
    Runner {
        zone: "zone-a",
        version: "v1",
    },
    Runner {
        zone: "zone-a",
        version: "v2",
    },
    Runner {
        zone: "zone-b",
        version: "v2",
    },
    Runner {
        zone: "zone-c",
        version: "v2",
    },
];

/// The last runner of the old version.
const OLD: &str = "i-zone-a-1";
/// Streams that are open.
const CLIENTS: usize = 60;
/// Time from the start to the first stream.
const BEFORE: Duration = Duration::from_secs(4);
/// Time in which the streams begin, before the old runner is draining.
const BEGIN: Duration = Duration::from_secs(1);
/// All processes are killed so long after the list shows it.
const KILLED: Duration = Duration::from_millis(4_500);
/// For how long they are down.
const DOWN: Duration = Duration::from_millis(770);
/// The old runner ends, and leaves the list, so long after the list showed it as draining: `drain_ms`, and 2 s.
const LEAVES: Duration = Duration::from_secs(5);
/// How long a client waits for its stream.
const DEADLINE: Duration = Duration::from_secs(15);
/// How often a client takes its stream up.
const TRIES: usize = 4;

const CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"chat\",\"hostname\":\"review.example\",\
    \"path_prefix\":\"/chat/\",\"type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1500,\
    \"priority_class\":2,\"backend\":\"pool\",\"attempts\":2,\"public\":false,\"session_affinity\":true,\
    \"stream_resume\":true,\"gap_target_ms\":300}],\"backends\":[{\"name\":\"pool\",\"health_path\":\"/healthz\",\
    \"max_connections\":640,\"protocol\":\"h1\",\"tls_enabled\":false,\"runtime\":{\"batch_slots\":128,\
    \"kv_capacity\":228191,\"kv_bytes\":262144,\"bandwidth_mbps\":150000.0,\"migrations\":true,\
    \"replicas_kv\":true,\"interval\":3,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"ref_s\":5.0,\
    \"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\
    \"api_keys\":[\"key-1\"],\"priority_class\":1}]}";

/// What a client holds of its stream.
#[derive(Debug, Default)]
struct Held {
    /// The attempt that brought the first event.
    first: Option<String>,
    last: u64,
    versions: BTreeSet<String>,
    is_complete: bool,
}

/// Plays the case.
pub fn run(setup: &Setup) -> Verdict {
    let fleet = &setup.fleet;
    for machine in &fleet.machines {
        fleet.start(machine);
    }
    if !fleet.configure(CONFIGURATION, Duration::from_secs(15)) {
        return Verdict::NotRun("the configuration was not acknowledged".into());
    }
    fleet.end_first_start();
    let until = Instant::now() + Duration::from_secs(15);
    while !fleet.all_ready() {
        if Instant::now() > until {
            return Verdict::NotRun("not all machines are ready".into());
        }
        thread::sleep(Duration::from_millis(200));
    }
    fleet.start_balancer();
    thread::sleep(BEFORE);
    let held: Vec<Held> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || follow(fleet, number)))
            .collect();
        thread::sleep(BEGIN);
        fleet.set_list(ListChange {
            draining: Some(OLD),
            ..ListChange::default()
        });
        thread::sleep(KILLED);
        // The final fault strikes right after one more change was acknowledged.
        let changed = CONFIGURATION.replace("\"version\":7", "\"version\":8");
        fleet.configure(&changed, Duration::from_millis(400));
        if setup.trouble {
            fleet.kill_all(DOWN);
        }
        thread::sleep(LEAVES - KILLED);
        fleet.set_list(ListChange {
            gone: Some(OLD),
            ..ListChange::default()
        });
        if let Some(engine) = fleet.engines.iter().find(|engine| engine.id == OLD) {
            engine.leave();
        }
        clients
            .into_iter()
            .map(|client| client.join().unwrap_or_default())
            .collect()
    });
    judge(fleet, &held)
}

/// Asks a question with a long answer, and takes the stream up where its connection breaks.
fn follow(fleet: &Fleet, client: usize) -> Held {
    thread::sleep(BEGIN.mul_f64(client as f64 / CLIENTS as f64));
    let deadline = Instant::now() + DEADLINE;
    let mut held = Held::default();
    let zone = ["zone-a", "zone-b", "zone-c"][client % 3];
    let mut node = fleet.node_for(zone, client / 3).clone();
    let mut tries = 0;
    while !held.is_complete && tries <= TRIES && Instant::now() < deadline {
        let attempt = new_attempt();
        let left = deadline.saturating_duration_since(Instant::now());
        let from = held.last;
        match ask(
            &node.name,
            node.frontend(),
            (&attempt, client),
            &mut held,
            left,
        ) {
            Ok(text) => {
                tries += 1;
                let first = held.first.clone().unwrap_or_default();
                fleet.record.line(format!(
                    "{attempt} of client {client} at {}, stream {first} after event {from}: {text}, has event {} of \
                     {:?}",
                    node.name, held.last, held.versions
                ));
            }
            // Nothing was sent.
            Err(e) => fleet
                .record
                .line(format!("client {client} at {}: {e}", node.name)),
        }
        if !held.is_complete {
            // Retries reach other nodes, on a new connection.
            thread::sleep(Duration::from_millis(500));
            node = fleet.node_for(zone, client / 3 + tries + 1).clone();
        }
    }
    held
}

/// Sends one attempt and reads what comes of the stream. The error says that nothing was sent.
fn ask(
    node: &str,
    addr: SocketAddr,
    (attempt, client): (&str, usize),
    held: &mut Held,
    left: Duration,
) -> Result<String, String> {
    let socket = TcpStream::connect_timeout(&addr, Duration::from_secs(1));
    let mut socket = socket.map_err(|e| format!("no connection to {node}: {e}"))?;
    let _ = socket.set_nodelay(true);
    let _ = socket.set_read_timeout(Some(left));
    let body = format!("question {client} events={}", 150 + client % 40);
    let mut head = format!(
        "POST /chat/1/ HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {attempt}\r\nModel-Id: m\r\n\
         Token-Count: 543,618\r\nPrefix-Hash: 5c1e07a2:103,{:x}:440\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer key-1\r\n",
        0x91bd_0000 + client,
        left.as_millis()
    );
    if let Some(first) = &held.first {
        head += &format!("Resumes: {first}\r\nLast-Event-Id: {}\r\n", held.last);
    }
    let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    if let Err(e) = socket.write_all(request.as_bytes()) {
        return Ok(format!("cut off: {e}"));
    }
    let mut reader = BufReader::new(socket);
    let mut line = String::new();
    let mut status = String::from("no answer");
    let mut is_body = false;
    loop {
        line.clear();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return Ok(format!("{status}, cut off"));
        }
        let text = line.trim_end();
        if let Some(rest) = text.strip_prefix("HTTP/1.1 ") {
            status = rest.split(' ').next().unwrap_or("").into();
        }
        is_body |= text.is_empty();
        if is_body && status != "200" {
            let mut refusal = [0; 128];
            let read = reader.read(&mut refusal).unwrap_or(0);
            return Ok(format!(
                "{status} {}",
                String::from_utf8_lossy(&refusal[..read])
            ));
        }
        if let Some(id) = text.strip_prefix("id: ") {
            held.last = id.parse().unwrap_or(held.last);
            held.first.get_or_insert_with(|| attempt.into());
        }
        if let Some((_, version)) = text.split_once(" by ") {
            held.versions.insert(version.into());
        }
        if is_body && text == "0" {
            held.is_complete = true;
            return Ok(format!("{status}, complete"));
        }
    }
}

/// ORDER: more than two streams hold events from runners of two software versions of one service, over a
/// client's tries.
fn judge(fleet: &Fleet, held: &[Held]) -> Verdict {
    let mixed = held.iter().filter(|held| held.versions.len() > 1).count();
    let complete = held.iter().filter(|held| held.is_complete).count();
    fleet.record.line(format!(
        "{} streams, {complete} complete; {mixed} hold events of two versions",
        held.len()
    ));
    if mixed > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
