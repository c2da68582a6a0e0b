//! Sends a scenario's requests to routers, each at its due time whatever the answers do.

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::arrivals::{Arrival, arrivals};
use super::caller::{Call, Times, Tried};
use super::recorder::{Ending, Recorder, Sample};
use super::scenario::Scenario;
use super::view::{Stake, View};
use crate::client::Client;
use crate::engine::lock;

/// Requests under way at most; one more is taken down as lost without being sent.
const MOST_UNDER_WAY: u64 = 20_000;
/// Time between the tries of a caller whose answer was cut off.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(1);

/// Where requests go.
#[derive(Debug, Clone)]
pub struct Target {
    /// Routers; callers take them in turn, and another one for a retry.
    pub routers: Vec<SocketAddr>,
    /// Bearer key of each organisation; with fewer keys they are used in turn.
    pub keys: Vec<String>,
    /// The rule or system under load, for the report.
    pub rule: String,
    /// Makes request keys differ between runs.
    pub run: String,
}

/// What a run leaves.
pub struct Driven {
    /// What came of each request.
    pub recorder: Recorder,
    /// Cost of all whole answers, for each organisation, in budget tokens.
    pub spent: Vec<u64>,
    /// Tries that had no clear end, each with what it may have cost at most, by organisation.
    pub in_doubt: Vec<u64>,
}

struct Driver {
    scenario: Scenario,
    target: Target,
    clients: Vec<Client>,
    view: Arc<View>,
    recorder: Mutex<Recorder>,
    in_doubt: Vec<AtomicU64>,
    under_way: AtomicU64,
    start: Instant,
}

/// Sends all requests and waits for their ends.
pub async fn drive(scenario: &Scenario, target: Target) -> Driven {
    let organisations = scenario.callers.organisations as usize;
    let driver = Arc::new(Driver {
        view: Arc::new(View::new(scenario)),
        recorder: Mutex::new(Recorder::new(scenario, &target.rule)),
        in_doubt: (0..organisations).map(|_| AtomicU64::new(0)).collect(),
        under_way: AtomicU64::new(0),
        clients: target.routers.iter().map(|_| Client::default()).collect(),
        start: Instant::now(),
        scenario: scenario.clone(),
        target,
    });
    let progress = tokio::spawn(progress(driver.clone()));
    let mut requests = JoinSet::new();
    for arrival in arrivals(scenario) {
        sleep_until(driver.start + arrival.at).await;
        requests.spawn(request(driver.clone(), arrival));
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    progress.abort();
    Driven {
        recorder: lock(&driver.recorder).clone(),
        spent: driver.view.spent(),
        in_doubt: driver
            .in_doubt
            .iter()
            .map(|t| t.load(Ordering::Relaxed))
            .collect(),
    }
}

async fn request(driver: Arc<Driver>, arrival: Arrival) {
    let load = &driver.scenario.load[arrival.load];
    let keys = &driver.target.keys;
    let bearer = &keys[arrival.organisation as usize % keys.len()];
    let mut call = Call::new(&driver.target.run, load, &arrival, bearer);
    call.keyed = driver.scenario.callers.keyed || call.is_order();
    let stake = Stake {
        organisation: arrival.organisation,
        service: load.service.clone(),
        bound: call.bound,
    };
    let mut times = Times::default();
    let tried = if driver.under_way.fetch_add(1, Ordering::Relaxed) < MOST_UNDER_WAY {
        driver.view.enter(&stake);
        driver.tries(&call, &arrival, &mut times).await
    } else {
        Tried::Cut("too many under way".into())
    };
    driver.under_way.fetch_sub(1, Ordering::Relaxed);
    driver.record(&arrival, &stake, &times, tried);
}

impl Driver {
    /// Tries until there is an answer, the deadline is over or the tries are used up.
    ///
    /// A router that can't be reached is passed over, as the platform's balancer does it; that
    /// is safe without a key too, for nothing was sent.
    async fn tries(&self, call: &Call, arrival: &Arrival, times: &mut Times) -> Tried {
        let end = self.start + arrival.at + arrival.deadline;
        let retries = u64::from(self.scenario.callers.retries);
        let mut last = Tried::Unsent;
        for attempt in 0..=retries {
            let at = usize::try_from(arrival.number + attempt).unwrap_or_default();
            let at = at % self.target.routers.len();
            let tried = call.send(&self.clients[at], self.target.routers[at], times);
            last = match timeout_at(end, tried).await {
                Ok(tried) => tried,
                Err(_) => return Tried::Cut("late".into()),
            };
            match last {
                Tried::Unsent => {}
                Tried::Cut(_) if call.keyed => sleep(RETRY_AFTER).await,
                _ => return last,
            }
        }
        last
    }

    fn record(&self, arrival: &Arrival, stake: &Stake, times: &Times, tried: Tried) {
        let due = self.start + arrival.at;
        let (cost, tokens) = match tried {
            Tried::Right { cost, tokens } => (cost, tokens),
            _ => (0, 0),
        };
        let ending = match tried {
            Tried::Right { .. } => Ending::Completed,
            Tried::Wrong(what) => Ending::Broken { what: what.into() },
            Tried::InDoubt => Ending::Unknown,
            Tried::Cut(how) => Ending::Lost { how },
            Tried::Unsent => Ending::Lost {
                how: "no router".into(),
            },
            Tried::NotRun(kind) => Ending::Refused {
                wrongly: self.view.is_false(stake, &kind, self.start.elapsed()),
                kind,
            },
        };
        if matches!(
            ending,
            Ending::Broken { .. } | Ending::Unknown | Ending::Lost { .. }
        ) {
            let doubt = &self.in_doubt[arrival.organisation as usize];
            doubt.fetch_add(stake.bound, Ordering::Relaxed);
        }
        self.view.leave(stake, cost);
        let first = times.first.map(Instant::from_std);
        let sample = Sample {
            at: arrival.at,
            organisation: arrival.organisation,
            class: arrival.class,
            first_token: first.map(|first| first.saturating_duration_since(due)),
            took: due.elapsed(),
            deadline: arrival.deadline,
            tokens,
            ending,
        };
        let mut recorder = lock(&self.recorder);
        for (each, count) in &times.gaps {
            recorder.gaps(*each, *count);
        }
        recorder.sample(&sample);
    }
}

/// Shows on a terminal how far the run is.
async fn progress(driver: Arc<Driver>) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    loop {
        sleep(PROGRESS).await;
        let report = lock(&driver.recorder).report();
        let under_way = driver.under_way.load(Ordering::Relaxed);
        let at = driver.start.elapsed().as_secs();
        let mut out = std::io::stderr();
        // A terminal that went away is no reason to stop.
        let _ = write!(
            out,
            "\r{}: {at} s, {} done, {under_way} under way, {} refused, {} lost   ",
            driver.scenario.name,
            report.completed,
            report.refusals(),
            report.lost,
        );
        let _ = out.flush();
    }
}
