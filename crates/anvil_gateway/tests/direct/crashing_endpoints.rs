//! Endpoints that crash under certain requests, and return as new incarnations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::client::ClientResponse;
use crate::endpoint::{ReceivedRequest, Step, TestEndpoint, chunk, event, stream_end, stream_head};
use crate::processes::{GATEWAYS, Processes, TestRequest};

/// Endpoints that run concurrently.
const ENDPOINTS: usize = 6;
/// A crashed endpoint stays on the list for this time.
const DELISTED_AFTER: Duration = Duration::from_millis(500);
/// A crashed endpoint returns as a new incarnation after this time.
const RESTARTED_AFTER: Duration = Duration::from_millis(700);
/// Time in which all gateways learn what crashes endpoints.
pub const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Later arrivals that are tolerated.
pub const TOLERATED_LATE_ARRIVALS: usize = 3;

/// Crashes after which it must be known what causes them.
const KNOWN_CRASHES: usize = 5;
/// Time before an endpoint begins to write.
pub const PROMPT_TIME: Duration = Duration::from_millis(40);
/// Pause between two crashing requests, and between two sound ones.
pub const CRASHING_PAUSE: Duration = Duration::from_millis(100);
pub const SOUND_PAUSE: Duration = Duration::from_millis(25);
/// Time in which only sound requests are sent.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Minimum share of sound requests that are answered at the first attempt, relative to calm times.
pub const MIN_SOUND_SHARE: f64 = 0.5;

/// A stream of two events.
pub fn write_two_events(req: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Pause(PROMPT_TIME),
        Step::Send([stream_head(req), chunk(&event(1))].concat()),
        Step::Pause(Duration::from_millis(10)),
        Step::Send([chunk(&event(2)), stream_end()].concat()),
    ]
}

/// Sends requests to the gateways in turn, without waiting for their responses. Returns when they were
/// sent and the responses.
pub async fn send_requests(
    processes: &Arc<Processes>,
    request: impl Fn() -> TestRequest,
    pause: Duration,
    duration: Duration,
) -> Vec<(Instant, ClientResponse)> {
    let started_at = Instant::now();
    let mut sending = Vec::new();
    for gateway in (0..GATEWAYS).cycle() {
        if started_at.elapsed() > duration {
            break;
        }
        let (processes, req) = (processes.clone(), request());
        sending.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            (sent_at, processes.send(gateway, &req).await)
        }));
        sleep(pause).await;
    }
    let mut responses = Vec::new();
    for response in sending {
        responses.push(response.await.expect("a response"));
    }
    responses
}

/// Share of the requests that were answered.
pub fn share_complete(responses: &[(Instant, ClientResponse)]) -> f64 {
    let complete = responses
        .iter()
        .filter(|(_, response)| response.status == 200 && response.complete);
    let number = |count| f64::from(u32::try_from(count).expect("few responses"));
    number(complete.count()) / number(responses.len().max(1))
}

/// Sends requests that crash endpoints beside sound ones. Few of them must reach endpoints once all
/// gateways know what they have in common, and the sound ones must be served.
pub async fn assert_kept_from_endpoints(
    behave: Behaviour,
    crashing: impl Fn() -> TestRequest,
    sound: impl Fn() -> TestRequest,
) {
    let endpoints = CrashingEndpoints::new(behave);
    let processes = Arc::new(endpoints.start_processes().await);
    let calm = send_requests(&processes, &sound, SOUND_PAUSE, CALM_TIME).await;
    let time = 3 * KNOWN_WITHIN;
    let crashing = send_requests(&processes, crashing, CRASHING_PAUSE, time);
    let sound = send_requests(&processes, &sound, SOUND_PAUSE, time);
    let known_at = Instant::now() + 2 * KNOWN_WITHIN;
    let (_, sound) = tokio::join!(crashing, sound);
    endpoints.assert_few_late_arrivals();
    let (_, after): (Vec<_>, Vec<_>) = sound.into_iter().partition(|(at, _)| *at < known_at);
    let shares = (share_complete(&calm), share_complete(&after));
    assert!(shares.1 >= MIN_SOUND_SHARE * shares.0, "{shares:?}");
}

