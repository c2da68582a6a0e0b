//! A planned stop cuts off an answer that began more than 3 s after SIGTERM.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Question, Received, ask, new_attempt};
use crate::fleet::{Fleet, GRACE};
use crate::{Setup, Verdict};

/// Route of short questions.
const CHAT: &str = "/chat/1/";
/// Route of reports, whose answers are long.
const REPORT: &str = "/report/1/";
/// Callers that ask one short question after the other.
const CHAT_CALLERS: usize = 24;
/// Callers that ask for one report after the other.
const REPORT_CALLERS: usize = 24;
/// Answered questions of each machine of the zone before the stops.
const ANSWERS_BEFORE: usize = 14;
/// Time of traffic before the stops.
const TRAFFIC_BEFORE: Duration = Duration::from_secs(12);
/// Time between the stops of two machines.
const GAP: Duration = Duration::from_millis(1_300);
/// The long questions are sent so long after their machine's SIGTERM.
const SENT_AFTER: Duration = Duration::from_millis(3_600);
/// Events of a long answer.
const LONG: u64 = 150;
/// Long questions at each machine.
const LONG_QUESTIONS: usize = 3;

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"chat\",\"hostname\":\"review.example\",\"path_prefix\":\"/chat/\",\
     \"type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1500,\"priority_class\":2,\
     \"backend\":\"pool\",\"attempts\":2,\"public\":false,\"session_affinity\":true,\"stream_resume\":false,\
     \"gap_target_ms\":300},\
     {\"name\":\"report\",\"hostname\":\"review.example\",\"path_prefix\":\"/report/\",\
     \"type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1500,\"priority_class\":2,\
     \"backend\":\"pool\",\"attempts\":2,\"public\":false,\"session_affinity\":true,\"stream_resume\":false,\
     \"gap_target_ms\":300}],\
     \"backends\":[{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":640,\"protocol\":\"h1\",\
     \"tls_enabled\":false,\"runtime\":{\"batch_slots\":128,\"kv_capacity\":228191,\"kv_bytes\":262144,\
     \"bandwidth_mbps\":150000.0,\"migrations\":true,\"replicas_kv\":true,\"interval\":3,\"most\":12,\
     \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"ref_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority_class\":1}]}"
        .into()
}

fn question(path: &str, events: u64, number: usize) -> Question {
    Question {
        key: "key-1".into(),
        path: path.into(),
        prompt: 543,
        max_output: 543,
        parts: format!("5c1e07a2:103,{:x}:440", 0x91bd_0000 + number),
        body: format!("question {number} events={events}"),
        deadline: Duration::from_secs(15),
    }
}

