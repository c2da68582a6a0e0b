//! An entry of the platform's list can't be read. No router reads the others any more: a runner that is
//! draining gets work until it ends, and what it has not ended is cut off.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Question, Received, ask, new_attempt};
use crate::fleet::{Fleet, ListChange};
use crate::{Setup, Verdict};

/// Callers that ask one question after the other.
const CALLERS: usize = 30;
/// Time of traffic before the list changes: more than `contact_ms`, so that all machines are in touch.
const BEFORE: Duration = Duration::from_millis(4_500);
/// `drain_ms`.
const DRAIN: Duration = Duration::from_secs(3);
/// For so long after that the draining runner goes on serving.
const LONGER: Duration = Duration::from_secs(2);
/// Time of traffic after its end.
const AFTER: Duration = Duration::from_secs(2);
/// The runner that drains.
const DRAINING: &str = "i-zone-a-1";

/// An entry of another writer: its zone is a string that can't be read, half of a surrogate pair.
const UNREADABLE: &str = "{\"id\":\"i-other-1\",\"backend\":\"pool\",\"address\":\"127.0.0.1:9\",\"zone\":\"\\ud800\",\
    \"version\":\"v1\",\"batch_slots\":128,\"state\":\"ready\",\"warmup_left_ms\":0}";

const CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"chat\",\"hostname\":\"review.example\",\
    \"path_prefix\":\"/chat/\",\"type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1500,\
    \"priority_class\":2,\"backend\":\"pool\",\"attempts\":1,\"public\":false,\"session_affinity\":true,\
    \"stream_resume\":false,\"gap_target_ms\":300}],\"backends\":[{\"name\":\"pool\",\"health_path\":\"/healthz\",\
    \"max_connections\":640,\"protocol\":\"h1\",\"tls_enabled\":false,\"runtime\":{\"batch_slots\":128,\
    \"kv_capacity\":228191,\"kv_bytes\":262144,\"bandwidth_mbps\":150000.0,\"migrations\":true,\
    \"replicas_kv\":true,\"interval\":3,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"ref_s\":5.0,\
    \"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\
    \"api_keys\":[\"key-1\"],\"priority_class\":1}]}";

fn question(number: usize) -> Question {
    let events = 15 + number as u64 * 7 % 25;
    Question {
        key: "key-1".into(),
        path: "/chat/1/".into(),
        prompt: 543,
        max_output: 120,
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
    let answers = Mutex::new(Vec::new());
    let shown_at = thread::scope(|scope| {
        let (is_over, answers) = (&is_over, &answers);
        for caller in 0..CALLERS {
            scope.spawn(move || call(fleet, caller, is_over, answers));
        }
        thread::sleep(BEFORE);
        fleet.set_list(ListChange {
            draining: Some(DRAINING),
            gone: None,
            more: setup.trouble.then_some(UNREADABLE),
        });
        let shown_at = fleet.record.now();
        thread::sleep(DRAIN + LONGER);
        if let Some(engine) = fleet.engines.iter().find(|engine| engine.id == DRAINING) {
            engine.leave();
        }
        thread::sleep(AFTER);
        is_over.store(true, Ordering::Relaxed);
        shown_at
    });
    let answers = answers.into_inner().unwrap_or_default();
    judge(fleet, shown_at, &answers)
}

/// Asks one question after the other, each on a new connection.
fn call(fleet: &Fleet, caller: usize, is_over: &AtomicBool, answers: &Mutex<Vec<Received>>) {
    // Callers are not in step with each other.
    thread::sleep(Duration::from_millis(caller as u64 * 37 % 1_000));
    let mut number = caller * 10_000;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let zone = ["zone-a", "zone-b", "zone-c"][caller % 3];
        let node = fleet.node_for(zone, caller / 3);
        let answer = ask(
            &fleet.record,
            (&node.name, node.frontend()),
            &new_attempt(),
            &question(number),
        );
        if let Ok(mut answers) = answers.lock() {
            answers.push(answer);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// DRAIN: a request that its client sent later than `drain_ms` after the list showed the runner as draining
/// reaches it. What such requests lose when the runner ends is counted besides.
fn judge(fleet: &Fleet, shown_at: Duration, answers: &[Received]) -> Verdict {
    let engine = fleet.engines.iter().find(|engine| engine.id == DRAINING);
    let runs = engine.map(crate::engine::Engine::runs).unwrap_or_default();
    let mut late = 0;
    let mut lost = 0;
    for answer in answers
        .iter()
        .filter(|answer| answer.sent > shown_at + DRAIN)
    {
        let Some(run) = runs.iter().find(|run| run.attempt == answer.attempt) else {
            continue;
        };
        late += 1;
        if !answer.is_complete || answer.status != 200 {
            lost += 1;
            fleet.record.line(format!(
                "{} reached {DRAINING} {:.3} s after the list showed it as draining, and is lost: status {}, {} events",
                answer.attempt,
                (run.began.saturating_sub(shown_at)).as_secs_f64(),
                answer.status,
                answer.events
            ));
        }
    }
    fleet.record.line(format!(
        "{} requests; {late} reached the draining runner later than 3 s after the list showed it, {lost} of them \
         are lost",
        answers.len()
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
