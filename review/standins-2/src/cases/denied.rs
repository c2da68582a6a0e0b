//! DENIED: routers are killed a few times. What they had not reported counts as spent for good, and the tenant is refused
//! with 402 although much of its `prepaid` is left.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::{count_events, id_of, request, send_once};
use crate::fleet::{CONTACT, CaseError, Config, Fleet, KEY, STREAM_PATH};
use crate::record::Record;
use crate::runner::{TOKENS_PER_EVENT, Work};

/// The tenant's `prepaid`.
const PREPAID: u64 = 600_000;
/// Tokens of a prompt, and the most output tokens.
const PROMPT: u64 = 1_000;
const OUTPUT: u64 = 120;
/// Requests at once.
const CLIENTS: usize = 10;
/// The routers are killed each time that so much more of the budget was used.
const KILLED_AFTER: u64 = PREPAID / 8;
/// How often.
const KILLS: u64 = 4;
/// Killed processes are back after this time.
const DOWN: Duration = Duration::from_millis(500);
/// Requests sent after the first refusals.
const LAST_REQUESTS: usize = 40;
const DEADLINE: Duration = Duration::from_secs(6);

/// What the tenant has got, counted at its most.
#[derive(Default)]
struct Used {
    /// Prompts that were sent, and output that was delivered.
    tokens: AtomicU64,
    sent: AtomicU64,
    denied: AtomicU64,
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, CaseError> {
    let work = Work {
        first: Duration::from_millis(40),
        gap: Duration::from_millis(10),
        body_bytes: 800,
        report: (0, 0),
    };
    let config = Config {
        prepaid: Some(PREPAID),
        ..Config::first()
    };
    let fleet = Mutex::new(Fleet::start_with(record, work, work, &config)?);
    let used = Used::default();
    let edges = lock(&fleet).edges();
    let frontends: Vec<_> = edges
        .iter()
        .map(|machine| lock(&fleet).frontend(*machine))
        .collect();
    // Two of five, that is a share of 0.4.
    let killed = [edges[3], edges[4]];
    let survivors = &frontends[..3];
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (used, frontends) = (&used, &frontends);
            scope.spawn(move || {
                let mut number = client;
                while used.denied.load(Ordering::Relaxed) < 10
                    && used.sent.load(Ordering::Relaxed) < 1_000
                {
                    number += 1;
                    send(record, used, frontends[number % frontends.len()]);
                }
            });
        }
        for kill in 1..=KILLS {
            while used.tokens.load(Ordering::Relaxed) < kill * KILLED_AFTER {
                sleep(Duration::from_millis(10));
            }
            if trouble {
                kill_routers(record, &mut lock(&fleet), &killed);
            }
        }
    });
    sleep(2 * CONTACT);
    // Nothing runs any more, so what was used is known.
    let denied_before = used.denied.load(Ordering::Relaxed);
    let sent_before = used.sent.load(Ordering::Relaxed);
    let mut unjust = 0;
    for number in 0..LAST_REQUESTS {
        let before = used.tokens.load(Ordering::Relaxed);
        let denied = used.denied.load(Ordering::Relaxed);
        // Only routers that were not killed.
        send(record, &used, survivors[number % survivors.len()]);
        let is_denied = used.denied.load(Ordering::Relaxed) > denied;
        // As the rules count what is owed.
        let fits = (before + PROMPT + OUTPUT) * 100 <= PREPAID * 97;
        unjust += u64::from(is_denied && fits);
        sleep(Duration::from_millis(50));
    }
    let tokens = used.tokens.load(Ordering::Relaxed);
    let sent = used.sent.load(Ordering::Relaxed);
    let allowed = 5 + sent / 500;
    record.line(&format!(
        "sent {sent}, before the last ones {sent_before} with {denied_before} refused; used {tokens} of {PREPAID} \
         at most; refused with 402 although the request fits into 97 in 100: {unjust}, allowed {allowed}"
    ));
    Ok(unjust <= allowed)
}

/// Kills routers at the same moment, and starts them again.
fn kill_routers(record: &Record, fleet: &mut Fleet, killed: &[u8]) {
    for machine in killed {
        record.line(&format!("SIGKILL to the router of machine {machine}"));
        if let Some(process) = fleet.processes.get(&(*machine, "router")) {
            process.signal(crate::process::Signal::Kill);
        }
    }
    sleep(DOWN);
    for machine in killed {
        let started = fleet.start_process(*machine, "router");
        record.line(&format!(
            "the router of machine {machine} starts again: {}",
            started.is_ok()
        ));
    }
}

fn lock(fleet: &Mutex<Fleet>) -> std::sync::MutexGuard<'_, Fleet> {
    fleet
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn send(record: &Record, used: &Used, addr: std::net::SocketAddr) {
    let more = vec![
        ("Model-Id".to_owned(), "m".to_owned()),
        ("Token-Count".to_owned(), format!("{PROMPT},{OUTPUT}")),
        (
            "Prefix-Hash".to_owned(),
            format!("5c1e07a2:400,{:08x}:600", rand_number()),
        ),
    ];
    let request = request("POST", &format!("{STREAM_PATH}s"), KEY, DEADLINE, more);
    used.sent.fetch_add(1, Ordering::Relaxed);
    match send_once(addr, &request, DEADLINE) {
        Ok(response) if response.status == 402 => {
            used.denied.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("request {}: status 402", id_of(&request)));
        }
        Ok(response) if response.status == 200 => {
            let output = count_events(&response.body) * TOKENS_PER_EVENT;
            used.tokens.fetch_add(PROMPT + output, Ordering::Relaxed);
        }
        // Not sent, or a promise that it has not run.
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            sleep(Duration::from_millis(50));
        }
        Ok(response) if matches!(response.status, 408 | 421 | 429 | 503) => {
            sleep(Duration::from_millis(50));
        }
        // It may have run, and all of its output may have been delivered.
        other => {
            used.tokens.fetch_add(PROMPT + OUTPUT, Ordering::Relaxed);
            record.line(&format!(
                "request {}: {:?}",
                id_of(&request),
                other.map(|r| r.status)
            ));
            sleep(Duration::from_millis(50));
        }
    }
}

fn rand_number() -> u32 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.subsec_nanos())
}