/// What an endpoint does with a request.
pub type Behaviour = fn(&ReceivedRequest) -> Vec<Step>;

/// The endpoints of one test, and when they received requests that crashed them.
#[derive(Clone)]
pub struct CrashingEndpoints {
    behave: Behaviour,
    listed: Arc<Mutex<BTreeMap<String, (SocketAddr, &'static str)>>>,
    crashing_arrivals: Arc<Mutex<Vec<Instant>>>,
    started: Arc<Mutex<usize>>,
    version: Arc<Mutex<&'static str>>,
}

impl CrashingEndpoints {
    /// Endpoints of software version `v1`.
    pub fn new(behave: Behaviour) -> Self {
        Self {
            behave,
            listed: Arc::default(),
            crashing_arrivals: Arc::default(),
            started: Arc::default(),
            version: Arc::new(Mutex::new("v1")),
        }
    }

    /// Replaces all endpoints by ones of this software version.
    pub async fn replace_all(&self, version: &'static str) {
        *self.version.lock().expect("a version") = version;
        self.listed.lock().expect("a list").clear();
        for _ in 0..ENDPOINTS {
            self.start().await;
        }
    }

    async fn start(&self) {
        let number = {
            let mut started = self.started.lock().expect("a number");
            *started += 1;
            *started
        };
        let (endpoints, id) = (self.clone(), format!("life-{number}"));
        let name = id.clone();
        let endpoint = TestEndpoint::start(move |_, req| endpoints.receive(&name, req)).await;
        let version = *self.version.lock().expect("a version");
        let mut listed = self.listed.lock().expect("a list");
        listed.insert(id, (endpoint.addr, version));
    }

    fn receive(&self, id: &str, req: &ReceivedRequest) -> Vec<Step> {
        let steps = (self.behave)(req);
        if !steps.iter().any(|step| matches!(step, Step::Crash)) {
            return steps;
        }
        let mut arrivals = self.crashing_arrivals.lock().expect("times");
        arrivals.push(Instant::now());
        let (endpoints, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move { endpoints.replace(&id).await });
        steps
    }

    async fn replace(&self, id: &str) {
        sleep(DELISTED_AFTER).await;
        let was_listed = self.listed.lock().expect("a list").remove(id).is_some();
        sleep(RESTARTED_AFTER.saturating_sub(DELISTED_AFTER)).await;
        // Several requests may have crashed it together.
        if was_listed {
            self.start().await;
        }
    }

    /// Arrivals of requests that crashed their endpoint.
    pub fn crashing_arrivals(&self) -> Vec<Instant> {
        self.crashing_arrivals.lock().expect("times").clone()
    }

    /// Forgets the arrivals so far.
    pub fn forget_arrivals(&self) {
        self.crashing_arrivals.lock().expect("times").clear();
    }

    /// Number of such arrivals later than [`KNOWN_WITHIN`] after the first `crashes` of them.
    pub fn late_arrivals(&self, crashes: usize) -> usize {
        let arrivals = self.crashing_arrivals();
        let Some(last) = arrivals.get(crashes - 1) else {
            return 0;
        };
        let is_late = |at: &&Instant| **at > *last + KNOWN_WITHIN;
        arrivals.iter().filter(is_late).count()
    }

    /// Fails if many of the requests arrived after all gateways must know what crashes endpoints.
    pub fn assert_few_late_arrivals(&self) {
        let late = self.late_arrivals(KNOWN_CRASHES);
        let all = self.crashing_arrivals().len();
        assert!(
            late <= TOLERATED_LATE_ARRIVALS,
            "{late} more arrivals of {all}"
        );
    }

    fn list_text(&self) -> String {
        let listed = self.listed.lock().expect("a list");
        let line = |(id, (addr, version)): (&String, &(SocketAddr, &str))| {
            format!("{id} {addr} local-a {version}\n")
        };
        listed.iter().map(line).collect()
    }

    /// A ledger and gateways in front of them.
    pub async fn start_processes(&self) -> Processes {
        for _ in 0..ENDPOINTS {
            self.start().await;
        }
        let endpoints = self.clone();
        Processes::start(move || endpoints.list_text()).await
    }
}
