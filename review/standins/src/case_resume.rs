//! A router is killed with streams open. Clients that had the last event, and not the end of the answer,
//! resume their streams, and their connections are closed without an answer.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::new_attempt;
use crate::engine::Engine;
use crate::fleet::{Fleet, Machine};
use crate::{Setup, Verdict};

/// Clients of the zone, each with one kept connection on which it asks one question after the other.
const CLIENTS: usize = 360;
/// Time of traffic before the machine is killed: more than `contact_ms`, so that the machines that go on are
/// in touch.
const BEFORE: Duration = Duration::from_millis(4_500);
/// Time of traffic after it.
const AFTER: Duration = Duration::from_secs(3);
/// How long a client waits.
const DEADLINE: Duration = Duration::from_secs(15);
/// The machine that is killed: it has no disk.
const KILLED: &str = "edge-zone-a-2";

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

/// How an attempt ended, as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// A whole answer with this status.
    Complete(u16),
    /// The answer began and was cut off after this event.
    CutOff(u64),
    /// The connection was closed without an answer.
    NoAnswer,
}

/// A resumed stream.
struct Resumed {
    attempt: String,
    end: End,
}

fn head(attempt: &str, number: usize, resumed: Option<(&str, u64)>) -> String {
    let mut head = format!(
        "POST /chat/1/ HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {attempt}\r\nModel-Id: m\r\n\
         Token-Count: 543,90\r\nPrefix-Hash: 5c1e07a2:103,{:x}:440\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer key-1\r\n",
        0x91bd_0000 + number,
        DEADLINE.as_millis()
    );
    if let Some((first, last)) = resumed {
        head += &format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n");
    }
    head
}

/// A connection that a client keeps for many requests.
struct Kept {
    reader: BufReader<TcpStream>,
    node: String,
}

impl Kept {
    fn open(node: &Machine) -> std::io::Result<Self> {
        let socket = TcpStream::connect(node.frontend())?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(DEADLINE))?;
        Ok(Self {
            reader: BufReader::new(socket),
            node: node.name.clone(),
        })
    }

    /// Sends one question and reads its answer.
    fn ask(&mut self, head: &str, body: &str) -> End {
        let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        if self.reader.get_mut().write_all(request.as_bytes()).is_err() {
            return End::NoAnswer;
        }
        let mut line = String::new();
        if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
            return End::NoAnswer;
        }
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut length = None;
        loop {
            line.clear();
            if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
                return End::CutOff(0);
            }
            if line.trim_end().is_empty() {
                break;
            }
            if let Some(text) = line.to_lowercase().strip_prefix("content-length:") {
                length = text.trim().parse::<usize>().ok();
            }
        }
        if let Some(length) = length {
            let mut rest = vec![0; length];
            let read = std::io::Read::read_exact(&mut self.reader, &mut rest);
            return if read.is_ok() {
                End::Complete(status)
            } else {
                End::CutOff(0)
            };
        }
        self.read_stream(status)
    }

    /// Reads a stream in chunks up to its end.
    fn read_stream(&mut self, status: u16) -> End {
        let mut last = 0;
        let mut line = String::new();
        loop {
            line.clear();
            if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
                return End::CutOff(last);
            }
            if let Some(id) = line.strip_prefix("id: ") {
                last = id.trim().parse().unwrap_or(last);
            }
            if line.trim_end() == "0" {
                line.clear();
                let _ = self.reader.read_line(&mut line);
                return End::Complete(status);
            }
        }
    }
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
    let is_over = AtomicBool::new(false);
    let resumed = thread::scope(|scope| {
        let is_over = &is_over;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || call(fleet, number, is_over)))
            .collect();
        thread::sleep(BEFORE);
        if setup.trouble {
            fleet.kill(fleet.machine(KILLED));
        }
        thread::sleep(AFTER);
        is_over.store(true, Ordering::Relaxed);
        let ended = clients
            .into_iter()
            .map(|client| client.join().unwrap_or_default());
        ended.flatten().collect::<Vec<_>>()
    });
    judge(fleet, &resumed)
}

