//! BUDGET: pairs of callers send equal requests. Where the answer to one of the two is lost, its prompt is not
//! charged once the other one's is, although a runner has read both.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Barrier, Mutex, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{count_events, id_of, request, send_once};
use crate::fleet::{CaseError, Config, FULL_ZONE, Fleet, KEY, STREAM_PATH, TENANT};
use crate::record::Record;
use crate::runner::{TOKENS_PER_EVENT, Work};

const PREPAID: u64 = 240_000;
/// Tokens of a prompt, and the most output tokens.
const PROMPT: u64 = 1_000;
const OUTPUT: u64 = 12;
/// Pairs of callers.
const PAIRS: usize = 4;
/// Requests of each caller at most.
const ROUNDS: usize = 200;
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(20);
/// Of 100 answers of one of the two engines so many are lost.
const LOST_PERCENT: u64 = 40;
/// For so long answers are lost.
const LOST_FOR: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_secs(4);

/// What the callers have seen.
#[derive(Default)]
struct Seen {
    delivered: AtomicU64,
    denied: AtomicU64,
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, CaseError> {
    let work = Work {
        first: Duration::from_millis(60),
        gap: Duration::from_millis(5),
        body_bytes: 800,
        report: (0, 0),
    };
    let config = Config {
        prepaid: Some(PREPAID),
        attempts: 1,
        ..Config::first()
    };
    let fleet = Fleet::start_with(record, work, work, &config)?;
    let frontends = FULL_ZONE.map(|machine| fleet.frontend(machine));
    let seen = Seen::default();
    let started = Instant::now();
    if trouble {
        // One of two runners of the service is within the share of 0.6.
        record.line(&format!(
            "runner {} loses {LOST_PERCENT} of 100 answers",
            fleet.engines[0].entry.id
        ));
        fleet.engines[0].lose_answers(LOST_PERCENT);
    }
    let last = Mutex::new(started);
    thread::scope(|scope| {
        for pair in 0..PAIRS {
            let both = std::sync::Arc::new(Barrier::new(2));
            for caller in 0..2 {
                let (seen, last, both) = (&seen, &last, both.clone());
                scope.spawn(move || {
                    for round in 0..ROUNDS {
                        both.wait();
                        let addr = frontends[(pair + caller + round) % frontends.len()];
                        send(record, seen, addr, pair, round);
                        *last.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
                        // Both callers of a pair end in the same round.
                        both.wait();
                        let ends = seen.denied.load(Ordering::Relaxed) > 0;
                        both.wait();
                        if ends {
                            return;
                        }
                        sleep(PAUSE);
                    }
                });
            }
        }
        while started.elapsed() < LOST_FOR {
            sleep(Duration::from_millis(20));
        }
        fleet.engines[0].lose_answers(0);
    });
    // Whatever was held is free by now: the rest of the budget is used up.
    sleep(DEADLINE);
    for round in 0..ROUNDS {
        let denied = seen.denied.load(Ordering::Relaxed);
        send(
            record,
            &seen,
            frontends[round % frontends.len()],
            PAIRS,
            round,
        );
        if seen.denied.load(Ordering::Relaxed) > denied {
            break;
        }
    }
    let runs = fleet.runs.all();
    let of_tenant = runs.iter().filter(|run| run.tenant == TENANT);
    let (count, prompts, lost) = of_tenant.fold((0, 0, 0), |(count, prompts, lost), run| {
        (
            count + 1,
            prompts + run.prompt,
            lost + u64::from(run.answer_lost),
        )
    });
    let delivered = seen.delivered.load(Ordering::Relaxed);
    let got = prompts + delivered;
    let last = last
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .duration_since(started);
    record.line(&format!(
        "{count} requests ran within {} ms, {lost} of them without an answer; input tokens {prompts}, output tokens \
         delivered {delivered}, together {got} of {PREPAID}; refused with 402: {}",
        last.as_millis(),
        seen.denied.load(Ordering::Relaxed)
    ));
    if seen.denied.load(Ordering::Relaxed) == 0 {
        return Err(CaseError("the budget was not used up".into()));
    }
    Ok(got <= PREPAID)
}

/// Sends one request; a caller sends each of its requests once.
fn send(record: &Record, seen: &Seen, addr: std::net::SocketAddr, pair: usize, round: usize) {
    let target = format!("{STREAM_PATH}subject-{pair}/{round}");
    let more = vec![
        ("Model-Id".to_owned(), "m".to_owned()),
        ("Token-Count".to_owned(), format!("{PROMPT},{OUTPUT}")),
        (
            "Prefix-Hash".to_owned(),
            format!("5c1e07a2:400,{:08x}:600", pair * 10_000 + round),
        ),
    ];
    let request = request("POST", &target, KEY, DEADLINE, more);
    match send_once(addr, &request, DEADLINE) {
        Ok(response) if response.status == 200 => {
            let output = count_events(&response.body) * TOKENS_PER_EVENT;
            seen.delivered.fetch_add(output, Ordering::Relaxed);
        }
        Ok(response) => {
            if response.status == 402 {
                seen.denied.fetch_add(1, Ordering::Relaxed);
            }
            record.line(&format!(
                "request {}: status {}",
                id_of(&request),
                response.status
            ));
        }
        Err(e) => record.line(&format!("request {}: {e}", id_of(&request))),
    }
}
