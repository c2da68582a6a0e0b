//! Sends a scenario's requests to routers, each at its due time, independent of the responses.

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::arrivals::{Arrival, arrivals};
use super::caller::{Call, Outcome, TokenTimes};
use super::recorder::{Ending, Recorder, Sample};
use super::scenario::Scenario;
use super::view::{GlobalView, OpenRequest};
use crate::client::Client;
use crate::engine::lock;

/// Maximum number of requests in flight; a further one is recorded as lost without being sent.
const MAX_IN_FLIGHT: u64 = 20_000;
/// Delay before a caller retries a lost request.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between updates of the progress line.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The system under load.
#[derive(Debug, Clone)]
pub struct Target {
    /// Addresses of the routers; requests go to them in turn, and a retry to the next one.
    pub routers: Vec<SocketAddr>,
    /// Bearer key of each organisation; with fewer keys than organisations, they are used in turn.
    pub keys: Vec<String>,
    /// The rule or system under load, for the report.
    pub rule: String,
    /// Prefix of the request keys, which makes them differ between runs.
    pub run_name: String,
}

/// Result of a run.
pub struct DriveResult {
    /// The recorded requests.
    pub recorder: Recorder,
    /// Cost of all complete responses for each organisation, in budget tokens.
    pub spent: Vec<u64>,
    /// Maximum cost of all requests without a definite outcome for each organisation, in budget
    /// tokens.
    pub unconfirmed: Vec<u64>,
}

struct Driver {
    scenario: Scenario,
    target: Target,
    clients: Vec<Client>,
    view: Arc<GlobalView>,
    recorder: Mutex<Recorder>,
    unconfirmed: Vec<AtomicU64>,
    in_flight: AtomicU64,
    start: Instant,
}

/// Sends all requests and waits until they have ended.
pub async fn drive(scenario: &Scenario, target: Target) -> DriveResult {
    let organisations = scenario.callers.organisations as usize;
    let driver = Arc::new(Driver {
        view: Arc::new(GlobalView::new(scenario)),
        recorder: Mutex::new(Recorder::new(scenario, &target.rule)),
        unconfirmed: (0..organisations).map(|_| AtomicU64::new(0)).collect(),
        in_flight: AtomicU64::new(0),
        clients: target.routers.iter().map(|_| Client::default()).collect(),
        start: Instant::now(),
        scenario: scenario.clone(),
        target,
    });
    let progress = tokio::spawn(show_progress(driver.clone()));
    let mut requests = JoinSet::new();
    for arrival in arrivals(scenario) {
        sleep_until(driver.start + arrival.at).await;
        requests.spawn(send_request(driver.clone(), arrival));
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    progress.abort();
    DriveResult {
        recorder: lock(&driver.recorder).clone(),
        spent: driver.view.spent(),
        unconfirmed: driver
            .unconfirmed
            .iter()
            .map(|t| t.load(Ordering::Relaxed))
            .collect(),
    }
}

async fn send_request(driver: Arc<Driver>, arrival: Arrival) {
    let load = &driver.scenario.load[arrival.load];
    let keys = &driver.target.keys;
    let bearer = &keys[arrival.organisation as usize % keys.len()];
    let mut call = Call::new(&driver.target.run_name, load, &arrival, bearer);
    call.keyed = driver.scenario.callers.keyed || call.is_order();
    let open_request = OpenRequest {
        organisation: arrival.organisation,
        service: load.service.clone(),
        max_cost: call.max_cost,
    };
    let mut times = TokenTimes::default();
    let result = if driver.in_flight.fetch_add(1, Ordering::Relaxed) < MAX_IN_FLIGHT {
        driver.view.request_started(&open_request);
        driver.send_with_retries(&call, &arrival, &mut times).await
    } else {
        Outcome::Lost("too many under way".into())
    };
    driver.in_flight.fetch_sub(1, Ordering::Relaxed);
    driver.record(&arrival, &open_request, &times, result);
}

impl Driver {
    /// Sends attempts until there is a result, the deadline is over or the retries are used up.
    ///
    /// A router that can't be reached is skipped, as the platform's load balancer would do. That
    /// is safe without an idempotency key too, because nothing was sent.
    async fn send_with_retries(
        &self,
        call: &Call,
        arrival: &Arrival,
        times: &mut TokenTimes,
    ) -> Outcome {
        let deadline = self.start + arrival.at + arrival.deadline;
        let retries = u64::from(self.scenario.callers.retries);
        let mut last = Outcome::NotSent;
        for attempt in 0..=retries {
            let index = usize::try_from(arrival.number + attempt).unwrap_or_default();
            let index = index % self.target.routers.len();
            let result = call.send(&self.clients[index], self.target.routers[index], times);
            last = match timeout_at(deadline, result).await {
                Ok(result) => result,
                Err(_) => return Outcome::Lost("late".into()),
            };
            match last {
                Outcome::NotSent => {}
                Outcome::Lost(_) if call.keyed => sleep(RETRY_DELAY).await,
                _ => return last,
            }
        }
        last
    }

    fn record(
        &self,
        arrival: &Arrival,
        open_request: &OpenRequest,
        times: &TokenTimes,
        result: Outcome,
    ) {
        let due_at = self.start + arrival.at;
        let (cost, tokens) = match result {
            Outcome::Correct { cost, tokens } => (cost, tokens),
            _ => (0, 0),
        };
        let ending = match result {
            Outcome::Correct { .. } => Ending::Completed,
            Outcome::Incorrect(defect) => Ending::Broken {
                defect: defect.into(),
            },
            Outcome::Unknown => Ending::Unknown,
            Outcome::Lost(cause) => Ending::Lost { cause },
            Outcome::NotSent => Ending::Lost {
                cause: "no router".into(),
            },
            Outcome::NotRun(kind) => Ending::Refused {
                is_false: self
                    .view
                    .is_false_refusal(open_request, &kind, self.start.elapsed()),
                kind,
            },
        };
        if matches!(
            ending,
            Ending::Broken { .. } | Ending::Unknown | Ending::Lost { .. }
        ) {
            let unconfirmed_cost = &self.unconfirmed[arrival.organisation as usize];
            unconfirmed_cost.fetch_add(open_request.max_cost, Ordering::Relaxed);
        }
        self.view.request_ended(open_request, cost);
        let first = times.first.map(Instant::from_std);
        let sample = Sample {
            at: arrival.at,
            organisation: arrival.organisation,
            class: arrival.class,
            first_token: first.map(|first| first.saturating_duration_since(due_at)),
            took: due_at.elapsed(),
            deadline: arrival.deadline,
            tokens,
            ending,
        };
        let mut recorder = lock(&self.recorder);
        for (gap, count) in &times.token_gaps {
            recorder.record_token_gaps(*gap, *count);
        }
        recorder.record(&sample);
    }
}

/// Shows the progress of the run on a terminal.
async fn show_progress(driver: Arc<Driver>) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    loop {
        sleep(PROGRESS_INTERVAL).await;
        let report = lock(&driver.recorder).report();
        let in_flight = driver.in_flight.load(Ordering::Relaxed);
        let elapsed = driver.start.elapsed().as_secs();
        let mut stderr = std::io::stderr();
        // The run continues when the terminal is gone.
        let _ = write!(
            stderr,
            "\r{}: {elapsed} s, {} done, {in_flight} in flight, {} refused, {} lost   ",
            driver.scenario.name,
            report.completed,
            report.refusals(),
            report.lost,
        );
        let _ = stderr.flush();
    }
}