/// Asks one question after the other on a kept connection, and resumes a stream that breaks.
fn call(fleet: &Fleet, client: usize, is_over: &AtomicBool) -> Vec<Resumed> {
    // Clients are not in step with each other.
    thread::sleep(Duration::from_millis(client as u64 * 37 % 1_000));
    let mut resumed = Vec::new();
    let mut number = client * 10_000;
    let mut node = fleet.node_for("zone-a", client).clone();
    let mut kept = Kept::open(&node);
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let Ok(connection) = &mut kept else {
            thread::sleep(Duration::from_millis(100));
            node = fleet.node_for("zone-a", client).clone();
            kept = Kept::open(&node);
            continue;
        };
        let events = 3 + number as u64 % 4;
        let body = format!("question {number} events={events}");
        let first = new_attempt();
        let end = connection.ask(&head(&first, number, None), &body);
        match end {
            End::Complete(200) => {
                fleet.record.line(format!(
                    "{first} of client {client} at {}: complete",
                    connection.node
                ));
                continue;
            }
            End::CutOff(last) if last > 0 => {
                fleet.record.line(format!(
                    "{first} of client {client} at {}: {body}, cut off after event {last}",
                    connection.node
                ));
                // Retries reach other nodes, on a new connection.
                let other = (client..).map(|client| fleet.node_for("zone-a", client));
                let other = other
                    .take(12)
                    .find(|other| other.name != node.name)
                    .cloned();
                node = other.unwrap_or(node);
                kept = Kept::open(&node);
                if let Ok(connection) = &mut kept {
                    let again = resume(fleet, connection, (client, number), (&first, last), &body);
                    resumed.extend(again);
                }
            }
            other => {
                fleet.record.line(format!(
                    "{first} of client {client} at {}: {other:?}",
                    node.name
                ));
                thread::sleep(Duration::from_millis(300));
            }
        }
        let is_new = resumed.last().is_some_and(|one| one.end == End::NoAnswer);
        if is_new || end == End::NoAnswer {
            node = fleet.node_for("zone-a", client).clone();
            kept = Kept::open(&node);
        }
    }
    resumed
}

/// Another question of the client goes first on the connection, so it is a kept one; then the stream is
/// resumed, once.
fn resume(
    fleet: &Fleet,
    connection: &mut Kept,
    (client, number): (usize, usize),
    (first, last): (&str, u64),
    body: &str,
) -> Option<Resumed> {
    let before = new_attempt();
    let end = connection.ask(&head(&before, number + 5_000, None), "events=2");
    fleet.record.line(format!(
        "{before} of client {client} at {}: {end:?}",
        connection.node
    ));
    if end != End::Complete(200) {
        return None;
    }
    let attempt = new_attempt();
    fleet.record.line(format!(
        "{attempt} resumes {first} after event {last} at {}",
        connection.node
    ));
    let end = connection.ask(&head(&attempt, number, Some((first, last))), body);
    fleet
        .record
        .line(format!("{attempt} of client {client}: {end:?}"));
    Some(Resumed { attempt, end })
}

/// LOST: a request from a kept connection is passed on to a sound runner, and the connection is closed
/// without an answer, more than three times.
fn judge(fleet: &Fleet, resumed: &[Resumed]) -> Verdict {
    let runs: Vec<_> = fleet.engines.iter().flat_map(Engine::runs).collect();
    let has_run = |attempt: &str| {
        runs.iter()
            .any(|run| run.attempt == attempt && run.is_complete)
    };
    let lost = resumed
        .iter()
        .filter(|one| one.end == End::NoAnswer && has_run(&one.attempt));
    let lost = lost.count();
    fleet.record.line(format!(
        "{} requests ran; {} streams were resumed, and {lost} of them ran to their end at a sound runner and \
         have no answer",
        runs.len(),
        resumed.len()
    ));
    if lost > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