/// Plays the case.
pub fn run(setup: &Setup) -> Verdict {
    let fleet = &setup.fleet;
    for machine in &fleet.machines {
        fleet.start(machine);
    }
    if !fleet.configure(&configuration(), Duration::from_secs(15)) {
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
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(String, Received)>>> = Arc::default();
    let callers: Vec<_> = (0..CHAT_CALLERS + REPORT_CALLERS)
        .map(|number| {
            let (fleet, is_over, answers) = (fleet.clone(), is_over.clone(), answers.clone());
            thread::spawn(move || call_in_turn(&fleet, number, &is_over, &answers))
        })
        .collect();
    let stopped = ["edge-zone-a-2", "edge-zone-a-3"];
    thread::sleep(TRAFFIC_BEFORE);
    let until = Instant::now() + Duration::from_secs(30);
    while !stopped
        .iter()
        .all(|name| count_complete(&answers, name) >= ANSWERS_BEFORE)
    {
        if Instant::now() > until {
            return Verdict::NotRun("too few answers before the stops".into());
        }
        thread::sleep(Duration::from_millis(200));
    }
    let mut terminated = Vec::new();
    let mut long_ones = Vec::new();
    for name in stopped {
        if setup.trouble {
            fleet.terminate(fleet.machine(name));
        }
        let at = fleet.record.now();
        terminated.push((name, at));
        thread::sleep(GAP);
    }
    // The first machine may have ended by now: its zone had enough others while it was idle.
    let (long_fleet, long_answers) = (fleet.clone(), answers.clone());
    long_ones.push(thread::spawn(move || {
        ask_long(&long_fleet, "edge-zone-a-3", &long_answers)
    }));
    for long in long_ones {
        let _ = long.join();
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    judge(fleet, &terminated, &answers, setup.trouble)
}

type Answers = Mutex<Vec<(String, Received)>>;

fn count_complete(answers: &Answers, node: &str) -> usize {
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let complete = |(name, answer): &&(String, Received)| {
        name == node && answer.status == 200 && answer.is_complete
    };
    answers.iter().filter(complete).count()
}

/// Asks one question after the other, each on a new connection.
fn call_in_turn(fleet: &Fleet, caller: usize, is_over: &AtomicBool, answers: &Answers) {
    let mut number = caller * 10_000;
    // Callers are not in step with each other.
    thread::sleep(Duration::from_millis(caller as u64 * 229 % 4_000));
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let node = fleet.node_for("zone-a", caller).clone();
        let spread = number as u64 * 7;
        let question = if caller < CHAT_CALLERS {
            question(CHAT, 12 + spread % 25, number)
        } else {
            question(REPORT, 120 + spread % 50, number)
        };
        send(fleet, &node.name, &question, answers);
        thread::sleep(Duration::from_millis(100));
    }
}

fn send(fleet: &Fleet, node: &str, question: &Question, answers: &Answers) -> Received {
    let addr = fleet.machine(node).frontend();
    let answer = ask(&fleet.record, (node, addr), &new_attempt(), question);
    let mut all = answers.lock().unwrap_or_else(PoisonError::into_inner);
    all.push((node.into(), answer.clone()));
    answer
}

/// Asks questions with long answers, of clients that the platform forwards to this machine.
fn ask_long(fleet: &Fleet, node: &str, answers: &Arc<Answers>) {
    thread::sleep(SENT_AFTER.saturating_sub(GAP));
    let asking: Vec<_> = (0..LONG_QUESTIONS)
        .map(|number| {
            let (fleet, node, answers) = (fleet.clone(), node.to_string(), answers.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(40 * number as u64));
                // The platform selects by a hash of the client: clients 0 to 11 cover all machines.
                let client = (0..12).find(|client| fleet.node_for("zone-a", *client).name == node);
                let Some(client) = client else {
                    fleet
                        .record
                        .line(format!("the platform forwards no client to {node}"));
                    return;
                };
                let number = 900_000 + client * 100 + number;
                send(&fleet, &node, &question(CHAT, LONG, number), &answers);
            })
        })
        .collect();
    for one in asking {
        let _ = one.join();
    }
}

/// LOST: a request that was passed on to a runner and whose connection ends without a complete answer,
/// taken by a machine from its SIGTERM until 1 s after the grace period; not counted if it was sent no
/// later than 3 s after SIGTERM, or if its deadline was reached.
fn judge(
    fleet: &Fleet,
    terminated: &[(&str, Duration)],
    answers: &Answers,
    trouble: bool,
) -> Verdict {
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let runs: Vec<_> = fleet
        .engines
        .iter()
        .flat_map(crate::engine::Engine::runs)
        .collect();
    let mut broken = 0;
    let mut lost = 0;
    for (node, answer) in answers.iter() {
        let run = runs.iter().find(|run| run.attempt == answer.attempt);
        let Some(run) = run.filter(|_| !answer.is_complete) else {
            continue;
        };
        lost += 1;
        let stop = terminated
            .iter()
            .find(|(name, _)| name == node)
            .map(|(_, at)| *at);
        let Some(stop) = stop.filter(|_| trouble) else {
            continue;
        };
        let after = answer.sent.saturating_sub(stop);
        let ended = answer.ended.saturating_sub(stop);
        let is_counted = after > Duration::from_secs(3)
            && ended <= GRACE + Duration::from_secs(1)
            && answer.ended - answer.sent < Duration::from_secs(15);
        fleet.record.line(format!(
            "{} was sent to {node} {:.3} s after its SIGTERM, ran from {:.3} s, and its answer ends after {} \
             events, {:.3} s after SIGTERM: {}",
            answer.attempt,
            after.as_secs_f64(),
            run.began.as_secs_f64(),
            answer.events,
            ended.as_secs_f64(),
            if is_counted { "LOST" } else { "not counted" }
        ));
        broken += u32::from(is_counted);
    }
    fleet.record.line(format!(
        "{} requests, {lost} ran and have no complete answer, {broken} of them count",
        answers.len()
    ));
    if broken > 0 {
        Verdict::Broken
    } else if lost > 0 {
        Verdict::NotRun("answers were lost without a planned stop".into())
    } else {
        Verdict::Held
    }
}
