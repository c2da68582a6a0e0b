//! Callers of one tenant ask the same questions, some answers are lost, and the tenant gets more than its
//! `prepaid`.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Question, Received, ask, new_attempt};
use crate::fleet::Fleet;
use crate::{Setup, Verdict};

/// `prepaid` of the tenant.
const PREPAID: u64 = 90_000;
/// Questions that two callers ask, one shortly after the other.
const ASKED_TWICE: usize = 15;
/// Other questions after each of these, so that a fifth of the requests is about to lose its answer.
const OTHERS: usize = 3;
/// Runners that lose answers, of 3.
const LOSING: usize = 1;
/// Time between the two.
const BETWEEN: Duration = Duration::from_millis(400);
/// Output tokens of one event: `interval` of the configuration.
const TOKENS_PER_EVENT: u64 = 3;
/// Prompt tokens and events of the questions that use the budget up.
const SIZES: [(u64, u64); 3] = [(1_000, 10), (100, 2), (10, 1)];
/// Refusals in a row after which a size counts as not affordable.
const REFUSALS: u32 = 12;

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"chat\",\"hostname\":\"review.example\",\"path_prefix\":\"/chat/\",\
         \"type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1500,\"priority_class\":2,\
         \"backend\":\"pool\",\"attempts\":1,\"public\":false,\"session_affinity\":true,\"stream_resume\":false,\
         \"gap_target_ms\":300}}],\
         \"backends\":[{{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_connections\":640,\"protocol\":\"h1\",\
         \"tls_enabled\":false,\"runtime\":{{\"batch_slots\":128,\"kv_capacity\":228191,\"kv_bytes\":262144,\
         \"bandwidth_mbps\":150000.0,\"migrations\":true,\"replicas_kv\":true,\"interval\":{TOKENS_PER_EVENT},\
         \"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"ref_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority_class\":1,\"prepaid\":{PREPAID}}}]}}"
    )
}

fn question(prompt: u64, events: u64, number: usize) -> Question {
    Question {
        key: "key-1".into(),
        path: "/chat/1/".into(),
        prompt,
        max_output: events * TOKENS_PER_EVENT,
        parts: format!("{:x}:{prompt}", 0x91bd_0000 + number),
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
    let mut answers = Vec::new();
    for number in 0..ASKED_TWICE {
        let question = question(1_000, 10, number);
        let first = new_attempt();
        if setup.trouble {
            for engine in &fleet.engines[..LOSING] {
                engine.lose_answer(&first);
            }
        }
        // Two callers of the zone, so two machines.
        answers.push(send(fleet, number, &first, &question));
        thread::sleep(BETWEEN);
        answers.push(send(fleet, number + 1, &new_attempt(), &question));
        for other in 0..OTHERS {
            let other = 1_000 + OTHERS * number + other;
            answers.push(send(
                fleet,
                other,
                &new_attempt(),
                &self::question(1_000, 10, other),
            ));
        }
    }
    let mut number = ASKED_TWICE;
    for (prompt, events) in SIZES {
        let mut refusals = 0;
        while refusals < REFUSALS {
            number += 1;
            let answer = send(
                fleet,
                number,
                &new_attempt(),
                &question(prompt, events, number),
            );
            refusals = match answer.status {
                200 => 0,
                402 | 429 | 503 => refusals + 1,
                status => return Verdict::NotRun(format!("status {status} in the second part")),
            };
            if refusals > 0 {
                // What refused requests are told to wait, and longer.
                thread::sleep(Duration::from_millis(350));
            }
            answers.push(answer);
        }
    }
    judge(fleet, &answers)
}

fn send(fleet: &Fleet, caller: usize, attempt: &str, question: &Question) -> Received {
    let node = fleet.node_for("zone-a", caller);
    ask(
        &fleet.record,
        (&node.name, node.frontend()),
        attempt,
        question,
    )
}

/// BUDGET: input tokens, counted once per request, and output tokens that were delivered, against
/// `prepaid`. A request is one client attempt with its own `Attempt-Id`.
fn judge(fleet: &Fleet, answers: &[Received]) -> Verdict {
    let mut prompts = BTreeMap::new();
    for run in fleet.engines.iter().flat_map(crate::engine::Engine::runs) {
        prompts.insert(run.attempt, run.prompt);
    }
    let input: u64 = prompts.values().sum();
    let output: u64 = answers
        .iter()
        .map(|answer| answer.events * TOKENS_PER_EVENT)
        .sum();
    let used = input + output;
    let lost = answers.iter().filter(|answer| answer.status == 502).count();
    fleet.record.line(format!(
        "{} requests ran, {lost} of them lost their answers: {input} tokens in, {output} tokens delivered, {used} of {PREPAID} prepaid",
        prompts.len()
    ));
    if used > PREPAID {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
